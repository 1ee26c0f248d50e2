// SPDX-License-Identifier: MIT

package admission

import (
	"fmt"
	"testing"

	"lynxramp.org/backpressure"
	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/registry"
)

// twoEndpointState returns a State with two endpoints of capacity 4.
func twoEndpointState() *State {
	s := newTestState(0)
	var out event.Effects
	s.RemoveEndpoint(0, "e", &out)
	for _, id := range []string{"a/1", "b/1"} {
		s.SetEndpoint(0, message.Endpoint{Endpoint: registry.Endpoint{ID: id, Service: "s", Address: "10.0.0.1:80", Slots: 4, Sequence: 1}}, &out)
	}
	return s
}

// grantsOf submits some requests of an entry and returns how many were granted at each endpoint.
func grantsOf(s *State, now event.Time, entry event.BoxID, from, n int) map[event.EndpointID]int {
	at := make(map[event.EndpointID]int)
	for i := range n {
		var out event.Effects
		m := submission(from+i, 0, false)
		m.Ticket.ID = event.RequestID(fmt.Sprint("asked", from+i))
		m.Ticket.Team = ""
		s.Submit(now, entry, m, &out)
		for _, g := range out.Grants {
			at[g.Endpoint]++
			s.Finish(now, &message.Finish{Finished: event.Finished{ID: g.ID, Pool: "s"}, Endpoint: g.Endpoint}, &out)
		}
	}
	return at
}

// TestFeedbackAppliesToOneInstance: a new instance of an endpoint does not inherit the feedback of the last one.
func TestFeedbackAppliesToOneInstance(t *testing.T) {
	s := twoEndpointState()
	var out event.Effects
	now := event.Time(event.Second)
	s.ObserveFeedback(now, "entry", &backpressure.Report{Endpoint: "a/1", Word: backpressure.Feedback{Limited: true, Rate: 0.2, Leaving: true}}, &out)
	s.ObserveFeedback(now, "entry", &backpressure.Report{Endpoint: "b/1", Word: backpressure.Feedback{Rest: 10 * event.Second}}, &out)
	if at := grantsOf(s, now, "entry", 0, 5); len(at) != 0 {
		t.Fatalf("granted %v", at)
	}
	s.RemoveEndpoint(now, "a/1", &out)
	s.SetEndpoint(now, message.Endpoint{Endpoint: registry.Endpoint{ID: "a/2", Service: "s", Address: "10.0.0.1:80", Slots: 4, Sequence: 1}}, &out)
	if at := grantsOf(s, now, "entry", 10, 5); at["a/2"] != 5 {
		t.Errorf("granted %v, want 5 at the new instance", at)
	}
}

// TestDrainingByFeedbackOutlastsRegistration: an endpoint that reported draining stays draining when it registers as
// ready later.
func TestDrainingByFeedbackOutlastsRegistration(t *testing.T) {
	s := twoEndpointState()
	var out event.Effects
	s.ObserveFeedback(1, "entry", &backpressure.Report{Endpoint: "a/1", Word: backpressure.Feedback{Leaving: true}}, &out)
	s.SetEndpoint(2, message.Endpoint{Endpoint: registry.Endpoint{ID: "a/1", Service: "s", Address: "10.0.0.1:80", Slots: 4, Sequence: 2}}, &out)
	if at := grantsOf(s, 3, "entry", 0, 8); at["a/1"] != 0 || at["b/1"] == 0 {
		t.Errorf("granted %v", at)
	}
}

// TestCooldownAppliesToOneEntry: other entries may still use an endpoint that asked one entry for a cooldown.
func TestCooldownAppliesToOneEntry(t *testing.T) {
	s := twoEndpointState()
	var out event.Effects
	s.ObserveFeedback(1, "one", &backpressure.Report{Endpoint: "a/1", Word: backpressure.Feedback{Rest: 10 * event.Second}}, &out)
	s.ObserveFeedback(1, "one", &backpressure.Report{Endpoint: "b/1", Word: backpressure.Feedback{Rest: 10 * event.Second}}, &out)
	if at := grantsOf(s, 2, "one", 0, 4); len(at) != 0 {
		t.Errorf("granted %v to the entry in cooldown", at)
	}
	if at := grantsOf(s, 3, "other", 10, 4); at["a/1"]+at["b/1"] != 4 {
		t.Errorf("granted %v to another entry", at)
	}
}

// TestLimitIsRaisedLoweredAndRevoked: each change takes effect with the response to a request that was granted after the
// previous change.
func TestLimitIsRaisedLoweredAndRevoked(t *testing.T) {
	s := twoEndpointState()
	var out event.Effects
	s.RemoveEndpoint(0, "b/1", &out)
	now := event.Time(event.Second)
	id := 0
	answer := func(f backpressure.Feedback) {
		t.Helper()
		for range 100 { // until the limit allows a grant
			now = now.Add(50 * event.Millisecond)
			out.Reset()
			s.Tick(now, &out)
			m := submission(id, 0, false)
			m.Ticket.ID = event.RequestID(fmt.Sprint("limit", id))
			m.Ticket.Team = ""
			id++
			s.Submit(now, "entry", m, &out)
			if len(out.Grants) > 0 {
				break
			}
		}
		if len(out.Grants) == 0 {
			t.Fatal("nothing was granted in 5 s")
		}
		g := out.Grants[0]
		now = now.Add(event.Millisecond)
		s.ObserveFeedback(now, "entry", &backpressure.Report{Endpoint: "a/1", Request: g.ID, Word: f}, &out)
		s.Finish(now, &message.Finish{Finished: event.Finished{ID: g.ID, Pool: "s"}, Endpoint: "a/1"}, &out)
	}
	for _, f := range []backpressure.Feedback{{Limited: true, Rate: 2}, {Limited: true, Rate: 5}, {Limited: true, Rate: 1}, {}} {
		answer(f)
		if b := s.FeedbackState("a/1"); b.Limited != f.Limited || b.Rate != f.Rate {
			t.Errorf("after %+v the state is %+v", f, b)
		}
	}
}
