// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lynxramp.org/event"
	"lynxramp.org/internal/logx"
	"lynxramp.org/internal/wait"
	"lynxramp.org/rpc"
	"lynxramp.org/slot"
)

// Bounds of the entry's patience with slots.
const (
	// maxOffers is how often a request is offered to a slot that then says it
	// never ran.
	maxOffers = 12
	// offerBackoff is the first wait before a request is registered again; each
	// is twice the one before, up to maxBackoff.
	offerBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
	// resumeBound is how long a cut answer is tried to be resumed.
	resumeBound  = 8 * time.Second
	resumePause  = 50 * time.Millisecond
	writeTimeout = 60 * time.Second
)

// errCallerGone says that the caller hung up: there is nobody to answer.
var errCallerGone = errors.New("the caller went away")

// run takes a checked request to its end.
func (e *Entry) run(w http.ResponseWriter, r *http.Request, q *request) {
	w.Header().Set(HeaderRequestID, string(q.ticket.ID))
	t := &transfer{entry: e, w: w, q: q, runs: q.dispatch()}
	err := e.serveRequest(r.Context(), t)
	var failure *Failure
	if errors.As(err, &failure) && !t.begun {
		t.status = failure.Status
		t.outcome = failure.Outcome
		if t.endpoint != "" {
			w.Header().Set(HeaderEndpoint, t.endpoint)
		}
		failure.write(w)
	}
	e.meters.answered(q.tier.Name, q.service.Name, t.status, t.outcome)
	e.logAnswer(q, t, err)
	if err != nil && t.begun {
		// The caller's client notices a connection cut before the answer's end.
		panic(http.ErrAbortHandler)
	}
}

func (e *Entry) logAnswer(q *request, t *transfer, err error) {
	fields := []zap.Field{
		zap.String("request", string(q.ticket.ID)),
		zap.String("team", q.team.Name),
		zap.String("tier", q.tier.Name),
		zap.String("service", q.service.Name),
		zap.String("endpoint", t.endpoint),
		zap.Uint64("epoch", uint64(t.epoch)),
		zap.Stringer("outcome", t.outcome),
		zap.Int("status", t.status),
		zap.Int("bytes", t.offset),
		zap.Duration("took", time.Since(q.arrived)),
	}
	if err != nil {
		fields = append(fields, logx.Err(err))
	}
	e.log.Info("answered", fields...)
}

// serveRequest registers the request and offers it until an endpoint took it.
func (e *Entry) serveRequest(ctx context.Context, t *transfer) error {
	q := t.q
	for backoff := offerBackoff; q.ticket.Attempt < maxOffers; backoff = min(2*backoff, maxBackoff) {
		d, err := e.await(ctx, q)
		if err != nil {
			return err
		}
		if d.Refusal != nil {
			after := time.Duration(d.Refusal.RetryAfterMs) * time.Millisecond
			return refusal(event.Reason(d.Refusal.Reason), after)
		}
		done, err := e.offer(ctx, t, d)
		if d.Grant.Attach == "" {
			e.link.Finish(&rpc.Finish{
				Id: string(q.ticket.ID), Pool: q.ticket.Pool, Failed: err != nil, Void: !done && err == nil, Tokens: uint32(t.tokens),
			})
		}
		if done || err != nil {
			return err
		}
		q.ticket.Attempt++
		t.runs = q.dispatch()
		wait.For(ctx, backoff)
	}
	e.link.Withdraw(q.ticket.ID, q.ticket.Pool)
	return &Failure{
		Status:     http.StatusServiceUnavailable,
		Code:       "no_endpoint",
		Message:    "no endpoint took the request",
		RetryAfter: localRetryAfter,
	}
}

// await registers the request and waits for its decision.
func (e *Entry) await(ctx context.Context, q *request) (Decision, error) {
	timer := time.NewTimer(time.Until(q.deadline))
	defer timer.Stop()
	decided := e.link.Submit(q.ticket, q.arrived, q.deadline)
	select {
	case d := <-decided:
		return d, nil
	case <-ctx.Done():
		e.link.Withdraw(q.ticket.ID, q.ticket.Pool)
		return Decision{}, errCallerGone
	case <-timer.C:
		e.link.Withdraw(q.ticket.ID, q.ticket.Pool)
		return Decision{}, refusal(event.ReasonDeadline, localRetryAfter)
	}
}

// offer takes a granted request to its slot and its answer to the caller. It
// returns false, without an error, if the request has not run and will not run
// there.
func (e *Entry) offer(ctx context.Context, t *transfer, d Decision) (bool, error) {
	q := t.q
	t.epoch = d.Epoch
	if d.Grant.Attach != "" {
		return true, e.attach(ctx, t, d)
	}
	response, err := e.slots.offer(ctx, q, d)
	if errors.Is(err, errNotSent) {
		return false, nil
	}
	if err == nil && response.Header.Get(slot.HeaderDenial) != "" {
		return e.denied(response)
	}
	t.endpoint = d.Grant.Endpoint
	t.outcome = Unknown
	if err != nil {
		response, err = e.recover(ctx, t, d)
		if response == nil {
			return false, err
		}
	}
	return true, e.transfer(ctx, t, d, response)
}

// attach fetches the answer of the request that has the caller's key.
func (e *Entry) attach(ctx context.Context, t *transfer, d Decision) error {
	t.endpoint = d.Grant.Endpoint
	t.outcome = Unknown
	t.runs = event.DispatchID(d.Grant.Attach)
	until := time.Now().Add(resumeBound)
	for {
		response, err := e.slots.resume(ctx, d.Grant.Address, t.runs, 0, true)
		if err == nil && response.StatusCode == http.StatusOK {
			return e.transfer(ctx, t, d, response)
		}
		if err == nil {
			_ = response.Body.Close() // the status says it all
		}
		switch {
		case ctx.Err() != nil:
			return errCallerGone
		case err == nil && response.StatusCode == http.StatusGone, time.Now().After(until):
			return refusal(event.ReasonClaimed, 0)
		}
		// The request with the key may only now be on its way to the slot.
		wait.For(ctx, resumePause)
	}
}

// denied takes a slot's word that it did not and will not run an offer.
func (e *Entry) denied(response *http.Response) (bool, error) {
	denial := response.Header.Get(slot.HeaderDenial)
	_ = response.Body.Close() // it is empty
	switch denial {
	case slot.DenialStarted.String():
		return false, unknownFate("the slot had the request before")
	case slot.DenialDeadline.String():
		return false, refusal(event.ReasonDeadline, localRetryAfter)
	}
	return false, nil
}

// recover finds out what became of an offer whose answer did not come: the
// answer's beginning, or nil and no error when the slot proves that the request
// never ran.
func (e *Entry) recover(ctx context.Context, t *transfer, d Decision) (*http.Response, error) {
	until := time.Now().Add(resumeBound)
	for time.Now().Before(until) && ctx.Err() == nil {
		response, err := e.slots.resume(ctx, d.Grant.Address, t.runs, 0, false)
		if err == nil && response.StatusCode == http.StatusOK {
			return response, nil
		}
		if err == nil {
			_ = response.Body.Close() // the status says it all
			proved, err := e.slots.void(ctx, d.Grant, t.runs)
			if err == nil && proved {
				t.outcome = NotRun
				t.endpoint = ""
				return nil, nil
			}
			if err == nil {
				response, answered := e.adopt(ctx, t, d)
				switch {
				case response != nil:
					return response, nil
				case answered:
					return nil, unknownFate("the slot does not know what became of the request")
				}
				// The connection was cut once more: the slot is asked again.
			}
		}
		wait.For(ctx, resumePause)
	}
	if ctx.Err() != nil {
		e.slots.cancel(d.Grant.Address, t.runs)
		return nil, errCallerGone
	}
	return nil, unknownFate("the slot cannot be reached")
}

// adopt asks a slot that has forgotten the request to take it up at its engine. It
// returns the answer's beginning; if there is none, whether the slot said so.
func (e *Entry) adopt(ctx context.Context, t *transfer, d Decision) (response *http.Response, answered bool) {
	response, err := e.slots.resume(ctx, d.Grant.Address, t.runs, 0, true)
	if err != nil {
		return nil, false
	}
	if response.StatusCode == http.StatusOK {
		return response, true
	}
	_ = response.Body.Close() // the status says it all
	return nil, true
}

func unknownFate(message string) *Failure {
	return &Failure{Status: http.StatusBadGateway, Code: "fate_unknown", Message: message, Outcome: Unknown}
}
