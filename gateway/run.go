// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lynxramp.org/backpressure"
	"lynxramp.org/event"
	"lynxramp.org/internal/logx"
	"lynxramp.org/message"
	"lynxramp.org/poison"
	"lynxramp.org/registry"
	"lynxramp.org/routing"
)

// unsentTries is how often a request goes to yet another endpoint because one
// could not be reached at all.
const unsentTries = 4

// errCallerGone says that the caller does not take its answer any more.
var errCallerGone = errors.New("the caller left")

// retryRejected is what a caller is told whose request no endpoint ran.
const retryRejected = 300 * event.Millisecond

// outcome is how one attempt ended.
type outcome uint8

const (
	// outcomeDone: the caller has its answer, or is gone.
	outcomeDone outcome = iota
	// outcomeStopped: the endpoint asked for less than whoever decided knew.
	outcomeStopped
	// outcomeNotSent: not a byte left for the endpoint.
	outcomeNotSent
	// outcomeNotRun: the endpoint says that it has not run the request.
	outcomeNotRun
	// outcomeFailed: the endpoint's own failure, whole.
	outcomeFailed
	// outcomeUnknown: the request may have run.
	outcomeUnknown
	// outcomeCut: a stream that has begun was cut off.
	outcomeCut
)

// String returns the outcome as logs have it.
func (o outcome) String() string {
	switch o {
	case outcomeDone:
		return "done"
	case outcomeStopped:
		return "stopped"
	case outcomeNotSent:
		return "not_sent"
	case outcomeNotRun:
		return "not_run"
	case outcomeFailed:
		return "endpoint_failed"
	case outcomeCut:
		return "cut"
	default:
		return "unknown"
	}
}

// attempt is one try at one endpoint, with what came of it.
type attempt struct {
	decision Decision
	outcome  outcome
	err      error
	untried  bool          // nobody waited for it when its endpoint was found
	sent     time.Time     // zero if not a byte left
	attempt  int           // how often the request had been sent before
	first    time.Duration // to the answer's beginning
	gap      time.Duration // usual time between tokens
	tokens   int
	kept     *response // of a failure
	// isFramed says that the answer tells where it ends: of any other, the end of its endpoint
	// looks like its own.
	isFramed bool
}

// wasSent reports whether the endpoint may have had the request.
func (a *attempt) wasSent() bool { return a.outcome != outcomeStopped && a.outcome != outcomeNotSent }

// ran returns what the attempt told of its request.
func (a *attempt) ran() message.Outcome {
	switch {
	case a.outcome == outcomeDone && a.err == nil && a.isFramed:
		return message.OutcomeSuccess
	case a.outcome == outcomeFailed, a.outcome == outcomeNotRun:
		return message.OutcomeFailed
	default:
		return message.OutcomeUnknown
	}
}

// response is an endpoint's whole answer.
type response struct {
	status int
	header http.Header
	body   []byte
}

// run finds endpoints for the request until it has its answer or is given up.
func (c *call) run() {
	ctx, cancel := context.WithTimeout(c.r.Context(), c.left())
	defer cancel()
	unsent, stopped := 0, 0
	repeat := false
	var last *attempt
	for {
		decision, ok := c.decide(ctx, repeat, last)
		if !ok {
			return
		}
		c.placed = true
		a := c.try(ctx, decision)
		c.tell(a)
		if a.outcome != outcomeDone && c.r.Context().Err() != nil {
			c.gone()
			return
		}
		if last == nil || a.wasSent() {
			last = a
		}
		if a.wasSent() && a.outcome != outcomeNotRun {
			c.mayHaveRun = true
		}
		if a.outcome == outcomeStopped {
			// Whoever decided knows better now, unless it is of a build that knows nothing of it.
			if stopped++; stopped == 1 {
				continue
			}
		}
		c.avoid = append(c.avoid, decision.Endpoint)
		switch a.outcome {
		case outcomeDone:
			return
		case outcomeStopped, outcomeNotSent:
			unsent++
			if unsent >= unsentTries && c.giveUp(last) {
				return
			}
			continue
		}
		if !c.mayRepeat(a) {
			c.giveUp(a)
			return
		}
		repeat = true
		if c.begun {
			c.note(stepResumed, zap.String("last_event", c.lastEvent))
		} else {
			c.note(stepRepeated, zap.Stringer("after_outcome", a.outcome))
		}
	}
}

// decide asks for an endpoint. It ends the call when there is none.
func (c *call) decide(ctx context.Context, repeat bool, last *attempt) (Decision, bool) {
	m := c.ticket(repeat)
	asked, clock := time.Now(), c.gateway.agent.clock
	submitted := clock.Now()
	answer := c.gateway.agent.Submit(m)
	select {
	case d := <-answer:
		c.gateway.meters.decided(asked, d.Alone)
		if d.Granted && !c.stillAllowed() {
			c.unused(d)
			c.endNotRun(http.StatusServiceUnavailable, retryUnready, "the configuration changed")
			return d, false
		}
		if d.Granted && repeat && clock.Now().Sub(submitted) > message.RetryWindow {
			c.unused(d)
			c.giveUp(last)
			return d, false
		}
		if d.Granted {
			c.note(stepGranted, zap.String("endpoint", string(d.Endpoint)), zap.Bool("alone", d.Alone),
				zap.Int("running", d.Inputs.Running), zap.Duration("expected_first", d.Inputs.Wait))
			return d, true
		}
		c.note(stepRefused, zap.Stringer("reason", d.Reason), zap.Bool("alone", d.Alone), zap.Duration("retry_after", d.RetryAfter),
			zap.Int("ahead", d.Inputs.Ahead), zap.Duration("expected_wait", d.Inputs.Wait),
			zap.Int("spent", d.Inputs.Spent), zap.Int("limit", d.Inputs.Limit))
		if last != nil && last.wasSent() {
			if d.Reason == event.ReasonCooldown {
				c.comeBack = d.RetryAfter
			}
			c.giveUp(last)
			return d, false
		}
		c.endNotRun(refusalStatus(d.Reason), d.RetryAfter, d.Reason.String())
		return d, false
	case <-ctx.Done():
		c.withdraw(m)
		if c.r.Context().Err() != nil {
			c.gone()
			return Decision{}, false
		}
		if last != nil && last.wasSent() {
			c.giveUp(last)
			return Decision{}, false
		}
		c.endNotRun(http.StatusServiceUnavailable, retryRejected, "no endpoint in time")
		return Decision{}, false
	}
}

func (c *call) withdraw(m message.Submission) { c.gateway.agent.Withdraw(m.Ticket.ID) }

func refusalStatus(r event.Reason) int {
	if r == event.ReasonQuota {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// endNotRun answers with a status that says that the request has not run. Where an
// earlier attempt may have run, it says that its fate is not known instead.
func (c *call) endNotRun(status int, retryAfter event.Duration, why string) {
	if c.mayHaveRun {
		c.end(http.StatusBadGateway, 0, "an earlier attempt's answer was lost, then: "+why)
		return
	}
	c.end(status, retryAfter, why)
}

// mayRepeat reports whether the request may go to another endpoint after an
// attempt that was sent.
func (c *call) mayRepeat(a *attempt) bool {
	if c.attempts >= c.route.MaxAttempts || c.left() < minRepeatTime {
		return false
	}
	return a.outcome == outcomeNotRun || c.route.Repeatable()
}

// minRepeatTime is the least time that must be left for another attempt.
const minRepeatTime = 10 * time.Millisecond

// giveUp ends the call with what its last attempt left. It returns true.
func (c *call) giveUp(a *attempt) bool {
	switch {
	case c.begun:
		c.cut("the endpoint's answer was lost", a.err)
	case !a.wasSent():
		c.endNotRun(http.StatusServiceUnavailable, retryRejected, "no endpoint was reached")
	case a.outcome == outcomeNotRun:
		c.endNotRun(http.StatusServiceUnavailable, max(retryRejected, c.comeBack), "no endpoint took the request")
	case a.outcome == outcomeFailed && a.kept != nil:
		c.pass(a.kept)
	case c.left() <= 0:
		c.end(http.StatusGatewayTimeout, 0, "the endpoint did not answer in time")
	default:
		c.end(http.StatusBadGateway, 0, "the endpoint's answer was lost")
	}
	return true
}

// cut ends a stream that can't be taken up: the connection is closed without the
// end that would make the answer look whole.
func (c *call) cut(why string, cause error) {
	c.gateway.meters.ended(0, c.rankLabel())
	c.record.failed = true
	c.note(stepCut, zap.String("why", why), zap.Int("events", c.events), zap.String("last_event", c.lastEvent),
		zap.Int("attempts", c.attempts), logx.Cause(cause))
	panic(http.ErrAbortHandler)
}

// gone takes note that the caller left. The connection ends without an answer: a handler that returned
// without a word would have net/http answer 200, a success that no endpoint made.
func (c *call) gone() {
	c.gateway.meters.ended(0, c.rankLabel())
	c.record.failed = true
	c.note(stepCancelled, zap.String("why", "the caller left"), zap.Int("attempts", c.attempts), zap.Int("events", c.events))
	panic(http.ErrAbortHandler)
}

// unused gives a grant back that the request does not use.
func (c *call) unused(d Decision) {
	c.gateway.agent.Finish(message.Finish{
		Finished: event.Finished{ID: c.id, Pool: c.service, Void: true, Unused: true, Failed: true},
		Endpoint: d.Endpoint, Unsent: true,
	})
}

// tell tells who decides how an attempt ended.
func (c *call) tell(a *attempt) {
	failed := a.outcome != outcomeDone || a.err != nil
	c.gateway.meters.tried(a.outcome)
	f := message.Finish{
		Finished: event.Finished{
			ID: c.id, Pool: c.service, Tokens: a.tokens, Failed: failed,
			Void: !a.wasSent() || a.outcome == outcomeNotRun, Unused: a.outcome == outcomeStopped,
			FirstAfter: a.first, TokenGap: a.gap,
		},
		Endpoint: a.decision.Endpoint,
		Unsent:   !a.wasSent(),
		Suspect:  (a.outcome == outcomeNotSent && !a.untried) || (a.outcome == outcomeUnknown && a.first == 0),
	}
	f.Print, f.Ran = c.print, a.ran()
	if !a.sent.IsZero() && a.err != nil && endsConnection(a.err) {
		c.gateway.agent.Ended(poison.End{
			Print: c.print, Endpoint: a.decision.Endpoint, Request: c.id, Attempt: a.attempt, Ran: time.Since(a.sent),
		})
	}
	c.gateway.agent.Finish(f)
	if a.outcome != outcomeDone {
		c.note(stepFailed, zap.String("endpoint", string(a.decision.Endpoint)), zap.Stringer("outcome", a.outcome),
			logx.Cause(a.err), zap.Int("attempt", c.attempts), zap.Stringer("print", c.print))
	}
}

// try sends the request to an endpoint and passes its answer on.
func (c *call) try(ctx context.Context, d Decision) *attempt {
	a := &attempt{decision: d, outcome: outcomeNotSent}
	// The caller left, or its time ended, as the grant came: a request on a kept connection
	// would race with its own cancelling, and its end would tell against the endpoint.
	if err := c.over(ctx); err != nil {
		a.err, a.untried = err, true
		return a
	}
	if why := c.stops(d); why != backpressure.NotStopped {
		c.stopped(a, why)
		return a
	}
	began := time.Now()
	conn, err := c.gateway.upstream.get(ctx, d.Address, string(d.Endpoint), d.Fresh)
	if err != nil {
		a.err = err
		return a
	}
	if why := c.stops(d); why != backpressure.NotStopped {
		_ = conn.Close() // it was opened while the word came
		c.stopped(a, why)
		return a
	}
	a.sent, a.attempt = time.Now(), c.attempts
	c.attempts++
	c.note(stepDispatched, zap.String("endpoint", string(d.Endpoint)), zap.String("address", d.Address),
		zap.Bool("connection_kept", conn.reused), zap.Int("attempt", c.attempts))
	x, err := c.gateway.upstream.send(ctx, conn, c.outgoing(d), c.gateway.config.Names.RequestID)
	if err != nil {
		a.err = err
		a.outcome = outcomeUnknown
		if errors.Is(err, errNotSent) {
			c.attempts--
			a.sent = time.Time{}
			a.outcome = outcomeNotSent
		}
		return a
	}
	c.receive(x, a, began)
	return a
}

// outgoing returns the request as the endpoint gets it.
func (c *call) outgoing(d Decision) *outgoing {
	names := &c.gateway.config.Names
	h := c.r.Header.Clone()
	for _, name := range hopHeaders(h) {
		h.Del(name)
	}
	h.Del("Authorization")
	h.Del(names.Team)
	if c.team != nil {
		h.Set(names.Team, c.team.Name)
	}
	h.Set(names.Expect, registry.Name(string(d.Endpoint)))
	h.Set(names.Deadline, strconv.FormatInt(max(1, c.left().Milliseconds()), 10))
	if c.lastEvent != "" {
		h.Set(names.LastEvent, c.lastEvent)
	}
	return &outgoing{
		method: c.r.Method, uri: c.r.RequestURI, host: c.r.Host, header: h, body: c.body, id: c.callerID,
	}
}

// receive takes an endpoint's answer.
func (c *call) receive(x *exchange, a *attempt, began time.Time) {
	names := &c.gateway.config.Names
	r := x.response
	word := c.hear(a, r)
	a.isFramed = r.ContentLength >= 0 || slices.Contains(r.TransferEncoding, "chunked")
	// An endpoint that asks for rest has turned the request away.
	if r.StatusCode == http.StatusMisdirectedRequest || r.Header.Get(names.NotRun) != "" || word.Rest > 0 {
		c.reject(x, a)
		return
	}
	ok := r.StatusCode >= 200 && r.StatusCode < 300
	switch {
	case ok && r.Header.Get(names.Signature) == "":
		a.outcome = outcomeUnknown
		a.err = errors.New("a success without the endpoint's signature")
		x.abort()
	case ok && c.route.Kind == routing.KindStream:
		c.stream(x, a, began)
	default:
		c.whole(x, a, began)
	}
}

// reject takes an endpoint's word that it has not run the request.
func (c *call) reject(x *exchange, a *attempt) {
	a.outcome = outcomeNotRun
	a.err = errors.Errorf("endpoint answered %d, not run", x.response.StatusCode)
	if _, all, err := x.readAll(maxWhole); err == nil && all {
		x.finish(c.gateway.upstream)
		return
	}
	x.abort()
}
