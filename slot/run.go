// SPDX-License-Identifier: MIT

package slot

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"lynxramp.org/engine"
	"lynxramp.org/event"
	"lynxramp.org/internal/once"
)

const readBufferSize = 16 << 10 // bytes

// maxResumes is how many times a lost stream of the endpoint is resumed.
const maxResumes = 3

// streamEventPrefix begins each server-sent event of a stream; an event has one token.
var streamEventPrefix = []byte("data: ")

// errConnLost is returned when the connection to the endpoint closed before the end
// of the response.
var errConnLost = errors.New("connection to the endpoint was lost")

// errNotSent is returned when no connection to the endpoint could be made, so the
// endpoint has received nothing.
var errNotSent = errors.New("endpoint is unreachable")

// call is a request in the form in which the slot sends it to the endpoint.
type call struct {
	id       event.DispatchID
	method   string
	path     string
	header   http.Header
	body     []byte
	priority string
	noRepeat bool // it must not be repeated; its run is never cancelled
	retain   bool // other requests may fetch the same response
}

// run is one dispatched request.
type run struct {
	call   call
	buffer *ResponseBuffer
	cancel context.CancelFunc
	mu     sync.Mutex
	// readers is the number of connections of entries that read the response.
	readers int
	// idleSince is when the last reader disconnected.
	idleSince event.Time
	// delivered is set when the entry has the complete response.
	delivered bool
}

// request returns the HTTP request of a call to the endpoint at the URL base.
func (c call) request(ctx context.Context, base string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, c.method, base+c.path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request to the endpoint")
	}
	for name, values := range c.header {
		r.Header[name] = values
	}
	r.Header.Del("Content-Length")
	r.Header.Set(engine.HeaderRequestID, string(c.id))
	r.Header.Set(engine.HeaderPriority, c.priority)
	once.SetBody(r, bytes.NewReader(c.body), len(c.body))
	return r, nil
}

// dispatch calls the endpoint and fills the run's response. It must be called at most
// once for each dispatch id. It returns nil if the response is complete.
func (s *Slot) dispatch(ctx context.Context, u *run) error {
	r, err := u.call.request(ctx, s.config.EndpointURL)
	if err != nil {
		return errors.Wrap(errNotSent, err.Error())
	}
	response, err := s.client.Do(r)
	switch {
	case once.IsDialError(err):
		err = errors.Wrap(errNotSent, err.Error())
	case err != nil:
		err = errors.Wrap(errConnLost, err.Error())
	default:
		u.buffer.Begin(response.StatusCode, response.Header)
		err = s.copyResponse(ctx, u, response.Body)
	}
	for attempt := 0; s.config.IsModel && attempt < maxResumes && errors.Is(err, errConnLost); attempt++ {
		err = s.resumeAtEngine(ctx, u)
	}
	return err
}

// copyResponse copies the endpoint's bytes to the run's response and measures the
// time between tokens.
func (s *Slot) copyResponse(ctx context.Context, u *run, body io.ReadCloser) error {
	defer body.Close()
	buf := make([]byte, readBufferSize)
	var last event.Time
	for {
		n, err := body.Read(buf)
		if n > 0 {
			now := s.clock.Now()
			if last != 0 {
				s.recordTokens(now, bytes.Count(buf[:n], streamEventPrefix), now.Sub(last))
			}
			last = now
			if err := u.buffer.Append(ctx, buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil && ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrap(errConnLost, err.Error())
		}
	}
}

// resumeAtEngine fetches the rest of a lost response from a model engine. A plain service cannot resume.
func (s *Slot) resumeAtEngine(ctx context.Context, u *run) error {
	response, err := s.fetchFromEngine(ctx, u.call.id, u.buffer.Size())
	if err != nil {
		return err
	}
	if u.buffer.Size() == 0 {
		u.buffer.Begin(http.StatusOK, response.Header)
	}
	return s.copyResponse(ctx, u, response.Body)
}

// fetchFromEngine requests a response from a model engine, from byte offset on.
func (s *Slot) fetchFromEngine(ctx context.Context, id event.DispatchID, offset int) (*http.Response, error) {
	url := s.config.EndpointURL + "/requests/" + string(id) + "/stream?offset=" + strconv.Itoa(offset)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create resume request")
	}
	response, err := s.client.Do(r)
	if err != nil {
		return nil, errors.Wrap(errConnLost, err.Error())
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close() // only the status is used
		return nil, errors.Errorf("engine did not resume the response: status %d", response.StatusCode)
	}
	return response, nil
}

// adopt resumes a request that an earlier incarnation of the slot dispatched, if the
// engine still has its response; it returns nil if not. It never dispatches.
func (s *Slot) adopt(id event.DispatchID, offset int) *run {
	ctx, cancel := context.WithCancel(context.Background())
	response, err := s.fetchFromEngine(ctx, id, offset)
	if err != nil {
		cancel()
		return nil
	}
	u := &run{call: call{id: id}, buffer: newResponseBufferAt(offset), cancel: cancel, idleSince: s.clock.Now()}
	s.mu.Lock()
	if other := s.runs[id]; other != nil || !s.guard.Adopt(s.clock.Now(), id) {
		s.mu.Unlock()
		cancel()
		_ = response.Body.Close() // another call has adopted the request
		return other
	}
	s.runs[id] = u
	s.mu.Unlock()
	u.buffer.Begin(response.StatusCode, response.Header)
	go func() {
		err := s.copyResponse(ctx, u, response.Body)
		cancel()
		s.endRun(u, err)
	}()
	return u
}

// cancelAtEngine cancels a request at a model engine.
func (s *Slot) cancelAtEngine(ctx context.Context, id event.DispatchID) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, s.config.EndpointURL+"/requests/"+string(id), nil)
	if err != nil {
		return errors.Wrap(err, "create cancel request")
	}
	response, err := s.client.Do(r)
	if err != nil {
		return errors.Wrap(err, "cancel at engine")
	}
	return response.Body.Close()
}
