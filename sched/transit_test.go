// SPDX-License-Identifier: MIT

package sched

import (
	"testing"

	"lynxramp.org/event"
)

// runCalls runs calls that take a time at their endpoint and hold their slots for longer, one after the other at each
// slot. It returns the time.
func runCalls(s *State, now event.Time, rounds int, taken, held event.Duration, slowdown float64) event.Time {
	id := -1_000_000
	for range rounds {
		var out event.Effects
		for range 6 {
			id--
			s.Step(now, plainCall(id), &out)
		}
		now = now.Add(held)
		for _, g := range out.Grants {
			finishCall(s, now, g.ID, taken, slowdown, &event.Effects{})
		}
	}
	return now
}

// TestPlainCallsAreGrantedAhead guards against slots that an endpoint does not use while ends and grants are on their
// way, and against granting ahead where that time is short, where endpoints report no slowdown, or where they reject it.
func TestPlainCallsAreGrantedAhead(t *testing.T) {
	for _, c := range []struct {
		name        string
		taken, held event.Duration
		slowdown    float64
		want        int // grants at an idle endpoint of 6 slots
	}{
		{"long transit", 60 * event.Millisecond, 90 * event.Millisecond, 1, 9},
		{"transit longer than the call", 15 * event.Millisecond, 60 * event.Millisecond, 1, 10},
		{"short transit", 60 * event.Millisecond, 68 * event.Millisecond, 1, 6},
		{"no report", 60 * event.Millisecond, 90 * event.Millisecond, 0, 6},
		{"impossible time", 90 * event.Millisecond, 60 * event.Millisecond, 1, 6},
	} {
		s := plainPool(1, 6)
		now := runCalls(s, 0, 40, c.taken, c.held, c.slowdown)
		s.Step(now, &event.Tick{}, &event.Effects{})
		if got := grantsOf(s, now, 0, 12); got["e000"] != c.want {
			t.Errorf("%s: %d grants, want %d", c.name, got["e000"], c.want)
		}
	}
	s := plainPool(1, 6)
	now := runCalls(s, 0, 40, 60*event.Millisecond, 90*event.Millisecond, 1)
	s.Step(now, &event.Tick{}, &event.Effects{})
	grantsOf(s, now, 0, 9)
	s.Step(now, &event.Finished{ID: "r0", Pool: pool, Void: true, Failed: true}, &event.Effects{})
	for i := range 9 {
		finishCall(s, now, plainCall(i).Ticket.ID, 60*event.Millisecond, 1, &event.Effects{})
	}
	now = now.Add(event.Second)
	s.Step(now, &event.Tick{}, &event.Effects{})
	if got := grantsOf(s, now, 100, 12); got["e000"] != 6 {
		t.Errorf("%d grants after the endpoint rejected a call beyond its 6 slots", got["e000"])
	}
}

// TestGrantingAheadServesMorePlainCalls guards against refusing plain calls while the slots of their endpoints are idle.
func TestGrantingAheadServesMorePlainCalls(t *testing.T) {
	const seeds = 3
	for _, latency := range []event.Duration{4 * event.Millisecond, 15 * event.Millisecond, 30 * event.Millisecond} {
		simulate := func(report slowdownReport) *loadResult {
			sum := &loadResult{}
			for seed := range uint64(seeds) {
				l := plainLoad(seed)
				l.latency, l.report = latency, report
				sum.add(runLoad(l))
			}
			return sum
		}
		before, after := simulate(nil), simulate(honest)
		t.Logf("one way %v: value %.4f, %d refused; with reports %.4f, %d refused", latency, before.earnedShare(), before.refused, after.earnedShare(), after.refused)
		if after.earnedShare() < before.earnedShare()-0.002 || latency > 10*event.Millisecond && after.refused > before.refused*2/3 {
			t.Errorf("one way %v: value %.4f, %d refused; with reports %.4f, %d refused", latency, before.earnedShare(), before.refused, after.earnedShare(), after.refused)
		}
	}
}
