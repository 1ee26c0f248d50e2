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

// When a caller disconnects, its request must be cancelled at the endpoint and at the owner within cancelWithin.

// cancelWithin is how long after a disconnect an endpoint may still run the request, or the owner queue it.
const cancelWithin = 500 * time.Millisecond

// rawCaller is a caller that controls its connection.
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

// send writes a request with the first part of its body; more is the length of the missing rest.
func (c *rawCaller) send(path, body string, more int) {
	c.t.Helper()
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request: r-1\r\nX-Deadline: 2900\r\n"+
		"Authorization: Key key\r\nContent-Length: %d\r\n\r\n%s", path, len(body)+more, body)
	if err != nil {
		c.t.Fatal(err)
	}
}

// sendChunked writes a request with a chunked body.
func (c *rawCaller) sendChunked(path, body string) {
	c.t.Helper()
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request: r-1\r\nX-Deadline: 2900\r\n"+
		"Authorization: Key key\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", path, len(body), body)
	if err != nil {
		c.t.Fatal(err)
	}
}

// readResponse reads a response to its end.
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

// connectionCase is how a caller uses and closes its connection.
type connectionCase struct{ kept, reset, chunked bool }

func (m connectionCase) String() string {
	return fmt.Sprintf("kept=%t,reset=%t,chunked=%t", m.kept, m.reset, m.chunked)
}

// disconnect closes the connection and returns the time.
func (c *rawCaller) disconnect(m connectionCase) time.Time {
	if m.reset {
		_ = c.conn.SetLinger(0)
	}
	_ = c.conn.Close()
	return time.Now()
}

// forEachConnectionCase runs a scenario on new and reused connections, for callers that close and callers that reset.
// The request has been sent when the scenario starts; start returns the endpoints for it.
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
			waitFor(t, "no request is held", func() bool {
				all, streams := r.gateway.InFlight()
				return all == 0 && streams == 0 && r.gateway.bodyBytes.Load() == 0
			})
		})
	}
}

// cancelWatcher is the script of an endpoint that starts a response and waits for its caller to close. started gets
// the time of the start, cancelled the time of the close.
type cancelWatcher struct {
	begin              responder // what it sends before it waits; nil for nothing
	started, cancelled chan time.Time
}

func newCancelWatcher(begin responder) *cancelWatcher {
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

// checkCancelled checks that the endpoint saw the connection close in time.
func (w *cancelWatcher) checkCancelled(t *testing.T, disconnectedAt time.Time) {
	t.Helper()
	select {
	case at := <-w.cancelled:
		if took := at.Sub(disconnectedAt); took > cancelWithin {
			t.Errorf("the request was cancelled %v after the disconnect, want at most cancelWithin", took)
		}
	case <-time.After(2 * cancelWithin):
		t.Error("the endpoint still runs the request of a disconnected caller")
	}
}

// streamHead starts a stream and sends some events.
func streamHead(upTo int) responder {
	return func(c net.Conn, q *http.Request) bool {
		fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head(q, 200, ""))
		for id := 1; id <= upTo; id++ {
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(eventText(id)), eventText(id))
		}
		return true
	}
}

// checkWithdrawn checks that the request was withdrawn at the owner in time.
func (o *fakeOwner) checkWithdrawn(t *testing.T, disconnectedAt time.Time) {
	t.Helper()
	waitFor(t, "the request is withdrawn", func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return len(o.withdrawn) == 1
	})
	if took := time.Since(disconnectedAt); took > cancelWithin {
		t.Errorf("the request was withdrawn %v after the disconnect, want at most cancelWithin", took)
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

// TestDisconnectDuringResponse guards against an endpoint that keeps running a request whose caller has disconnected.
func TestDisconnectDuringResponse(t *testing.T) {
	for name, one := range map[string]struct {
		path  string
		begin responder
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
				time.Sleep(20 * time.Millisecond) // everything sent has been forwarded by then
				w.checkCancelled(t, c.disconnect(m))
			})
		})
	}
}

// TestDisconnectDuringResume: the caller disconnects after its stream broke off, while the next endpoint is
// requested or is responding.
func TestDisconnectDuringResume(t *testing.T) {
	t.Run("next endpoint is responding", func(t *testing.T) {
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
	t.Run("next endpoint is requested", func(t *testing.T) {
		t.Parallel()
		var broken chan struct{}
		start := func() []*fakeEndpoint {
			breakNow := make(chan struct{}) // per case, as endpoints of other cases may still wait
			broken = breakNow
			first := func(c net.Conn, q *http.Request) bool {
				streamHead(2)(c, q)
				<-breakNow
				return reset(c, q)
			}
			return []*fakeEndpoint{newFakeEndpoint(t, first), newFakeEndpoint(t, events(9, false))}
		}
		forEachConnectionCase(t, "/stream/x", false, start, func(t *testing.T, r *testGateway, c *rawCaller, m connectionCase) {
			waitFor(t, "the first endpoint is requested", func() bool { return r.owner.submitCount() == 1 })
			r.owner.mu.Lock()
			r.owner.hold = true
			r.owner.mu.Unlock()
			close(broken)
			waitFor(t, "the next endpoint is requested", func() bool { return r.owner.submitCount() == 2 })
			r.owner.checkWithdrawn(t, c.disconnect(m))
		})
	})
}

// TestDisconnectWhileQueued: the request is withdrawn. A grant in transit is returned and reaches no
// endpoint.
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
		waitFor(t, "the grant is returned", func() bool { return len(r.owner.finishes()) == 1 && r.owner.finishes()[0].Unused })
		if e.runs() != 0 {
			t.Errorf("%d runs for a disconnected caller, want none", e.runs())
		}
	})
}

// TestDisconnectDuringBody: nothing of an incomplete request reaches an endpoint.
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
			waitFor(t, "half the body has arrived", func() bool { return r.gateway.bodyBytes.Load() == 7 })
			disconnectedAt := c.disconnect(m)
			waitFor(t, "no request is held", func() bool { all, _ := r.gateway.InFlight(); return all == 0 && r.gateway.bodyBytes.Load() == 0 })
			if took := time.Since(disconnectedAt); took > cancelWithin {
				t.Errorf("the request was held for %v after the disconnect, want at most cancelWithin", took)
			}
			if e.runs() != before {
				t.Error("half a request reached an endpoint")
			}
		})
	}
}

// TestDisconnectBeforeDispatch guards against sending on a kept connection for a caller that has just
// disconnected: the cancellation would look like a failure of the endpoint.
func TestDisconnectBeforeDispatch(t *testing.T) {
	e := newFakeEndpoint(t, whole(200, "answer"))
	r := newTestGateway(t, e)
	c := r.call(t)
	c.send("/safe/x", "first", 0) // leaves a kept connection
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
	waitFor(t, "the grants are returned", func() bool { return len(r.owner.finishes()) == 1+tries })
	if e.runs() != 1 {
		t.Errorf("%d runs, want the first only", e.runs())
	}
	for _, f := range r.owner.finishes()[1:] {
		if !f.Unsent || !f.Void || f.Suspect {
			t.Fatalf("an unused grant is finished as %+v, want unsent and the endpoint not suspect", f)
		}
	}
}
