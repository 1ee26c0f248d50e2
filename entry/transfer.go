// SPDX-License-Identifier: MIT

package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lynxramp.org/event"
	"lynxramp.org/internal/httphead"
	"lynxramp.org/internal/wait"
	"lynxramp.org/slot"
)

const copyBufferSize = 8 << 10 // bytes

// copyBuffers is a pool of buffers of copyBufferSize bytes.
var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }}

// transfer is the copying of one response from a slot to the caller.
type transfer struct {
	entry      *Entry
	w          http.ResponseWriter
	q          *request
	dispatchID event.DispatchID // that the response belongs to
	endpoint   string
	epoch      event.Epoch
	outcome    Outcome
	headerSent bool // to the caller
	status     int
	address    string // of the slot
	offset     int    // bytes sent to the caller
	tokens     int    // approximate number streamed so far
	acked      int    // offset of the last acknowledgement to the slot
}

// streamEventPrefix begins each server-sent event of a stream; an event has one token.
var streamEventPrefix = []byte("data: ")

// errCallerWrite is returned when the response cannot be written to the caller.
var errCallerWrite = errors.New("write to the caller failed")

// transfer copies the response from the slot to the caller and resumes it when the
// connection to the slot is lost.
func (e *Entry) transfer(ctx context.Context, t *transfer, d Decision, response *http.Response) error {
	id := t.dispatchID
	t.address = d.Grant.Address
	until := time.Now().Add(resumeTimeout)
	for {
		before := t.offset
		err := t.copyResponse(response)
		switch {
		case err == nil:
			e.slots.ack(d.Grant.Address, slot.Ack{ID: id, Offset: t.offset, Done: true})
			return nil
		case ctx.Err() != nil || errors.Is(err, errCallerWrite):
			if d.Grant.Attach == "" {
				e.slots.cancel(d.Grant.Address, id)
			}
			return errCallerDisconnected
		case isFailure(err):
			return err
		}
		if t.offset > before {
			until = time.Now().Add(resumeTimeout)
		}
		response, err = e.resume(ctx, d, id, t.offset, until)
		if err != nil {
			return err
		}
	}
}

func isFailure(err error) bool {
	var f *Failure
	return errors.As(err, &f)
}

// resume requests the rest of a response from the slot. It retries while the slot is
// unreachable, up to the time until.
func (e *Entry) resume(ctx context.Context, d Decision, id event.DispatchID, offset int, until time.Time) (*http.Response, error) {
	for time.Now().Before(until) && ctx.Err() == nil {
		response, err := e.slots.resume(ctx, d.Grant.Address, id, offset, true)
		if err == nil && response.StatusCode == http.StatusOK {
			return response, nil
		}
		if err == nil {
			_ = response.Body.Close() // the status is all that matters
			return nil, unknownOutcome("the slot no longer has the response")
		}
		wait.For(ctx, resumeInterval)
	}
	return nil, unknownOutcome("the slot is unreachable")
}

// copyResponse copies one response to the caller. It returns nil when the response is
// complete, a Failure when it cannot be completed and another error when the
// connection was lost.
func (t *transfer) copyResponse(response *http.Response) error {
	defer response.Body.Close()
	if err := t.sendHeader(response); err != nil {
		return err
	}
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := response.Body.Read(*buf)
		if n > 0 {
			if err := t.write((*buf)[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF && response.Trailer.Get(slot.TrailerEnd) == slot.EndComplete:
			return nil
		case err == io.EOF:
			return unknownOutcome("the endpoint did not complete its response")
		case err != nil:
			return errors.Wrap(err, "connection to the slot lost")
		}
	}
}

// sendHeader sends the endpoint's status and headers to the caller, once.
func (t *transfer) sendHeader(response *http.Response) error {
	if t.headerSent {
		return nil
	}
	status, err := strconv.Atoi(response.Header.Get(slot.HeaderStatus))
	if err != nil {
		return unknownOutcome("the endpoint did not respond")
	}
	if !httphead.IsFinal(status) {
		return unknownOutcome("the endpoint responded with an invalid status")
	}
	h := t.w.Header()
	slot.UnwrapHeaders(h, response.Header)
	t.outcome = Ran
	h.Set(HeaderRequestID, string(t.q.ticket.ID))
	h.Set(HeaderEndpoint, t.endpoint)
	h.Set(HeaderOutcome, Ran.String())
	t.w.WriteHeader(status)
	t.status = status
	t.headerSent = true
	t.entry.metricSet.observeFirstByte(t.q.tier.Name, t.q.service.Name, time.Since(t.q.arrived))
	return nil
}

// write sends bytes to the caller immediately.
func (t *transfer) write(p []byte) error {
	control := http.NewResponseController(t.w)
	if err := control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	if _, err := t.w.Write(p); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	if err := control.Flush(); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	t.offset += len(p)
	t.tokens += bytes.Count(p, streamEventPrefix)
	if t.offset-t.acked >= ackThreshold {
		t.acked = t.offset
		t.entry.slots.ack(t.address, slot.Ack{ID: t.dispatchID, Offset: t.offset})
	}
	return nil
}
