// SPDX-License-Identifier: MIT

package sched

import (
	"testing"

	"lynxramp.org/event"
)

// poolInCooldown returns a pool of two endpoints that asked an entry for cooldowns, the first for a longer one.
func poolInCooldown(entry event.BoxID) *State {
	s := discoveredPool(2, 1)
	var out event.Effects
	for _, r := range []event.CooldownRequested{{Entry: entry, Endpoint: "e0000", For: 4 * event.Second}, {Entry: entry, Endpoint: "e0001", For: 2 * event.Second}} {
		s.Step(0, &r, &out)
	}
	return s
}

func callFrom(id int, entry event.BoxID, timeout event.Duration) *event.Submitted {
	s := submission(id, func(k *event.Ticket) { k.Patience = timeout })
	s.Entry = entry
	return s
}

// TestRefusesEntryInCooldownAtAllEndpoints checks that its requests are refused at once until the first cooldown
// ends, and that those of another entry are served.
func TestRefusesEntryInCooldownAtAllEndpoints(t *testing.T) {
	s := poolInCooldown("a")
	var out event.Effects
	now := event.Time(event.Second)
	s.Step(now, callFrom(1, "a", 500*event.Millisecond), &out)
	if len(out.Refusals) != 1 || out.Refusals[0].Reason != event.ReasonCooldown {
		t.Fatalf("refusals %+v, grants %+v", out.Refusals, out.Grants)
	}
	if after := out.Refusals[0].RetryAfter; after < event.Second || after > 1250*event.Millisecond {
		t.Errorf("Retry-After %v, want 1 s plus up to a quarter", after)
	}
	out.Reset()
	s.Step(now, callFrom(2, "b", 500*event.Millisecond), &out)
	if len(out.Grants) != 1 {
		t.Errorf("another entry: grants %+v", out.Grants)
	}
	out.Reset()
	s.Step(event.Time(2100*event.Millisecond), callFrom(3, "a", 500*event.Millisecond), &out)
	if len(out.Grants) != 1 || out.Grants[0].Endpoint != "e0001" {
		t.Errorf("after the cooldown: grants %+v", out.Grants)
	}
}

// TestRequestWaitsForShortCooldown checks that a request waits for a cooldown that ends in time, without blocking
// other entries.
func TestRequestWaitsForShortCooldown(t *testing.T) {
	s := poolInCooldown("a")
	var out event.Effects
	now := event.Time(1800 * event.Millisecond)
	s.Step(now, callFrom(1, "a", 500*event.Millisecond), &out)
	s.Step(now, callFrom(2, "b", 500*event.Millisecond), &out)
	if len(out.Refusals) != 0 || len(out.Grants) != 1 || out.Grants[0].Entry != "b" {
		t.Fatalf("refusals %+v, grants %+v", out.Refusals, out.Grants)
	}
	s.Step(now, &event.Finished{ID: out.Grants[0].ID, Tokens: 50}, &out)
	out.Reset()
	s.Step(event.Time(2020*event.Millisecond), &event.Tick{}, &out)
	if len(out.Grants) != 1 || out.Grants[0].Entry != "a" {
		t.Errorf("grants %+v", out.Grants)
	}
}

// TestRequestIsNotRefusedLateAfterCooldown guards against a request that waits for the end of a cooldown until its
// queue timeout is nearly over, is rejected again, and is refused late.
func TestRequestIsNotRefusedLateAfterCooldown(t *testing.T) {
	s := poolInCooldown("a")
	var out event.Effects
	now := event.Time(1600 * event.Millisecond)
	s.Step(now, callFrom(1, "a", 500*event.Millisecond), &out)
	if len(out.Refusals) != 1 || out.Refusals[0].Reason != event.ReasonCooldown {
		t.Errorf("refusals %+v of a request that has 100 ms left after the cooldown", out.Refusals)
	}
}

// TestRefusesWaitingRequestsOnCooldown checks that a cooldown at all endpoints also refuses requests that already
// wait.
func TestRefusesWaitingRequestsOnCooldown(t *testing.T) {
	s := discoveredPool(1, 1)
	var out event.Effects
	s.Step(0, callFrom(1, "a", 500*event.Millisecond), &out)
	s.Step(0, callFrom(2, "a", 500*event.Millisecond), &out)
	s.Step(0, &event.CooldownRequested{Entry: "a", Endpoint: "e0000", For: 2 * event.Second}, &out)
	s.Step(1, &event.Tick{}, &out)
	if len(out.Refusals) != 1 || out.Refusals[0].Reason != event.ReasonCooldown {
		t.Errorf("refusals %+v", out.Refusals)
	}
}

// TestRemovedEntryLosesCooldowns guards against applying the cooldowns of a terminated entry to its successor.
func TestRemovedEntryLosesCooldowns(t *testing.T) {
	s := poolInCooldown("a")
	var out event.Effects
	s.Step(0, &event.EntryRemoved{Entry: "a"}, &out)
	s.Step(0, callFrom(1, "a", 500*event.Millisecond), &out)
	if len(out.Grants) != 1 || s.cooldownEndpoints != 0 {
		t.Errorf("grants %+v, %d endpoints with cooldowns", out.Grants, s.cooldownEndpoints)
	}
}

// TestCooldownOfOneEntryHoldsUpNoOther guards against a rejection with a cooldown that makes the endpoint unavailable to
// all entries for a while: requests of others waited, and so did those that the cooldown refuses.
func TestCooldownOfOneEntryHoldsUpNoOther(t *testing.T) {
	s := discoveredPool(1, 4)
	var out event.Effects
	s.Step(0, callFrom(1, "a", 500*event.Millisecond), &out)
	if len(out.Grants) != 1 {
		t.Fatalf("grants %+v", out.Grants)
	}
	now := event.Time(10 * event.Millisecond)
	s.Step(now, &event.CooldownRequested{Entry: "a", Endpoint: "e0000", For: 2 * event.Second}, &out)
	s.Step(now, &event.Finished{ID: "r1", Void: true}, &out)
	out.Reset()
	s.Step(now, callFrom(2, "b", 500*event.Millisecond), &out)
	if len(out.Grants) != 1 || out.Grants[0].Entry != "b" {
		t.Errorf("another entry: grants %+v, refusals %+v", out.Grants, out.Refusals)
	}
	out.Reset()
	s.Step(now, callFrom(3, "a", 500*event.Millisecond), &out)
	if len(out.Refusals) != 1 || out.Refusals[0].Reason != event.ReasonCooldown {
		t.Errorf("the entry itself: grants %+v, refusals %+v", out.Grants, out.Refusals)
	}
	out.Reset()
	s.Step(now, &event.Finished{ID: "r2", Void: true}, &out)
	s.Step(now.Add(EndpointBackoff/2), callFrom(4, "b", 500*event.Millisecond), &out)
	if len(out.Grants) != 0 {
		t.Errorf("after a rejection without a cooldown: grants %+v", out.Grants)
	}
}
