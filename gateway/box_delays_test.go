// SPDX-License-Identifier: MIT

package gateway

import (
	"math"
	"net"
	"net/http"
	"testing"
	"time"

	"lynxramp.org/event"
	"lynxramp.org/overload"
)

// TestOwnerRoundTripOfUnansweredPing: a ping without an answer tells of a slow link before its answer does, by its own
// age.
func TestOwnerRoundTripOfUnansweredPing(t *testing.T) {
	const ms = event.Time(event.Millisecond)
	var r roundTrip
	if _, ok := r.value(5 * ms); ok {
		t.Error("there is a round trip without a session")
	}
	expect := func(now event.Time, want event.Duration) {
		t.Helper()
		if d, ok := r.value(now); !ok || d != want {
			t.Errorf("at %v the round trip is %v, %v, want %v", now, d, ok, want)
		}
	}
	r.pingSent(10 * ms)
	expect(40*ms, 30*event.Millisecond)
	r.pongReceived(14*ms, 10*ms)
	expect(100*ms, 4*event.Millisecond)
	r.pingSent(210 * ms)
	r.pingSent(410 * ms)
	expect(500*ms, 290*event.Millisecond)
	r.pongReceived(510*ms, 210*ms)
	expect(520*ms, 300*event.Millisecond)
	expect(800*ms, 390*event.Millisecond)
	r.pongReceived(810*ms, 410*ms)
	expect(900*ms, 400*event.Millisecond)
	r.pingSent(910 * ms)
	r.reset()
	if d, ok := r.value(950 * ms); ok {
		t.Errorf("there is a round trip of %v after the session", d)
	}
}

// TestProbeOfControlBox: a probe takes as long as it has taken so far, its result counts for a short time, and a box that
// refuses connections tells nothing.
func TestProbeOfControlBox(t *testing.T) {
	const ms = event.Time(event.Millisecond)
	var p controlProbe
	if d := p.delay(10 * ms); d != 0 {
		t.Errorf("a probe that was never started took %v", d)
	}
	p.startedAt = 10 * ms
	if d := p.delay(60 * ms); d != 50*event.Millisecond {
		t.Errorf("a probe that was started 50 ms ago took %v", d)
	}
	p.result.Store(int64(20 * event.Millisecond))
	if d := p.delay(60 * ms); d != 20*event.Millisecond {
		t.Errorf("a probe of 20 ms took %v", d)
	}
	if d := p.delay(400 * ms); d != 0 {
		t.Errorf("an old probe took %v", d)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if d := connectionTime(l.Addr().String()); d <= 0 || d > time.Second {
		t.Errorf("connecting took %v", d)
	}
	_ = l.Close()
	if d := connectionTime(l.Addr().String()); d >= 0 {
		t.Errorf("a refused connection took %v", d)
	}
}

// TestDistantOwnerIsNotProbed: an owner that is far away was probed all the time, without any overload.
func TestDistantOwnerIsNotProbed(t *testing.T) {
	const ms = event.Millisecond
	g := &Gateway{config: Config{Overload: overload.Config{Delay: 150 * ms}}}
	g.delays.leastRoundTrip = overload.NewLeastDelay()
	now := event.Time(0)
	for _, test := range []struct {
		isReached    bool // the limit of connections
		roundTrip    event.Duration
		isSuspicious bool
	}{
		{false, 100 * ms, false}, {false, 170 * ms, false}, {false, 180 * ms, true},
		{true, 110 * ms, false}, {true, 120 * ms, true}, {true, 100 * ms, false},
	} {
		now = now.Add(100 * ms)
		g.delays.limit.Store(&overload.Limit{IsReached: test.isReached})
		if got := g.isSuspicious(now, test.roundTrip); got != test.isSuspicious {
			t.Errorf("a round trip of %v is suspicious: %v, want %v; refusing connections: %v", time.Duration(test.roundTrip), got, test.isSuspicious, test.isReached)
		}
	}
}

// TestProbeAvoidsOwner: a slow owner must not slow the probe that tells it from a slow link.
func TestProbeAvoidsOwner(t *testing.T) {
	c := &OwnerClient{controlBoxes: []string{"a", "b", "c"}, address: "b"}
	for range 6 {
		if address := c.otherControlBox(); address == "b" {
			t.Error("the owner is probed")
		}
	}
	c.controlBoxes = []string{"b"}
	if address := c.otherControlBox(); address != "b" {
		t.Errorf("%q is probed", address)
	}
}

// TestOverloadedEntryDoesNotSuspectEndpoint: a request whose time ran out at an overloaded entry took its endpoint out of
// use.
func TestOverloadedEntryDoesNotSuspectEndpoint(t *testing.T) {
	for _, isDelaying := range []bool{false, true} {
		silent := func(net.Conn, *http.Request) bool {
			time.Sleep(2 * time.Second)
			return false
		}
		r := newTestGateway(t, newFakeEndpoint(t, silent))
		r.gateway.delays.limit.Store(&overload.Limit{PerSecond: math.Inf(1), IsDelaying: isDelaying})
		q := r.request("POST", "/once/x", "q")
		q.Header.Set("X-Deadline", "200")
		_, _, _ = r.do(t, q)
		waitFor(t, "the grant is finished", func() bool { return len(r.owner.finishes()) == 1 })
		if f := r.owner.finishes()[0]; f.Delayed != isDelaying || !f.NoResponse || f.Suspect == isDelaying {
			t.Errorf("overloaded %v: the request is finished as %+v", isDelaying, f)
		}
	}
}
