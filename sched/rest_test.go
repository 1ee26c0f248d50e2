// SPDX-License-Identifier: MIT

package sched

import (
	"testing"

	"lynxramp.org/event"
)

// rested returns a pool of two endpoints which want nothing of an entry for a while, the first for longer.
func rested(entry event.BoxID) *State {
	s := discovered(2, 1)
	var out event.Effects
	for _, r := range []event.Rested{{Entry: entry, Endpoint: "e0000", For: 4 * event.Second}, {Entry: entry, Endpoint: "e0001", For: 2 * event.Second}} {
		s.Step(0, &r, &out)
	}
	return s
}

func callOf(id int, entry event.BoxID, patience event.Span) *event.Submitted {
	one := call(id, func(k *event.Ticket) { k.Patience = patience })
	one.Entry = entry
	return one
}

// TestEntryThatAllAskForRestIsToldAtOnce: its callers are told when the first endpoint takes requests again, those
// of another entry are served, and its own too when the rest is over.
func TestEntryThatAllAskForRestIsToldAtOnce(t *testing.T) {
	s := rested("a")
	var out event.Effects
	now := event.Time(event.Second)
	s.Step(now, callOf(1, "a", 500*event.Millisecond), &out)
	if len(out.Refusals) != 1 || out.Refusals[0].Reason != event.ReasonRest {
		t.Fatalf("refusals %+v, grants %+v", out.Refusals, out.Grants)
	}
	if after := out.Refusals[0].RetryAfter; after < event.Second || after > 1250*event.Millisecond {
		t.Errorf("told to come back after %v, want 1 s and up to a quarter", after)
	}
	out.Reset()
	s.Step(now, callOf(2, "b", 500*event.Millisecond), &out)
	if len(out.Grants) != 1 {
		t.Errorf("another entry: grants %+v", out.Grants)
	}
	out.Reset()
	s.Step(event.Time(2100*event.Millisecond), callOf(3, "a", 500*event.Millisecond), &out)
	if len(out.Grants) != 1 || out.Grants[0].Endpoint != "e0001" {
		t.Errorf("after the rest: grants %+v", out.Grants)
	}
}

// TestShortRestIsWaitedFor: what can be in time after a rest waits for its end, and holds no other entry up.
func TestShortRestIsWaitedFor(t *testing.T) {
	s := rested("a")
	var out event.Effects
	now := event.Time(1800 * event.Millisecond)
	s.Step(now, callOf(1, "a", 500*event.Millisecond), &out)
	s.Step(now, callOf(2, "b", 500*event.Millisecond), &out)
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

// TestWaitingIsToldOfRest: what waits for a place when all endpoints ask its entry for rest is refused at the next
// tick.
func TestWaitingIsToldOfRest(t *testing.T) {
	s := discovered(1, 1)
	var out event.Effects
	s.Step(0, callOf(1, "a", 500*event.Millisecond), &out)
	s.Step(0, callOf(2, "a", 500*event.Millisecond), &out)
	s.Step(0, &event.Rested{Entry: "a", Endpoint: "e0000", For: 2 * event.Second}, &out)
	s.Step(1, &event.Tick{}, &out)
	if len(out.Refusals) != 1 || out.Refusals[0].Reason != event.ReasonRest {
		t.Errorf("refusals %+v", out.Refusals)
	}
}

// TestRestsOfAnEntryThatEndedAreForgotten: its successor, which was asked for nothing, is sent on.
func TestRestsOfAnEntryThatEndedAreForgotten(t *testing.T) {
	s := rested("a")
	var out event.Effects
	s.Step(0, &event.EntryGone{Entry: "a"}, &out)
	s.Step(0, callOf(1, "a", 500*event.Millisecond), &out)
	if len(out.Grants) != 1 || s.cooldownEndpoints != 0 {
		t.Errorf("grants %+v, %d resting", out.Grants, s.cooldownEndpoints)
	}
}
