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
	"lynxramp.org/internal/wait"
	"lynxramp.org/slot"
)

// copyBytes is how much of an answer is moved at once.
const copyBytes = 8 << 10

// copyBuffers has buffers of copyBytes that are not in use.
var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBytes); return &b }}

// transfer is an answer on its way to the caller.
type transfer struct {
	entry    *Entry
	w        http.ResponseWriter
	q        *request
	runs     event.DispatchID // whose answer it is
	endpoint string
	epoch    event.Epoch
	outcome  Outcome
	begun    bool // the caller has the status
	status   int
	address  string // of the slot
	offset   int    // bytes that the caller has
	tokens   int    // that a streamed answer had so far, about
	acked    int    // bytes that the slot was told of
}

// streamEvent begins each event of a streamed answer; an event has one token.
var streamEvent = []byte("data: ")

// errCallerWrite says that the caller does not take the answer.
var errCallerWrite = errors.New("the caller does not read")

// transfer moves the answer from the slot to the caller and resumes it when the
// connection to the slot is cut.
func (e *Entry) transfer(ctx context.Context, t *transfer, d Decision, response *http.Response) error {
	id := t.runs
	t.address = d.Grant.Address
	until := time.Now().Add(resumeBound)
	for {
		before := t.offset
		err := t.part(response)
		switch {
		case err == nil:
			e.slots.ack(d.Grant.Address, slot.Ack{ID: id, Offset: t.offset, Done: true})
			return nil
		case ctx.Err() != nil || errors.Is(err, errCallerWrite):
			if d.Grant.Attach == "" {
				e.slots.cancel(d.Grant.Address, id)
			}
			return errCallerGone
		case isFailure(err):
			return err
		}
		if t.offset > before {
			until = time.Now().Add(resumeBound)
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

// resume asks the slot for the rest of an answer until it comes or cannot.
func (e *Entry) resume(ctx context.Context, d Decision, id event.DispatchID, offset int, until time.Time) (*http.Response, error) {
	for time.Now().Before(until) && ctx.Err() == nil {
		response, err := e.slots.resume(ctx, d.Grant.Address, id, offset, true)
		if err == nil && response.StatusCode == http.StatusOK {
			return response, nil
		}
		if err == nil {
			_ = response.Body.Close() // the status says it all
			return nil, unknownFate("the slot no longer has the answer")
		}
		wait.For(ctx, resumePause)
	}
	return nil, unknownFate("the slot cannot be reached")
}

// part moves one response's bytes. It returns nil at the answer's end, a
// Failure when it cannot be completed and another error when it was cut.
func (t *transfer) part(response *http.Response) error {
	defer response.Body.Close()
	if err := t.begin(response); err != nil {
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
		case err == io.EOF && response.Trailer.Get(slot.TrailerEnd) == slot.EndWhole:
			return nil
		case err == io.EOF:
			return unknownFate("the endpoint did not complete its answer")
		case err != nil:
			return errors.Wrap(err, "answer cut")
		}
	}
}

// begin sends the endpoint's status and headers, once.
func (t *transfer) begin(response *http.Response) error {
	if t.begun {
		return nil
	}
	status, err := strconv.Atoi(response.Header.Get(slot.HeaderStatus))
	if err != nil {
		return unknownFate("the endpoint did not answer")
	}
	h := t.w.Header()
	slot.Unwrap(h, response.Header)
	t.outcome = Ran
	h.Set(HeaderRequestID, string(t.q.ticket.ID))
	h.Set(HeaderEndpoint, t.endpoint)
	h.Set(HeaderOutcome, Ran.String())
	t.w.WriteHeader(status)
	t.status = status
	t.begun = true
	t.entry.meters.firstByte(t.q.tier.Name, t.q.service.Name, time.Since(t.q.arrived))
	return nil
}

// write passes bytes on to the caller at once.
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
	t.tokens += bytes.Count(p, streamEvent)
	if t.offset-t.acked >= ackBytes {
		t.acked = t.offset
		t.entry.slots.ack(t.address, slot.Ack{ID: t.runs, Offset: t.offset})
	}
	return nil
}
