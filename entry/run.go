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

// Limits on retries towards slots.
const (
	// maxOffers is the maximum number of times that a request is granted and offered
	// to a slot.
	maxOffers = 12
	// offerBackoff is the delay before a request is registered again. It doubles with
	// each attempt, up to maxBackoff.
	offerBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
	// resumeTimeout limits how long a lost response is resumed without progress.
	resumeTimeout  = 8 * time.Second
	resumeInterval = 50 * time.Millisecond
	writeTimeout   = 60 * time.Second
)

// errCallerDisconnected is returned when the caller closed its connection.
var errCallerDisconnected = errors.New("caller disconnected")

// serveParsed runs a parsed request and writes its response.
func (e *Entry) serveParsed(w http.ResponseWriter, r *http.Request, q *request) {
	w.Header().Set(HeaderRequestID, string(q.ticket.ID))
	t := &transfer{entry: e, w: w, q: q, dispatchID: q.dispatch()}
	err := e.serveRequest(r.Context(), t)
	var failure *Failure
	if errors.As(err, &failure) && !t.headerSent {
		t.status = failure.Status
		t.outcome = failure.Outcome
		if t.endpoint != "" {
			w.Header().Set(HeaderEndpoint, t.endpoint)
		}
		failure.write(w)
	}
	e.metricSet.countResponse(q.tier.Name, q.service.Name, t.status, t.outcome)
	e.logResult(q, t, err)
	if err != nil && t.headerSent {
		// The header is already sent: abort the connection, so that the caller's
		// client does not take the response for complete.
		panic(http.ErrAbortHandler)
	}
}

func (e *Entry) logResult(q *request, t *transfer, err error) {
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
	e.log.Info("request finished", fields...)
}

// serveRequest registers the request and offers it to slots until one has run it, the
// scheduler refuses it or maxOffers is reached.
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
			e.owner.Finish(&rpc.Finish{
				Id: string(q.ticket.ID), Pool: q.ticket.Pool, Failed: err != nil, Void: !done && err == nil, Tokens: uint32(t.tokens),
			})
		}
		if done || err != nil {
			return err
		}
		q.ticket.Attempt++
		t.dispatchID = q.dispatch()
		wait.For(ctx, backoff)
	}
	e.owner.Withdraw(q.ticket.ID, q.ticket.Pool)
	return &Failure{
		Status:     http.StatusServiceUnavailable,
		Code:       "no_endpoint",
		Message:    "no endpoint accepted the request",
		RetryAfter: localRetryAfter,
	}
}

// await registers the request and waits for its decision.
func (e *Entry) await(ctx context.Context, q *request) (Decision, error) {
	timer := time.NewTimer(time.Until(q.deadline))
	defer timer.Stop()
	decided := e.owner.Submit(q.ticket, q.arrived, q.deadline)
	select {
	case d := <-decided:
		return d, nil
	case <-ctx.Done():
		e.owner.Withdraw(q.ticket.ID, q.ticket.Pool)
		return Decision{}, errCallerDisconnected
	case <-timer.C:
		e.owner.Withdraw(q.ticket.ID, q.ticket.Pool)
		return Decision{}, refusal(event.ReasonDeadline, localRetryAfter)
	}
}

// offer sends a granted request to its slot and copies the response to the caller. It
// returns false and no error if the request did not run and will not run there.
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
		return e.handleDenial(response)
	}
	t.endpoint = d.Grant.Endpoint
	t.outcome = Unknown
	if err != nil {
		response, err = e.recoverOffer(ctx, t, d)
		if response == nil {
			return false, err
		}
	}
	return true, e.transfer(ctx, t, d, response)
}

// attach returns to the caller the response of the earlier request that has the same
// idempotency key.
func (e *Entry) attach(ctx context.Context, t *transfer, d Decision) error {
	t.endpoint = d.Grant.Endpoint
	t.outcome = Unknown
	t.dispatchID = event.DispatchID(d.Grant.Attach)
	until := time.Now().Add(resumeTimeout)
	for {
		response, err := e.slots.resume(ctx, d.Grant.Address, t.dispatchID, 0, true)
		if err == nil && response.StatusCode == http.StatusOK {
			return e.transfer(ctx, t, d, response)
		}
		if err == nil {
			_ = response.Body.Close() // the status is all that matters
		}
		switch {
		case ctx.Err() != nil:
			return errCallerDisconnected
		case err == nil && response.StatusCode == http.StatusGone, time.Now().After(until):
			return refusal(event.ReasonClaimed, 0)
		}
		// The earlier request may not have reached the slot yet: retry.
		wait.For(ctx, resumeInterval)
	}
}

// handleDenial returns what follows from a slot's denial: the request did not run,
// or its outcome is unknown.
func (e *Entry) handleDenial(response *http.Response) (bool, error) {
	denial := response.Header.Get(slot.HeaderDenial)
	_ = response.Body.Close() // empty
	switch denial {
	case slot.DenialStarted.String():
		return false, unknownOutcome("the slot already received this request")
	case slot.DenialDeadline.String():
		return false, refusal(event.ReasonDeadline, localRetryAfter)
	}
	return false, nil
}

// recoverOffer determines the outcome of an offer whose response was lost. It returns
// the response from its beginning, or nil and no error if the slot confirms that the
// request never ran.
func (e *Entry) recoverOffer(ctx context.Context, t *transfer, d Decision) (*http.Response, error) {
	until := time.Now().Add(resumeTimeout)
	for time.Now().Before(until) && ctx.Err() == nil {
		response, err := e.slots.resume(ctx, d.Grant.Address, t.dispatchID, 0, false)
		if err == nil && response.StatusCode == http.StatusOK {
			return response, nil
		}
		if err == nil {
			_ = response.Body.Close() // the status is all that matters
			confirmed, err := e.slots.void(ctx, d.Grant, t.dispatchID)
			if err == nil && confirmed {
				t.outcome = NotRun
				t.endpoint = ""
				return nil, nil
			}
			if err == nil {
				response, replied := e.adopt(ctx, t, d)
				switch {
				case response != nil:
					return response, nil
				case replied:
					return nil, unknownOutcome("the slot does not know the outcome of the request")
				}
				// The connection was lost again: retry.
			}
		}
		wait.For(ctx, resumeInterval)
	}
	if ctx.Err() != nil {
		e.slots.cancel(d.Grant.Address, t.dispatchID)
		return nil, errCallerDisconnected
	}
	return nil, unknownOutcome("the slot is unreachable")
}

// adopt makes a slot without a record of the request resume it at its engine. It
// returns the response from its beginning, or whether the slot replied that there is
// none.
func (e *Entry) adopt(ctx context.Context, t *transfer, d Decision) (response *http.Response, replied bool) {
	response, err := e.slots.resume(ctx, d.Grant.Address, t.dispatchID, 0, true)
	if err != nil {
		return nil, false
	}
	if response.StatusCode == http.StatusOK {
		return response, true
	}
	_ = response.Body.Close() // the status is all that matters
	return nil, true
}

func unknownOutcome(message string) *Failure {
	return &Failure{Status: http.StatusBadGateway, Code: "fate_unknown", Message: message, Outcome: Unknown}
}
