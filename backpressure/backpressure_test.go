// SPDX-License-Identifier: MIT

package backpressure

import (
	"testing"

	"pgregory.net/rapid"

	"lynxramp.org/event"
)

func limitOf(rate float64) Feedback { return Feedback{Limited: true, Rate: rate} }

// TestResponseToEarlierRequestLiftsNoLimit: a response without a limit, to a request sent before the limit was received, must
// not lift the limit; one to a later request must.
func TestResponseToEarlierRequestLiftsNoLimit(t *testing.T) {
	var a Tracker
	a.Observe(10, 5, limitOf(2))
	if a.Observe(20, 9, Feedback{}) || !a.Limited {
		t.Error("the response to an earlier request lifted the limit")
	}
	if a.Observe(30, 9, limitOf(4)) || a.Rate != 2 {
		t.Error("the response to an earlier request raised the limit")
	}
	if !a.Observe(40, 9, limitOf(1)) || a.Rate != 1 {
		t.Error("a lower limit does not take effect at once")
	}
	if a.Observe(50, 45, Feedback{Unread: true}) || !a.Limited {
		t.Error("a response with an unreadable limit lifted the limit")
	}
	if !a.Observe(60, 45, Feedback{}) || a.Limited {
		t.Error("the response to a later request did not lift the limit")
	}
}

// TestPacerStaysWithinLimit: whatever the timing and the changes of its share, a Pacer must not exceed its limit.
func TestPacerStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Pacer
		limit := rapid.Float64Range(0.2, 200).Draw(t, "limit")
		allowed, spent := 1+limit*burstTime, 0.0
		now := event.Time(event.Second)
		share := 1.0
		p.SetRate(now, limit, share)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			step := event.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * event.Millisecond
			allowed += limit * share * step.Seconds()
			now = now.Add(step)
			for p.Available(now) > 0 {
				p.Take(now)
				spent++
			}
			if rapid.Bool().Draw(t, "changes") {
				share = rapid.Float64Range(0.1, 1).Draw(t, "part")
				p.SetRate(now, limit, share)
			}
			if spent > allowed {
				t.Fatalf("spent %v, allowed %v", spent, allowed)
			}
		}
	})
}

// TestPacerServesTinyLimit: an endpoint with a limit of about zero must still get requests, or it could never
// report a higher one.
func TestPacerServesTinyLimit(t *testing.T) {
	for _, limit := range []float64{0, 1e-9, 0.05} {
		var p Pacer
		p.SetRate(0, limit, 1)
		n := 0
		for now := event.Time(0); now < event.Time(30*event.Second); now = now.Add(50 * event.Millisecond) {
			if p.Available(now) > 0 {
				p.Take(now)
				n++
			}
		}
		if n < 2 || n > 4 {
			t.Errorf("limit %v: %d requests in 30 s", limit, n)
		}
	}
}

// TestPacerAcceptsHugeLimit: an arbitrarily large limit must not overflow.
func TestPacerAcceptsHugeLimit(t *testing.T) {
	var p Pacer
	p.SetRate(0, 1e300, 1)
	if n := p.Available(event.Time(event.Second)); n < 1000 {
		t.Errorf("%d requests available", n)
	}
}

// TestGateStopsUnpacedGrants: a grant by an owner that did not know the limit must not be used, except for rare
// probes where the owner's build has no limits.
func TestGateStopsUnpacedGrants(t *testing.T) {
	var g Gate
	now := event.Time(event.Second)
	if g.Check(now, "e", PermitNoLimit) != NotStopped {
		t.Error("a request to an endpoint without restrictions is stopped")
	}
	g.Observe(now, now, "e", limitOf(2), false)
	if g.Check(now, "e", PermitNoLimit) != StoppedByLimit || g.Check(now, "e", PermitPaced) != NotStopped {
		t.Error("the limit stops a paced grant, or no plain one")
	}
	probes := 0
	for range 100 {
		now = now.Add(300 * event.Millisecond)
		if g.Check(now, "e", PermitLegacy) == NotStopped {
			probes++
		}
	}
	if probes != 3 && probes != 2 {
		t.Errorf("%d of 100 legacy grants in 30 s were used", probes)
	}
	g.Apply(now, State{Endpoint: "e"})
	if g.Check(now, "e", PermitNoLimit) != NotStopped {
		t.Error("a limit that the owner lifted still stops requests")
	}
}

// TestGateEvictsAfterRetention: an endpoint that is unregistered briefly must keep its state.
func TestGateEvictsAfterRetention(t *testing.T) {
	var g Gate
	g.Observe(0, 0, "e", limitOf(2), false)
	absent := func(event.EndpointID) bool { return false }
	g.Sweep(event.Time(retention), absent)
	if !g.IsLimited("e") {
		t.Error("the state was removed before the retention time")
	}
	g.Sweep(event.Time(retention+1), absent)
	if g.IsTracking() {
		t.Error("the state of an absent endpoint was not removed")
	}
}

// TestOnlyOwnerLiftsItsLimit: an entry must keep reporting responses without a limit until the owner lifts it.
func TestOnlyOwnerLiftsItsLimit(t *testing.T) {
	var g Gate
	g.Observe(1, 1, "e", limitOf(2), true)
	g.Observe(5, 4, "e", Feedback{}, true)
	if !g.IsLimited("e") {
		t.Error("the entry lifted a limit that its owner keeps")
	}
	g.Apply(6, State{Endpoint: "e"})
	if g.IsLimited("e") {
		t.Error("the owner's state did not lift the limit")
	}
}

// TestGateEvictsEndedRestrictions: restrictions that have ended must not keep the gate tracking.
func TestGateEvictsEndedRestrictions(t *testing.T) {
	var g Gate
	g.Observe(1, 1, "limited", limitOf(2), false)
	g.Observe(1, 1, "cooling", Feedback{Rest: event.Second}, false)
	g.Observe(3, 2, "limited", Feedback{}, false)
	g.Sweep(event.Time(2*event.Second), func(event.EndpointID) bool { return true })
	if g.IsTracking() {
		t.Error("restrictions that ended are still tracked")
	}
}

// TestDrainingIsPermanent: neither a later response nor an owner that has not received the feedback may make a
// draining endpoint available again.
func TestDrainingIsPermanent(t *testing.T) {
	var g Gate
	g.Observe(1, 1, "e", Feedback{Leaving: true}, false)
	g.Observe(5, 4, "e", Feedback{}, false)
	g.Apply(6, State{Endpoint: "e"})
	for _, p := range []Permit{PermitNoLimit, PermitPaced, PermitLegacy} {
		if g.Check(7, "e", p) != StoppedByDrain {
			t.Errorf("permit %d: a request to a draining endpoint is not stopped", p)
		}
	}
	if own := g.RecentReports(7, 10); len(own) != 1 || !own[0].Word.Leaving {
		t.Errorf("reports to a new owner: %+v, want one with draining", own)
	}
}
