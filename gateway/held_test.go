// SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lynxramp.org/event"
	"lynxramp.org/heldmem"
)

// unreadLimit is the time after which a replica cuts off a response that is left unread.
const unreadLimit = 3 * time.Second

// heldLimits are the limits of an entry of 112 MB.
func heldLimits() *HeldMemory {
	return &HeldMemory{Limits: heldmem.Limits{Total: 33 << 20, MinRate: 16 << 10, Pause: 1500 * event.Millisecond}, MaxResponseBytes: 1 << 20}
}

// newHeldGateway is a test gateway with an account of held memory, and routes whose timeout does not interfere.
func newHeldGateway(t *testing.T, held *HeldMemory, endpoints ...*fakeEndpoint) *testGateway {
	t.Helper()
	table := testTable(1, "key")
	for i := range table.Routes {
		table.Routes[i].Timeout = time.Minute
	}
	table.Limits.BodyBytes = 2 << 20
	return newConfiguredGateway(t, event.NewClock(), table, held, endpoints...)
}

// heldBytes returns what the account holds in all.
func (r *testGateway) heldBytes() (sum int64) {
	for _, k := range heldmem.Kinds {
		sum += r.gateway.account.Held(k)
	}
	return sum
}

func (r *testGateway) checkNothingHeld(t *testing.T) {
	t.Helper()
	waitFor(t, "nothing is held", func() bool {
		all, streams := r.gateway.InFlight()
		return all == 0 && streams == 0 && r.heldBytes() == 0 && r.gateway.bodyBytes.Load() == 0
	})
}

// testEvent returns an event of a given size.
func testEvent(id, size int) string {
	start := fmt.Sprintf("id: %d\ndata: ", id)
	return start + strings.Repeat("x", size-len(start)-2) + "\n\n"
}

// meteredStream streams events and measures how long the reader left it unread.
type meteredStream struct {
	events, size int
	interval     time.Duration // between events
	breaksAfter  int           // resets the connection after this event; 0 for never
	unread       atomic.Int64  // the longest write
	sent         atomic.Int64  // bytes
	done         atomic.Int64  // streams that were sent completely
	failed       atomic.Int64  // streams whose reader closed the connection
}

func (s *meteredStream) script(c net.Conn, q *http.Request) bool {
	_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10) // by default the kernel takes up to 4 MB without a reader
	first := 1
	fmt.Sscan(q.Header.Get("X-Last"), &first)
	if q.Header.Get("X-Last") != "" {
		first++
	}
	fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head(q, 200, ""))
	for id := first; id <= s.events; id++ {
		text := testEvent(id, s.size)
		began := time.Now()
		_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		for took := int64(time.Since(began)); ; {
			if longest := s.unread.Load(); took <= longest || s.unread.CompareAndSwap(longest, took) {
				break
			}
		}
		if err != nil {
			s.failed.Add(1)
			return false
		}
		s.sent.Add(int64(len(text)))
		if s.breaksAfter == id {
			time.Sleep(300 * time.Millisecond) // a reset discards what was not read yet
			return reset(c, q)
		}
		time.Sleep(s.interval)
	}
	fmt.Fprint(c, "0\r\n\r\n")
	s.done.Add(1)
	return true
}

func (s *meteredStream) checkUnread(t *testing.T) {
	t.Helper()
	if longest := time.Duration(s.unread.Load()); longest >= unreadLimit {
		t.Errorf("an endpoint was left unread for %v, want less than 3 s", longest)
	}
}

// dialCaller connects a caller whose receive buffer is bounded before the connection is made.
func (r *testGateway) dialCaller(t *testing.T, buffer int) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, buffer) })
	}}
	c, err := dialer.Dial("tcp", r.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// start sends a request for a path and returns the response after its head.
func (r *testGateway) start(t *testing.T, path string, buffer int) (net.Conn, *http.Response) {
	t.Helper()
	c := r.dialCaller(t, buffer)
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request: r-1\r\nAuthorization: Key key\r\nContent-Length: 1\r\n\r\nq", path)
	a, err := http.ReadResponse(bufio.NewReaderSize(c, 4<<10), nil)
	if err != nil {
		t.Fatal(err)
	}
	if a.StatusCode != http.StatusOK {
		t.Fatalf("status %d", a.StatusCode)
	}
	return c, a
}

// checkEvents reads events to the end of a response: they must be whole and in order, from 1 on. It returns their
// number, and whether the response is complete.
func checkEvents(t *testing.T, body io.Reader, size int) (int, bool) {
	t.Helper()
	data, err := io.ReadAll(body)
	n := 0
	for len(data) >= size {
		if want := testEvent(n+1, size); !bytes.Equal(data[:size], []byte(want)) {
			t.Fatalf("event %d begins with %.40q", n+1, data[:size])
		}
		data = data[size:]
		n++
	}
	if err == nil && len(data) > 0 {
		t.Fatalf("a response that looks complete ends with part of an event, %.40q", data)
	}
	return n, err == nil
}

const testReceiveBuffer = 64 << 10

// TestCallerThatKeepsUpIsWrittenDirectly guards against a wait, a goroutine or held memory for callers that keep up.
func TestCallerThatKeepsUpIsWrittenDirectly(t *testing.T) {
	t.Parallel()
	s := &meteredStream{events: 40, size: 200, interval: 5 * time.Millisecond}
	r := newHeldGateway(t, heldLimits(), newFakeEndpoint(t, s.script))
	_, a := r.start(t, "/single/x", testReceiveBuffer)
	reader, buffer := bufio.NewReader(a.Body), make([]byte, 200)
	for id := 1; id <= 40; id++ {
		if _, err := io.ReadFull(reader, buffer); err != nil || string(buffer) != testEvent(id, 200) {
			t.Fatalf("event %d is %.20q, %v", id, buffer, err)
		}
		if behind := (s.sent.Load() / 200) - int64(id); behind > 10 {
			t.Errorf("event %d arrives %d events late", id, behind)
		}
		if held := r.gateway.memory.account.Held(heldmem.KindStream) + r.gateway.memory.account.Held(heldmem.KindSocket); held != 0 {
			t.Fatalf("%d bytes are held for a caller that keeps up", held)
		}
	}
	if n, whole := checkEvents(t, reader, 200); n != 0 || !whole {
		t.Errorf("%d more events, complete: %t", n, whole)
	}
	r.checkNothingHeld(t)
}

// TestPausedCallerLosesNothing: the endpoint's slot is free as soon as it has sent everything, although the caller
// pauses, and the caller then gets each event once.
func TestPausedCallerLosesNothing(t *testing.T) {
	t.Parallel()
	s := &meteredStream{events: 100, size: 9000}
	r := newHeldGateway(t, heldLimits(), newFakeEndpoint(t, s.script))
	_, a := r.start(t, "/single/x", testReceiveBuffer)
	waitFor(t, "the endpoint has sent everything", func() bool { return s.done.Load() == 1 })
	waitFor(t, "the slot is given back", func() bool { return len(r.owner.finishes()) == 1 })
	if f := r.owner.finishes()[0]; f.Failed || f.Tokens != 100 {
		t.Errorf("the request is finished as %+v", f)
	}
	if held := r.gateway.memory.account.Held(heldmem.KindStream); held < 500<<10 || held > 1<<20 {
		t.Errorf("%d bytes are held of 900 kB", held)
	}
	time.Sleep(time.Second)
	if n, whole := checkEvents(t, a.Body, 9000); n != 100 || !whole {
		t.Errorf("%d of 100 events, complete: %t", n, whole)
	}
	r.checkNothingHeld(t)
	if len(r.owner.finishes()) != 1 {
		t.Error("the request was finished more than once")
	}
}

// TestSlowCallerLosesItsResponseOnly: a caller that stops or reads 2 kB/s of 4 MB is cut without an end marker, its
// endpoint is not left unread, and a caller beside it gets everything.
func TestSlowCallerLosesItsResponseOnly(t *testing.T) {
	for name, rate := range map[string]int{"stopped": 0, "2 kB/s": 2000} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slow, other := &meteredStream{events: 420, size: 10_000}, &meteredStream{events: 400, size: 10_000, interval: 5 * time.Millisecond}
			r := newHeldGateway(t, heldLimits(), newFakeEndpoint(t, slow.script), newFakeEndpoint(t, other.script))
			_, a := r.start(t, "/single/x", testReceiveBuffer)
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, b := r.start(t, "/single/x", testReceiveBuffer)
				if n, whole := checkEvents(t, b.Body, 10_000); n != 400 || !whole {
					t.Errorf("the other caller got %d of 400 events, complete: %t", n, whole)
				}
			}()
			began := time.Now()
			for slow.failed.Load() == 0 && time.Since(began) < 2*unreadLimit {
				time.Sleep(100 * time.Millisecond)
				if rate > 0 {
					_, _ = io.CopyN(io.Discard, a.Body, int64(rate/10)) // it may be cut
				}
			}
			if slow.failed.Load() != 1 {
				t.Fatal("the slow caller's request was not cancelled at the endpoint")
			}
			slow.checkUnread(t)
			if _, err := io.Copy(io.Discard, a.Body); err == nil {
				t.Error("the slow caller's response looks complete")
			}
			<-done
			other.checkUnread(t)
			waitFor(t, "both slots are given back", func() bool { return len(r.owner.finishes()) == 2 })
			r.checkNothingHeld(t)
			if got := r.gateway.meters.cutCallers(cutBufferFull).Get(); got == 0 {
				t.Error("the cut caller is not counted")
			}
		})
	}
}

// TestShortMemoryIsTakenFromSlowest: with an account that is full, a stream that was stopped for long is cut and one
// that needs memory for a short pause gets it.
func TestShortMemoryIsTakenFromSlowest(t *testing.T) {
	t.Parallel()
	limits := heldLimits()
	limits.Limits.Total = 1 << 20 // responses may take three quarters
	stopped, paused := &meteredStream{events: 60, size: 10_000}, &meteredStream{events: 50, size: 10_000}
	r := newHeldGateway(t, limits, newFakeEndpoint(t, stopped.script), newFakeEndpoint(t, paused.script))
	_, a := r.start(t, "/single/x", testReceiveBuffer)
	waitFor(t, "the first endpoint has sent everything", func() bool { return stopped.done.Load() == 1 })
	time.Sleep(1800 * time.Millisecond)
	_, b := r.start(t, "/single/x", testReceiveBuffer)
	time.Sleep(500 * time.Millisecond)
	if n, whole := checkEvents(t, b.Body, 10_000); n != 50 || !whole {
		t.Errorf("the paused caller got %d of 50 events, complete: %t", n, whole)
	}
	paused.checkUnread(t)
	if _, err := io.Copy(io.Discard, a.Body); err == nil {
		t.Error("the stopped caller's response looks complete")
	}
	r.checkNothingHeld(t)
}

// TestDisconnectWhileBehind: what is held for a caller is released when it disconnects, during a stream and after it.
func TestDisconnectWhileBehind(t *testing.T) {
	for name, s := range map[string]*meteredStream{
		"during": {events: 100, size: 9000, interval: 20 * time.Millisecond}, "after": {events: 60, size: 9000},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newHeldGateway(t, heldLimits(), newFakeEndpoint(t, s.script))
			c, _ := r.start(t, "/single/x", testReceiveBuffer)
			waitFor(t, "the caller is behind", func() bool { return r.gateway.memory.account.Held(heldmem.KindStream) > 200<<10 })
			_ = c.Close()
			began := time.Now()
			r.checkNothingHeld(t)
			if took := time.Since(began); took > cancelWithin {
				t.Errorf("memory was released %v after the disconnect", took)
			}
		})
	}
}

// TestBrokenStreamWhileBehind: an endpoint that stops in the middle costs a caller that is behind nothing that was
// received. Where the route allows it, the stream is resumed in order; otherwise it does not look complete.
func TestBrokenStreamWhileBehind(t *testing.T) {
	for name, c := range map[string]struct {
		path  string
		want  int
		whole bool
	}{"resumable": {"/stream/x", 90, true}, "not resumable": {"/single/x", 50, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := &meteredStream{events: 90, size: 9000, breaksAfter: 50}, &meteredStream{events: 90, size: 9000}
			r := newHeldGateway(t, heldLimits(), newFakeEndpoint(t, first.script), newFakeEndpoint(t, second.script))
			_, a := r.start(t, c.path, testReceiveBuffer)
			time.Sleep(800 * time.Millisecond)
			if n, whole := checkEvents(t, a.Body, 9000); n != c.want || whole != c.whole {
				t.Errorf("%d events, complete: %t, want %d, %t", n, whole, c.want, c.whole)
			}
			r.checkNothingHeld(t)
		})
	}
}

// TestRefusedResumptionIsNotJoined guards against the response of an endpoint that refuses to resume a stream being
// joined to it, with the account of held memory and without.
func TestRefusedResumptionIsNotJoined(t *testing.T) {
	t.Parallel()
	for name, held := range map[string]*HeldMemory{"with account": heldLimits(), "without": nil} {
		t.Run(name, func(t *testing.T) {
			r := newHeldGateway(t, held, newFakeEndpoint(t, events(2, true)), newFakeEndpoint(t, whole(404, "not here")))
			_, a := r.start(t, "/stream/x", testReceiveBuffer)
			got, err := io.ReadAll(a.Body)
			if string(got) != eventText(1)+eventText(2) || err == nil {
				t.Errorf("got %q, error %v, want two events of an incomplete response", got, err)
			}
			if held != nil {
				r.checkNothingHeld(t)
			}
		})
	}
}

// TestSlowCallerOfWholeResponse: the slot of a whole or long response is free although its caller pauses, and the
// caller then gets everything.
func TestSlowCallerOfWholeResponse(t *testing.T) {
	for name, size := range map[string]int{"buffered": 900 << 10, "long": 1800 << 10} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := strings.Repeat("abcdefgh", size/8)
			r := newHeldGateway(t, heldLimits(), newFakeEndpoint(t, whole(200, text)))
			c := r.dialCaller(t, testReceiveBuffer)
			fmt.Fprint(c, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request: r-1\r\nAuthorization: Key key\r\nContent-Length: 1\r\n\r\nq")
			time.Sleep(time.Second)
			if size < maxBufferedResponse && len(r.owner.finishes()) != 1 {
				t.Error("the slot is not given back while the caller pauses")
			}
			a, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(a.Body)
			if err != nil || string(got) != text {
				t.Errorf("%d of %d bytes arrived, %v", len(got), size, err)
			}
			r.checkNothingHeld(t)
			if f := r.owner.finishes(); len(f) != 1 || f[0].Failed {
				t.Errorf("the request is finished as %+v", f)
			}
		})
	}
}

// TestChunkedResponseIsHeldWhole guards against a response of unknown length that is forwarded in parts.
func TestChunkedResponseIsHeldWhole(t *testing.T) {
	t.Parallel()
	s := &meteredStream{events: 70, size: 10_000}
	r := newHeldGateway(t, heldLimits(), newFakeEndpoint(t, s.script))
	_, a := r.start(t, "/once/x", 4<<20)
	if a.ContentLength != 700_000 {
		t.Errorf("the length is %d, want 700,000", a.ContentLength)
	}
	if n, whole := checkEvents(t, a.Body, 10_000); n != 70 || !whole {
		t.Errorf("%d of 70 parts, complete: %t", n, whole)
	}
	r.checkNothingHeld(t)
}

// TestFullAccountRefusesBodies: when the account is full of bodies, a request gets a 503 with Retry-After and is not
// sent; afterwards it is served.
func TestFullAccountRefusesBodies(t *testing.T) {
	t.Parallel()
	limits := heldLimits()
	limits.Limits.Total = 64 << 10
	e := newFakeEndpoint(t, whole(200, "answer"))
	r := newHeldGateway(t, limits, e)
	holder := r.dialCaller(t, testReceiveBuffer)
	fmt.Fprintf(holder, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request: r-1\r\nAuthorization: Key key\r\nContent-Length: 47000\r\n\r\n%s", strings.Repeat("b", 46000))
	waitFor(t, "the body is held", func() bool { return r.gateway.memory.account.Held(heldmem.KindBody) > 46000 })
	refused := r.request("POST", "/once/x", strings.Repeat("c", 8000))
	a, err := http.DefaultClient.Do(refused)
	if err != nil {
		t.Fatal(err)
	}
	_ = a.Body.Close()
	if a.StatusCode != http.StatusServiceUnavailable || a.Header.Get("Retry-After") == "" || e.runs() != 0 {
		t.Errorf("status %d, Retry-After %q, %d runs, want 503 and none", a.StatusCode, a.Header.Get("Retry-After"), e.runs())
	}
	_ = holder.Close()
	r.checkNothingHeld(t)
	if status, body, _ := r.do(t, r.request("POST", "/once/x", strings.Repeat("c", 8000))); status != http.StatusOK || body != "answer" {
		t.Errorf("status %d, %q with room in the account", status, body)
	}
	r.checkNothingHeld(t)
}

// TestEndpointThatTakesNoBody: an endpoint that stops reading a body costs its request only, within a time limit, and
// the body is released.
func TestEndpointThatTakesNoBody(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		time.Sleep(8 * time.Second) // it reads nothing
	}()
	r := newHeldGateway(t, heldLimits(), &fakeEndpoint{address: l.Addr().String()})
	r.gateway.memory.bodyTimeout = 300 * time.Millisecond
	began := time.Now()
	q := r.request("POST", "/once/x", strings.Repeat("b", 1900<<10)) // more than the kernel buffers
	q.Header.Del("X-Deadline")
	status, _, _ := r.do(t, q)
	if took := time.Since(began); status != http.StatusBadGateway || took > 3*time.Second {
		t.Errorf("status %d after %v, want 502 within 3 s", status, took)
	}
	r.checkNothingHeld(t)
}

// TestStopFlushesBuffers guards against a planned stop that cuts a caller who pauses while there is time left, or waits for
// one who takes nothing.
func TestStopFlushesBuffers(t *testing.T) {
	t.Parallel()
	s := &meteredStream{events: 60, size: 9000}
	e := newFakeEndpoint(t, s.script)
	r := newHeldGateway(t, heldLimits(), e, e, e)
	_, reads := r.start(t, "/single/x", testReceiveBuffer)
	_, idle := r.start(t, "/single/x", testReceiveBuffer)
	_, pauses := r.start(t, "/single/x", testReceiveBuffer)
	waitFor(t, "the endpoints have sent everything", func() bool { return s.done.Load() == 3 })
	r.gateway.StartDraining(time.Minute)
	r.gateway.SetDrainPhase(Refusing)
	if n, whole := checkEvents(t, reads.Body, 9000); n != 60 || !whole {
		t.Errorf("the caller that reads got %d of 60 events, complete: %t", n, whole)
	}
	time.Sleep(flushIdleTimeout + 2*flushPoll)
	if n, whole := checkEvents(t, pauses.Body, 9000); n != 60 || !whole {
		t.Errorf("the caller that pauses got %d of 60 events, complete: %t", n, whole)
	}
	began := time.Now()
	r.gateway.SetDrainPhase(Stopped)
	r.checkNothingHeld(t)
	if took := time.Since(began); took > 2500*time.Millisecond {
		t.Errorf("a caller that takes nothing was waited for for %v", took)
	}
	if n, whole := checkEvents(t, idle.Body, 9000); n != 60 || !whole {
		t.Errorf("the caller that took nothing got %d of 60 events from the kernel, complete: %t", n, whole)
	}
}

// TestWithoutHeldMemoryNothingIsBuffered guards against a changed path in deployments that don't turn the account on:
// connections have the kernel's buffers, and a stopped caller keeps its endpoint until the write timeout.
func TestWithoutHeldMemoryNothingIsBuffered(t *testing.T) {
	t.Parallel()
	s := &meteredStream{events: 2000, size: 10_000}
	r := newHeldGateway(t, nil, newFakeEndpoint(t, s.script))
	r.gateway.callerWriteTimeout = 700 * time.Millisecond
	if r.gateway.memory != nil || r.gateway.upstream.memory != nil || r.server.Config.ConnContext != nil {
		t.Fatal("there is an account")
	}
	began := time.Now()
	_, a := r.start(t, "/single/x", testReceiveBuffer)
	waitFor(t, "the stopped caller is disconnected", func() bool { return s.failed.Load() == 1 })
	if took := time.Since(began); took < r.gateway.callerWriteTimeout || s.done.Load() != 0 {
		t.Errorf("the caller was disconnected after %v, want the write timeout of %v", took, r.gateway.callerWriteTimeout)
	}
	for _, k := range heldmem.Kinds {
		if held := r.gateway.account.Held(k); held != 0 {
			t.Errorf("%v bytes of kind %s are held", held, k)
		}
	}
	if _, err := io.Copy(io.Discard, a.Body); err == nil {
		t.Error("the response looks complete")
	}
}
