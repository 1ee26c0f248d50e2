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

// readBytes is how much is read from the endpoint at once.
const readBytes = 16 << 10

// resumeTries bounds how often a cut stream of the endpoint is resumed.
const resumeTries = 3

// streamEvent begins each event of a streamed answer; an event has one token.
var streamEvent = []byte("data: ")

// errCut says that the endpoint's connection ended before its answer did.
var errCut = errors.New("the endpoint's connection was cut")

// errNotSent says that the endpoint could not be reached: it has seen nothing.
var errNotSent = errors.New("the endpoint cannot be reached")

// call is a request as the slot sends it to its endpoint.
type call struct {
	id       event.DispatchID
	method   string
	path     string
	header   http.Header
	body     []byte
	priority string
	noRepeat bool
	keep     bool
}

// run is one dispatched request.
type run struct {
	call   call
	answer *Answer
	cancel context.CancelFunc
	mu     sync.Mutex
	// readers counts the entries' connections that read the answer.
	readers int
	// idle is when the last reader left.
	idle event.Time
	// taken is set when the entry has the whole answer.
	taken bool
}

// request makes the HTTP request of a call to the endpoint at base.
func (c call) request(ctx context.Context, base string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, c.method, base+c.path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "request to the endpoint")
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

// dispatch calls the endpoint and fills the run's answer. It is called once for
// each request id. It returns nil when the answer is whole.
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
		err = errors.Wrap(errCut, err.Error())
	default:
		u.answer.Begin(response.StatusCode, response.Header)
		err = s.copyAnswer(ctx, u, response.Body)
	}
	for try := 0; try < resumeTries && errors.Is(err, errCut); try++ {
		err = s.resumeAtEngine(ctx, u)
	}
	return err
}

// copyAnswer moves the endpoint's bytes into the answer and times them.
func (s *Slot) copyAnswer(ctx context.Context, u *run, body io.ReadCloser) error {
	defer body.Close()
	buf := make([]byte, readBytes)
	var last event.Time
	for {
		n, err := body.Read(buf)
		if n > 0 {
			now := s.clock.Now()
			if last != 0 {
				s.measure(now, bytes.Count(buf[:n], streamEvent), now.Sub(last))
			}
			last = now
			if err := u.answer.Append(ctx, buf[:n]); err != nil {
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
			return errors.Wrap(errCut, err.Error())
		}
	}
}

// resumeAtEngine asks a model engine for the rest of a cut answer.
func (s *Slot) resumeAtEngine(ctx context.Context, u *run) error {
	if !s.config.Model {
		return errors.New("cut, and a plain service cannot resume")
	}
	response, err := s.askEngine(ctx, u.call.id, u.answer.Size())
	if err != nil {
		return err
	}
	if u.answer.Size() == 0 {
		u.answer.Begin(http.StatusOK, response.Header)
	}
	return s.copyAnswer(ctx, u, response.Body)
}

// askEngine asks a model engine for an answer from byte offset on.
func (s *Slot) askEngine(ctx context.Context, id event.DispatchID, offset int) (*http.Response, error) {
	url := s.config.EndpointURL + "/requests/" + string(id) + "/stream?offset=" + strconv.Itoa(offset)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "resume request")
	}
	response, err := s.client.Do(r)
	if err != nil {
		return nil, errors.Wrap(errCut, err.Error())
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close() // its content says no more than the status
		return nil, errors.Errorf("the engine does not resume: status %d", response.StatusCode)
	}
	return response, nil
}

// adopt takes up a request that an earlier life of the slot dispatched, if the
// engine still answers for it; nil if not. Nothing is dispatched.
func (s *Slot) adopt(id event.DispatchID, offset int) *run {
	ctx, cancel := context.WithCancel(context.Background())
	response, err := s.askEngine(ctx, id, offset)
	if err != nil {
		cancel()
		return nil
	}
	u := &run{call: call{id: id}, answer: newAnswerFrom(offset), cancel: cancel, idle: s.clock.Now()}
	s.mu.Lock()
	if other := s.runs[id]; other != nil || !s.guard.Adopt(s.clock.Now(), id) {
		s.mu.Unlock()
		cancel()
		_ = response.Body.Close() // another call took the request up
		return other
	}
	s.runs[id] = u
	s.mu.Unlock()
	u.answer.Begin(response.StatusCode, response.Header)
	go func() {
		err := s.copyAnswer(ctx, u, response.Body)
		cancel()
		s.end(u, err)
	}()
	return u
}

// cancelAtEngine tells a model engine to stop working on a request.
func (s *Slot) cancelAtEngine(ctx context.Context, id event.DispatchID) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, s.config.EndpointURL+"/requests/"+string(id), nil)
	if err != nil {
		return errors.Wrap(err, "cancel request")
	}
	response, err := s.client.Do(r)
	if err != nil {
		return errors.Wrap(err, "cancel at the engine")
	}
	return response.Body.Close()
}
