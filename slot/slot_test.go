// SPDX-License-Identifier: MIT

package slot

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"lynxramp.org/event"
)

// The endpoint receives a call on a reused connection and closes it without a
// response. The HTTP client must not repeat the call by itself, as it does with
// methods that it considers idempotent.
func TestDispatchIsNotRetriedByTransport(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var calls atomic.Int32
	go hangUpOnSecond(l, &calls)
	s := New(Config{EndpointURL: "http://" + l.Addr().String(), MaxBody: 1 << 20}, 1, zap.NewNop())
	for i, id := range []event.DispatchID{"first", "second"} {
		u := &run{call: call{id: id, method: http.MethodGet, path: "/"}, buffer: NewResponseBuffer(false)}
		err := s.dispatch(context.Background(), u)
		if (err != nil) != (i == 1) {
			t.Errorf("call %s: %v", id, err)
		}
	}
	if n := calls.Load(); n != 2 {
		t.Errorf("the endpoint got %d calls, want 2", n)
	}
}

// hangUpOnSecond responds to the first call of each connection and closes the
// connection at the second.
func hangUpOnSecond(l net.Listener, calls *atomic.Int32) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r := bufio.NewReader(c)
			for n := 0; ; n++ {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				calls.Add(1)
				if n > 0 {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}()
	}
}

// Over random sequences of offers, voids, ends and restarts, an id starts at most once
// in an incarnation, a void id never starts, and an offer for another incarnation or
// of an older epoch is denied.
func TestGuard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := event.Incarnation(1)
		g := NewGuard(current)
		started := make(map[event.DispatchID]bool)
		void := make(map[event.DispatchID]bool)
		newest := event.Epoch(0)
		now := event.Time(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			id := event.DispatchID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"))
			incarnation := event.Incarnation(rapid.Uint64Range(1, uint64(current)+1).Draw(t, "life"))
			now = now.Add(event.Duration(rapid.Int64Range(0, int64(idRetention)/50).Draw(t, "time")))
			switch rapid.IntRange(0, 4).Draw(t, "act") {
			case 0, 1:
				epoch := event.Epoch(rapid.Uint64Range(1, 5).Draw(t, "epoch"))
				left := event.Duration(rapid.Int64Range(-1, 1).Draw(t, "left"))
				d := g.Offer(now, Offer{ID: id, Incarnation: incarnation, Epoch: epoch, Deadline: left})
				if d != DenialNone {
					void[id] = void[id] || (d != DenialStarted && d != DenialIncarnation)
					break
				}
				if started[id] || void[id] || incarnation != current || epoch < newest || left <= 0 || g.IsDraining() {
					t.Fatalf("offer of %s was accepted: started %v, void %v", id, started[id], void[id])
				}
				newest = max(newest, epoch)
				started[id] = true
			case 2:
				if g.Void(now, id, incarnation) {
					if started[id] || incarnation != current {
						t.Fatalf("%s was made void, started %v", id, started[id])
					}
					void[id] = true
				}
			case 3:
				g.End(now, id)
			case 4:
				current++
				g = NewGuard(current)
				clear(started)
				clear(void)
				newest = 0
			}
		}
	})
}

// Append blocks once maxUnackedBytes are unacknowledged, and continues after an
// acknowledgement.
func TestAppendBlocksAtUnackedLimit(t *testing.T) {
	a := NewResponseBuffer(false)
	chunk := make([]byte, 64<<10)
	for range maxUnackedBytes / len(chunk) {
		if err := a.Append(context.Background(), chunk); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := a.Append(ctx, chunk); err == nil || a.Size() != maxUnackedBytes {
		t.Errorf("%d bytes buffered with a limit of %d: %v", a.Size(), maxUnackedBytes, err)
	}
	a.Ack(len(chunk))
	if err := a.Append(context.Background(), chunk); err != nil {
		t.Errorf("after an acknowledgement: %v", err)
	}
	if _, _, err := a.Await(context.Background(), 0, true, chunk); err == nil {
		t.Error("acknowledged bytes were not dropped")
	}
}

// An offer without its headers, or with too large a body, is not dispatched.
func TestMalformedOfferIsRejected(t *testing.T) {
	s := New(Config{EndpointURL: "http://127.0.0.1:1", MaxBody: 10}, 1, zap.NewNop())
	h := s.Handler("")
	for _, body := range []string{"", strings.Repeat("x", 100)} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/run", strings.NewReader(body)))
		if w.Code != http.StatusBadRequest || s.InFlight() != 0 {
			t.Errorf("status %d, %d in flight", w.Code, s.InFlight())
		}
	}
}

// TestLongHeadOfEngineIsNotKept guards against an engine's response whose head is read into memory up to the 10 MB that
// net/http allows by default, for each run.
func TestLongHeadOfEngineIsNotKept(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("x", 1<<20))
	}))
	defer engine.Close()
	s := New(Config{EndpointURL: engine.URL, MaxBody: 1 << 20}, 1, zap.NewNop())
	u := &run{call: call{id: "long", method: http.MethodGet, path: "/"}, buffer: NewResponseBuffer(false)}
	if err := s.dispatch(context.Background(), u); err == nil || !strings.Contains(err.Error(), "headers exceeded 65536 bytes") {
		t.Errorf("dispatch: %v, want a head that is too long", err)
	}
}
