// SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"lynxramp.org/event"
	"lynxramp.org/message"
)

// A caller that has closed its connection is told on within half a second, whatever became
// of its request by then: an endpoint at work for nobody keeps others waiting.

// cancelWithin is how long after a close an endpoint or the owner may be at work for nobody.
const cancelWithin = 500 * time.Millisecond

// rawCaller is a rawCaller's connection.
type rawCaller struct {
	t      *testing.T
	conn   *net.TCPConn
	reader *bufio.Reader
}

func (r *testGateway) call(t *testing.T) *rawCaller {
	t.Helper()
	c, err := net.Dial("tcp", r.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &rawCaller{t: t, conn: c.(*net.TCPConn), reader: bufio.NewReader(c)}
}

// send writes a request with the beginning of its body; more says how much is to come.
func (c *rawCaller) send(path, body string, more int) {
	c.t.Helper()
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request: r-1\r\nX-Deadline: 2900\r\n"+
		"Authorization: Key key\r\nContent-Length: %d\r\n\r\n%s", path, len(body)+more, body)
	if err != nil {
		c.t.Fatal(err)
	}
}

// sendChunked writes a request with its body in chunks.
func (c *rawCaller) sendChunked(path, body string) {
	c.t.Helper()
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request: r-1\r\nX-Deadline: 2900\r\n"+
		"Authorization: Key key\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", path, len(body), body)
	if err != nil {
		c.t.Fatal(err)
	}
}

// readResponse reads an answer to its end.
func (c *rawCaller) readResponse() {
	c.t.Helper()
	a, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, a.Body); err != nil || a.StatusCode != http.StatusOK {
		c.t.Fatalf("status %d, %v", a.StatusCode, err)
	}
}

// connectionCase is how a caller uses and leaves its connection.
type connectionCase struct{ kept, reset, chunked bool }

func (m connectionCase) String() string {
	return fmt.Sprintf("kept=%t,reset=%t,chunked=%t", m.kept, m.reset, m.chunked)
}

// disconnect closes the connection and returns when.
func (c *rawCaller) disconnect(m connectionCase) time.Time {
	if m.reset {
		_ = c.conn.SetLinger(0)
	}
	_ = c.conn.Close()
	return time.Now()
}

// forEachConnectionCase runs a scenario on new connections and on such that have served a request, for
// callers that close and such that reset. The caller's request is on its way when the
// scenario begins; start makes the endpoints that it meets.
func forEachConnectionCase(t *testing.T, path string, hold bool, start func() []*fakeEndpoint, scenario func(t *testing.T, r *testGateway, c *rawCaller, m connectionCase)) {
	for _, m := range []connectionCase{{}, {reset: true}, {kept: true}, {kept: true, reset: true}, {chunked: true}, {kept: true, chunked: true}} {
		t.Run(m.String(), func(t *testing.T) {
			var endpoints []*fakeEndpoint
			if m.kept {
				endpoints = append(endpoints, newFakeEndpoint(t, whole(200, "answer")))
			}
			r := newTestGateway(t, append(endpoints, start()...)...)
			c := r.call(t)
			if m.kept {
				c.send("/safe/x", "first", 0)
				c.readResponse()
				waitFor(t, "the first request has ended", func() bool { return len(r.owner.finishes()) == 1 })
			}
			r.owner.mu.Lock()
			r.owner.hold = hold
			r.owner.submits, r.owner.finished = nil, nil
			r.owner.mu.Unlock()
			if m.chunked {
				c.sendChunked(path, "question")
			} else {
				c.send(path, "question", 0)
			}
			scenario(t, r, c, m)
			waitFor(t, "nothing is held", func() bool {
				all, streams := r.gateway.Held()
				return all == 0 && streams == 0 && r.gateway.bodyBytes.Load() == 0
			})
		})
	}
}

// cancelWatcher is an endpoint's script that begins an answer and waits until its caller closes.
// started gets a value with the beginning, gone the time of the close.
type cancelWatcher struct {
	begin              answer // what it says before it waits; nil is nothing
	started, cancelled chan time.Time
}

func newCancelWatcher(begin answer) *cancelWatcher {
	return &cancelWatcher{begin, make(chan time.Time, 10), make(chan time.Time, 10)}
}

func (w *cancelWatcher) script(c net.Conn, q *http.Request) bool {
	if w.begin != nil {
		w.begin(c, q)
	}
	w.started <- time.Now()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	var one [1]byte
	if _, err := c.Read(one[:]); err == io.EOF || strings.Contains(fmt.Sprint(err), "reset") {
		w.cancelled <- time.Now()
	}
	return false
}

// checkCancelled checks that an endpoint was told of a close.
func (w *cancelWatcher) checkCancelled(t *testing.T, left time.Time) {
	t.Helper()
	select {
	case at := <-w.cancelled:
		if took := at.Sub(left); took > cancelWithin {
			t.Errorf("the endpoint was told after %v", took)
		}
	case <-time.After(2 * cancelWithin):
		t.Error("the endpoint works on for a caller that has left")
	}
}

// streamHead begins a stream and says so many events.
func streamHead(upTo int) answer {
	return func(c net.Conn, q *http.Request) bool {
		fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head(q, 200, ""))
		for id := 1; id <= upTo; id++ {
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(eventText(id)), eventText(id))
		}
		return true
	}
}

// checkWithdrawn checks that the owner was told of a close.
func (o *fakeOwner) checkWithdrawn(t *testing.T, left time.Time) {
	t.Helper()
	waitFor(t, "the owner is told", func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return len(o.withdrawn) == 1
	})
	if took := time.Since(left); took > cancelWithin {
		t.Errorf("the owner was told after %v", took)
	}
}

func (o *fakeOwner) finishes() []message.Finish {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.finished)
}

func (o *fakeOwner) submitCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.submits)
}

func TestDisconnectDuringResponse(t *testing.T) {
	for name, one := range map[string]struct {
		path  string
		begin answer
	}{
		"before its answer": {"/once/x", nil},
		"in a long answer": {"/once/x", func(c net.Conn, q *http.Request) bool {
			fmt.Fprintf(c, "%sContent-Length: 1000\r\n\r\n%s", head(q, 200, ""), strings.Repeat("a", 500))
			return true
		}},
		"before a stream":     {"/single/x", nil},
		"at a stream's head":  {"/single/x", streamHead(0)},
		"in a stream":         {"/single/x", streamHead(3)},
		"in a resumed stream": {"/stream/x", streamHead(3)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var w *cancelWatcher
			start := func() []*fakeEndpoint {
				w = newCancelWatcher(one.begin)
				return []*fakeEndpoint{newFakeEndpoint(t, w.script)}
			}
			forEachConnectionCase(t, one.path, false, start, func(t *testing.T, _ *testGateway, c *rawCaller, m connectionCase) {
				<-w.started
				time.Sleep(20 * time.Millisecond) // what was said has been passed on by then
				w.checkCancelled(t, c.disconnect(m))
			})
		})
	}
}

// TestDisconnectDuringResume: the first endpoint of a stream is lost in the middle, and the caller
// leaves while the next one is asked for, or is at work.
func TestDisconnectDuringResume(t *testing.T) {
	t.Run("at work", func(t *testing.T) {
		t.Parallel()
		var w *cancelWatcher
		start := func() []*fakeEndpoint {
			w = newCancelWatcher(nil)
			return []*fakeEndpoint{newFakeEndpoint(t, events(2, true)), newFakeEndpoint(t, w.script)}
		}
		forEachConnectionCase(t, "/stream/x", false, start, func(t *testing.T, _ *testGateway, c *rawCaller, m connectionCase) {
			<-w.started
			w.checkCancelled(t, c.disconnect(m))
		})
	})
	t.Run("asked for", func(t *testing.T) {
		t.Parallel()
		var broken chan struct{}
		start := func() []*fakeEndpoint {
			now := make(chan struct{}) // of this manner: endpoints of others may wait still
			broken = now
			first := func(c net.Conn, q *http.Request) bool {
				streamHead(2)(c, q)
				<-now
				return reset(c, q)
			}
			return []*fakeEndpoint{newFakeEndpoint(t, first), newFakeEndpoint(t, events(9, false))}
		}
		forEachConnectionCase(t, "/stream/x", false, start, func(t *testing.T, r *testGateway, c *rawCaller, m connectionCase) {
			waitFor(t, "the first endpoint is asked", func() bool { return r.owner.submitCount() == 1 })
			r.owner.mu.Lock()
			r.owner.hold = true
			r.owner.mu.Unlock()
			close(broken)
			waitFor(t, "the next endpoint is asked for", func() bool { return r.owner.submitCount() == 2 })
			r.owner.checkWithdrawn(t, c.disconnect(m))
		})
	})
}

// TestDisconnectWhileQueued: the request is withdrawn, and a grant that was on its way to it
// reaches no endpoint and is given back.
func TestDisconnectWhileQueued(t *testing.T) {
	t.Parallel()
	var e *fakeEndpoint
	start := func() []*fakeEndpoint {
		e = newFakeEndpoint(t, whole(200, "answer"))
		return []*fakeEndpoint{e}
	}
	forEachConnectionCase(t, "/once/x", true, start, func(t *testing.T, r *testGateway, c *rawCaller, m connectionCase) {
		waitFor(t, "the request waits", func() bool { return r.owner.submitCount() == 1 })
		r.owner.checkWithdrawn(t, c.disconnect(m))
		r.owner.mu.Lock()
		to := r.owner.endpoints[len(r.owner.endpoints)-1]
		r.owner.conn.Send(&message.Envelope{Decisions: &message.Decisions{Grants: []event.Granted{
			{ID: r.owner.submits[0].Ticket.ID, Endpoint: event.EndpointID(to.ID), Address: to.Address},
		}}})
		r.owner.mu.Unlock()
		waitFor(t, "the grant is given back", func() bool { return len(r.owner.finishes()) == 1 && r.owner.finishes()[0].Unused })
		if e.runs() != 0 {
			t.Errorf("%d runs for a caller that has left", e.runs())
		}
	})
}

// TestDisconnectDuringBody: nothing of the request reaches an endpoint.
func TestDisconnectDuringBody(t *testing.T) {
	for _, m := range []connectionCase{{}, {reset: true}, {kept: true}, {kept: true, reset: true}} {
		t.Run(m.String(), func(t *testing.T) {
			e := newFakeEndpoint(t, whole(200, "answer"))
			r := newTestGateway(t, e, e)
			c := r.call(t)
			if m.kept {
				c.send("/safe/x", "first", 0)
				c.readResponse()
			}
			before := e.runs()
			c.send("/safe/x", "half of", 100)
			waitFor(t, "the half is there", func() bool { return r.gateway.bodyBytes.Load() == 7 })
			left := c.disconnect(m)
			waitFor(t, "nothing is held", func() bool { all, _ := r.gateway.Held(); return all == 0 && r.gateway.bodyBytes.Load() == 0 })
			if took := time.Since(left); took > cancelWithin {
				t.Errorf("the request was held for %v", took)
			}
			if e.runs() != before {
				t.Error("half a request reached an endpoint")
			}
		})
	}
}

// TestDisconnectBeforeDispatch: a grant comes just when its caller has left. The request began on a kept
// connection, raced with its own cancelling, and its end cast suspicion on the endpoint.
func TestDisconnectBeforeDispatch(t *testing.T) {
	e := newFakeEndpoint(t, whole(200, "answer"))
	r := newTestGateway(t, e)
	c := r.call(t)
	c.send("/safe/x", "first", 0) // it leaves a connection that is kept
	c.readResponse()
	waitFor(t, "the connection is kept", func() bool {
		r.gateway.upstream.mu.Lock()
		defer r.gateway.upstream.mu.Unlock()
		return len(r.gateway.upstream.idle[e.address+" e1"]) == 1
	})
	waitFor(t, "the first request has ended", func() bool { return len(r.owner.finishes()) == 1 })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	const tries = 50
	for range tries {
		late := &call{gateway: r.gateway, r: r.request("POST", "/safe/x", "").WithContext(ctx), id: "late", callerID: "late", arrivedClock: r.agent.clock.Now(), timeout: time.Second}
		late.reportAttempt(late.try(ctx, Decision{Granted: true, Endpoint: "e1", Address: e.address}))
	}
	waitFor(t, "the grants are given back", func() bool { return len(r.owner.finishes()) == 1+tries })
	if e.runs() != 1 {
		t.Errorf("%d runs, want the first only", e.runs())
	}
	for _, f := range r.owner.finishes()[1:] {
		if !f.Unsent || !f.Void || f.Suspect {
			t.Fatalf("a grant that was not used ends as %+v: unsent, and no word on the endpoint", f)
		}
	}
}
