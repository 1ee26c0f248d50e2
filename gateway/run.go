// SPDX-License-Identifier: MIT

package gateway

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lynxramp.org/event"
	"lynxramp.org/internal/logx"
	"lynxramp.org/message"
	"lynxramp.org/poison"
	"lynxramp.org/registry"
	"lynxramp.org/routing"
)

// maxUnsentAttempts limits the endpoints tried for a request of which no byte was sent.
const maxUnsentAttempts = 4

// errCallerDisconnected is returned when the caller no longer accepts its response.
var errCallerDisconnected = errors.New("caller disconnected")

// retryAfterNotRun is the Retry-After for a request that no endpoint ran.
const retryAfterNotRun = 300 * event.Millisecond

// outcome is the result of one attempt.
type outcome uint8

const (
	// outcomeDone: the caller received its response or disconnected.
	outcomeDone outcome = iota
	// outcomeStopped: the endpoint's feedback forbids a grant made without knowing it.
	outcomeStopped
	// outcomeNotSent: no byte was sent to the endpoint.
	outcomeNotSent
	// outcomeNotRun: the endpoint states that it did not run the request.
	outcomeNotRun
	// outcomeFailed: the endpoint responded completely with a server error.
	outcomeFailed
	// outcomeUnknown: the request may have run.
	outcomeUnknown
	// outcomeCut: the response broke off after its head was sent to the caller.
	outcomeCut
)

// String returns the outcome as used in logs and metrics.
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

// attempt is one attempt at one endpoint and its result.
type attempt struct {
	decision       Decision
	outcome        outcome
	err            error
	notTried       bool          // the endpoint was not contacted
	sent           time.Time     // zero if no byte was sent
	previousSends  int           // how often the request had been sent before
	firstByteAfter time.Duration // time to the first byte of the response
	tokenGap       time.Duration // median time between tokens
	tokens         int
	failure        *response // kept for the caller if outcomeFailed
	load           receivedLoad
	// isFramed is set if the response's end is marked by its length or by chunks. Any other response ends
	// with its connection, as if the endpoint had terminated.
	isFramed bool
	reported bool // to the scheduler
}

// wasSent reports whether the endpoint may have received the request.
func (a *attempt) wasSent() bool { return a.outcome != outcomeStopped && a.outcome != outcomeNotSent }

// runResult returns what the attempt shows of the request's effect on the endpoint.
func (a *attempt) runResult() message.Outcome {
	switch {
	case a.outcome == outcomeDone && a.err == nil && a.isFramed:
		return message.OutcomeSuccess
	case a.outcome == outcomeFailed, a.outcome == outcomeNotRun:
		return message.OutcomeFailed
	default:
		return message.OutcomeUnknown
	}
}

// response is an endpoint's complete response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// run asks for endpoints and tries them until the request has its response or is given up.
func (c *call) run() {
	ctx, cancel := context.WithTimeout(c.r.Context(), c.remaining())
	defer cancel()
	defer context.AfterFunc(c.gateway.stopped, cancel)()
	if c.relay != nil {
		c.relay.setCancel(cancel)
	}
	unsent, stopped := 0, 0
	isRetry := false
	var last *attempt
	for {
		c.setAwaited(waitingForEndpoint)
		decision, ok := c.decide(ctx, isRetry, last)
		if !ok {
			return
		}
		c.wasGranted = true
		a := c.try(ctx, decision)
		c.reportAttempt(a)
		if a.outcome != outcomeDone && c.r.Context().Err() != nil {
			c.abortCancelled()
			return
		}
		if last == nil || a.wasSent() {
			last = a
		}
		if a.wasSent() && a.outcome != outcomeNotRun {
			c.mayHaveRun = true
		}
		if a.outcome == outcomeStopped {
			// The scheduler now knows the feedback, unless its build does not support it.
			if stopped++; stopped == 1 {
				continue
			}
		}
		c.tried = append(c.tried, decision.Endpoint)
		switch a.outcome {
		case outcomeDone:
			return
		case outcomeStopped, outcomeNotSent:
			unsent++
			if unsent >= maxUnsentAttempts && c.giveUp(last) {
				return
			}
			continue
		}
		if !c.mayRetry(a) {
			c.giveUp(a)
			return
		}
		if !c.mayResume() {
			c.abortResponse("the endpoint's answer was lost, and the version of the stream is not known", a.err)
		}
		isRetry = true
		if c.headSent {
			c.gateway.meters.resumptions(resumedByEntry).Inc()
			c.addStep(stepResumed, zap.String("last_event", c.lastEventID))
		} else {
			c.addStep(stepRetried, zap.Stringer("after_outcome", a.outcome))
		}
	}
}

// decide asks for an endpoint. It responds to the caller if none is granted.
func (c *call) decide(ctx context.Context, isRetry bool, last *attempt) (Decision, bool) {
	m := c.ticket(isRetry)
	start, clock := time.Now(), c.gateway.agent.clock
	submitted := clock.Now()
	decision := c.gateway.agent.Submit(m, c.stream)
	select {
	case d := <-decision:
		c.gateway.meters.observeDecision(start, d.Degraded)
		if d.Granted && !c.isStillAllowed() {
			c.returnGrant(d)
			c.respondNotRun(http.StatusServiceUnavailable, retryAfterNoConfig, "the configuration changed")
			return d, false
		}
		if d.Granted && isRetry && clock.Now().Sub(submitted) > message.MaxRetryAge {
			c.returnGrant(d)
			c.giveUp(last)
			return d, false
		}
		if d.Granted {
			c.addStep(stepGranted, zap.String("endpoint", string(d.Endpoint)), zap.String("endpoint_version", d.Version), zap.Bool("alone", d.Degraded),
				zap.Int("running", d.Inputs.Running), zap.Duration("expected_first", d.Inputs.Wait))
			return d, true
		}
		c.gateway.meters.refusals(d.Reason, d.Inputs.Work).Inc()
		c.addStep(stepRefused, zap.Stringer("reason", d.Reason), zap.Bool("alone", d.Degraded), zap.Duration("retry_after", d.RetryAfter),
			zap.Int("ahead", d.Inputs.Ahead), zap.Duration("expected_wait", d.Inputs.Wait),
			zap.Duration("expected_run", d.Inputs.Run), zap.Float64("run_error", d.Inputs.RunError),
			zap.Int("spent", d.Inputs.Spent), zap.Int("limit", d.Inputs.Limit))
		if last != nil && last.wasSent() {
			if d.Reason == event.ReasonCooldown {
				c.cooldown = d.RetryAfter
			}
			c.giveUp(last)
			return d, false
		}
		c.respondNotRun(refusalStatus(d.Reason), d.RetryAfter, cmp.Or(resumptionRefused(d.Reason), d.Reason.String()))
		return d, false
	case <-ctx.Done():
		c.withdraw(m)
		if c.r.Context().Err() != nil {
			c.abortCancelled()
			return Decision{}, false
		}
		if last != nil && last.wasSent() {
			c.giveUp(last)
			return Decision{}, false
		}
		c.respondNotRun(http.StatusServiceUnavailable, retryAfterNotRun, "no endpoint in time")
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

// respondNotRun responds with a status that says that the request did not run. If an earlier attempt may
// have run it, the response says that its outcome is unknown instead.
func (c *call) respondNotRun(status int, retryAfter event.Duration, why string) {
	if c.mayHaveRun {
		c.respondError(http.StatusBadGateway, 0, "an earlier attempt's answer was lost, then: "+why)
		return
	}
	c.respondError(status, retryAfter, why)
}

// mayRetry reports whether the request may be sent to another endpoint after an attempt that was sent.
func (c *call) mayRetry(a *attempt) bool {
	if c.attempts >= c.route.MaxAttempts || c.remaining() < minRetryTime {
		return false
	}
	return a.outcome == outcomeNotRun || c.route.Repeatable()
}

// minRetryTime is the least remaining time for another attempt.
const minRetryTime = 10 * time.Millisecond

// giveUp ends the call with the result of its last attempt. It returns true.
func (c *call) giveUp(a *attempt) bool {
	switch {
	case c.headSent:
		c.abortResponse("the endpoint's answer was lost", a.err)
	case !a.wasSent():
		c.respondNotRun(http.StatusServiceUnavailable, retryAfterNotRun, "no endpoint was reached")
	case a.outcome == outcomeNotRun:
		c.respondNotRun(http.StatusServiceUnavailable, max(retryAfterNotRun, c.cooldown), "no endpoint took the request")
	case a.outcome == outcomeFailed && a.failure != nil:
		c.forward(a.failure)
	case c.remaining() <= 0:
		c.respondError(http.StatusGatewayTimeout, 0, "the endpoint did not answer in time")
	case c.gateway.hasStopped():
		c.respondError(http.StatusBadGateway, 0, "the entry stopped before the endpoint answered")
	default:
		c.respondError(http.StatusBadGateway, 0, "the endpoint's answer was lost")
	}
	return true
}

// abortResponse ends a response that cannot be resumed. It closes the connection without the marker that
// would make the response look complete.
func (c *call) abortResponse(why string, cause error) {
	c.flushBeforeAbort()
	c.gateway.meters.countResponse(0, c.rankLabel())
	c.record.failed = true
	c.addStep(stepCut, zap.String("why", why), zap.Int("events", c.eventsSent), zap.String("last_event", c.lastEventID),
		zap.Int("attempts", c.attempts), logx.Cause(cause))
	panic(http.ErrAbortHandler)
}

// abortCancelled ends the call of a caller that disconnected. It aborts the connection: if the handler just
// returned, net/http would send a 200 that no endpoint made.
func (c *call) abortCancelled() {
	if c.wasCut() {
		c.abortResponse("the caller does not take its response", errCallerTooSlow)
	}
	c.gateway.meters.countResponse(0, c.rankLabel())
	c.record.failed = true
	c.addStep(stepCancelled, zap.String("why", "the caller disconnected"), zap.Int("attempts", c.attempts), zap.Int("events", c.eventsSent))
	panic(http.ErrAbortHandler)
}

// returnGrant returns a grant that the request does not use.
func (c *call) returnGrant(d Decision) {
	c.gateway.agent.Finish(message.Finish{
		Finished: event.Finished{ID: c.id, Pool: c.service, Void: true, Unused: true, Failed: true},
		Endpoint: d.Endpoint, Unsent: true,
	})
}

// reportAttempt reports the result of an attempt to the scheduler: the owner, or the entry itself while degraded.
func (c *call) reportAttempt(a *attempt) {
	if a.reported {
		return
	}
	a.reported = true
	failed := a.outcome != outcomeDone || a.err != nil
	c.gateway.meters.countAttempt(a.outcome)
	c.reportRefused(a)
	f := message.Finish{
		Finished: event.Finished{
			ID: c.id, Pool: c.service, Tokens: a.tokens, Failed: failed,
			Void: !a.wasSent() || a.outcome == outcomeNotRun, Unused: a.outcome == outcomeStopped,
			FirstAfter: a.firstByteAfter, TokenGap: a.tokenGap,
		},
		Endpoint: a.decision.Endpoint,
		Unsent:   !a.wasSent(),
		Suspect:  (a.outcome == outcomeNotSent && !a.notTried) || (a.outcome == outcomeUnknown && a.firstByteAfter == 0),
	}
	f.Slowdown, f.SlowdownAge = a.load.take()
	f.Print, f.Ran = c.fingerprint, a.runResult()
	f.NoResponse = a.outcome == outcomeUnknown && a.firstByteAfter == 0 && isCancelled(a.err)
	f.Abandoned = c.r.Context().Err() != nil || errors.Is(a.err, errCallerWrite) || c.gateway.hasStopped()
	if errors.Is(a.err, errNoMemory) || c.gateway.hasStopped() {
		f.Suspect = false // it is the box that lacks memory, or stops
	}
	f.Delayed = c.gateway.isDelaying()
	if f.Delayed && (f.NoResponse || isTimeout(a.err)) {
		f.Suspect = false // the box itself may have used up the time
	}
	if !a.sent.IsZero() && a.err != nil && endsConnection(a.err) {
		t := poison.Termination{Print: c.fingerprint, Endpoint: a.decision.Endpoint, Request: c.id, Attempt: a.previousSends, Ran: time.Since(a.sent)}
		if a.firstByteAfter == 0 || t.Ran-a.firstByteAfter < poison.BeginGrace {
			t.Parts = c.partKeys
		}
		c.gateway.agent.RecordTermination(t)
	}
	c.gateway.agent.Finish(f)
	if a.outcome != outcomeDone {
		c.addStep(stepFailed, zap.String("endpoint", string(a.decision.Endpoint)), zap.Stringer("outcome", a.outcome),
			logx.Cause(a.err), zap.Int("attempt", c.attempts), zap.Stringer("print", c.fingerprint))
	}
}

// try sends the request to an endpoint and forwards its response.
func (c *call) try(ctx context.Context, d Decision) *attempt {
	a := &attempt{decision: d, outcome: outcomeNotSent}
	// If the caller disconnected or the deadline passed while the grant arrived, sending on a kept connection would
	// race with its cancellation, and the closed connection would count against the endpoint.
	if err := c.checkDeadline(ctx); err != nil {
		a.err, a.notTried = err, true
		return a
	}
	if c.isStopped(a) {
		return a
	}
	started := time.Now()
	conn, err := c.gateway.upstream.get(ctx, d.Address, string(d.Endpoint), d.NewConnection)
	if err != nil {
		a.err = err
		return a
	}
	if c.isStopped(a) {
		_ = conn.Close() // feedback or a restriction arrived while the connection was opened
		return a
	}
	c.awaited.endpoint.Store(&a.decision)
	c.setAwaited(waitingForResponse)
	a.sent, a.previousSends = time.Now(), c.attempts
	c.attempts++
	c.addStep(stepDispatched, zap.String("endpoint", string(d.Endpoint)), zap.String("address", d.Address),
		zap.Bool("connection_kept", conn.reused), zap.Int("attempt", c.attempts))
	request := c.outgoing(d)
	request.hold = c.holdHead(ctx)
	x, err := c.gateway.upstream.send(ctx, conn, request, c.gateway.config.Headers.RequestID)
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
	c.receive(x, a, started)
	return a
}

// outgoing returns the request as it is sent to the endpoint.
func (c *call) outgoing(d Decision) *upstreamRequest {
	names := &c.gateway.config.Headers
	h := c.r.Header.Clone()
	for _, name := range hopHeaders(h) {
		h.Del(name)
	}
	h.Del("Authorization")
	h.Del(names.Team)
	if c.team != nil {
		h.Set(names.Team, c.team.Name)
	}
	h.Set(names.ExpectedEndpoint, registry.Name(string(d.Endpoint)))
	h.Set(names.Deadline, strconv.FormatInt(max(1, c.remaining().Milliseconds()), 10))
	if c.lastEventID != "" {
		h.Set(names.LastEventID, c.lastEventID)
	}
	return &upstreamRequest{
		method: c.r.Method, uri: c.r.RequestURI, host: c.r.Host, header: h, body: c.body, id: c.callerID,
	}
}

// receive reads an endpoint's response.
func (c *call) receive(x *exchange, a *attempt, started time.Time) {
	c.setAwaited(receivingResponse)
	c.gateway.responses.Add(1)
	defer c.gateway.responses.Add(-1)
	names := &c.gateway.config.Headers
	r := x.response
	c.receiveFeedback(a, r)
	c.receiveLoad(a, r)
	a.isFramed = r.ContentLength >= 0 || slices.Contains(r.TransferEncoding, "chunked")
	// A cooldown alone does not say that the endpoint rejected the request: it may have failed after it ran.
	if r.StatusCode == http.StatusMisdirectedRequest || r.Header.Get(names.NotRun) != "" {
		c.receiveNotRun(x, a)
		return
	}
	ok := r.StatusCode >= 200 && r.StatusCode < 300
	switch {
	case ok && r.Header.Get(names.Signature) == "":
		a.outcome = outcomeUnknown
		a.err = errors.New("success response lacks the endpoint's signature")
		x.abort()
	case c.headSent && !ok:
		c.receiveRefusedResumption(x, a)
	case ok && c.route.Kind == routing.KindStream:
		c.receiveStream(x, a, started)
	default:
		c.receiveWhole(x, a, started)
	}
}

// receiveRefusedResumption reads a response without success to a stream that was to be resumed. Its body must not be
// joined to the events that the caller has received.
func (c *call) receiveRefusedResumption(x *exchange, a *attempt) {
	a.outcome = outcomeFailed
	a.err = errors.Errorf("endpoint responded with status %d instead of resuming the stream", x.response.StatusCode)
	x.discard(c.gateway.upstream)
}

// receiveNotRun reads a response that states that the endpoint did not run the request.
func (c *call) receiveNotRun(x *exchange, a *attempt) {
	a.outcome = outcomeNotRun
	a.err = errors.Errorf("endpoint responded with status %d without running the request", x.response.StatusCode)
	x.discard(c.gateway.upstream)
}
