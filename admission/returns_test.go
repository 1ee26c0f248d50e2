// SPDX-License-Identifier: MIT

package admission

import (
	"fmt"
	"testing"

	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/poison"
	"lynxramp.org/registry"
)

// TestReturnedCallIsRecognised: only a call with the content and the caller's deadline of one that was refused within the
// window counts as returned. Otherwise first attempts would be queued behind late ones: those of callers with short
// timeouts, and those of content that many callers send.
func TestReturnedCallIsRecognised(t *testing.T) {
	second := func(n float64) event.Time { return event.Time(n * float64(event.Second)) }
	left := func(seconds float64) *event.Ticket {
		return &event.Ticket{CallerTime: event.Duration(seconds * float64(event.Second))}
	}
	for name, c := range map[string]struct {
		at          event.Time
		ticket      *event.Ticket
		fingerprint poison.Fingerprint
		want        bool
	}{
		"came back":              {second(2), left(8), "a", true},
		"came back, delayed":     {second(2.05), left(8), "a", true},
		"other content":          {second(2), left(8), "b", false},
		"another caller":         {second(2), left(9), "a", false},
		"another, short timeout": {second(2), left(4), "a", false},
		"no timeout":             {second(2), left(0), "a", false},
		"after the window":       {second(8), left(2), "a", false},
		"no fingerprint":         {second(2), left(8), "", false},
	} {
		var r refusedCalls
		r.add(second(1), left(9), "a")
		r.add(second(1), left(9), "")
		if got := r.hasReturned(c.at, c.ticket, c.fingerprint); got != c.want {
			t.Errorf("%s: returned %v, want %v", name, got, c.want)
		}
	}
}

// TestRefusedCallsAreBounded: a flood of refusals uses bounded memory, and the oldest are dropped.
func TestRefusedCallsAreBounded(t *testing.T) {
	var r refusedCalls
	ticket := &event.Ticket{CallerTime: event.Second}
	for i := range maxRefusedCalls + 100 {
		r.add(event.Time(i), ticket, poison.Fingerprint(fmt.Sprint(i)))
	}
	if len(r.byPrint) > maxRefusedCalls || len(r.order) > maxRefusedCalls {
		t.Errorf("%d fingerprints and %d refusals are kept, the limit is %d", len(r.byPrint), len(r.order), maxRefusedCalls)
	}
	last := event.Time(maxRefusedCalls + 99)
	if r.hasReturned(last, ticket, "0") || !r.hasReturned(last, ticket, poison.Fingerprint(fmt.Sprint(maxRefusedCalls+99))) {
		t.Error("the newest refusals were dropped instead of the oldest")
	}
}

// TestImpatientCallersDontStopAnEndpoint: runs that end without a response, because their time ran out or their callers
// disconnected, take an endpoint out of use only if it responded to nobody meanwhile. Otherwise some callers with short
// deadlines stop a service with few endpoints.
func TestImpatientCallersDontStopAnEndpoint(t *testing.T) {
	for _, respondsToOthers := range []bool{true, false} {
		s := newTestState(0)
		var out event.Effects
		s.SetEndpoint(0, message.Endpoint{Endpoint: registry.Endpoint{ID: "other", Service: "s", Address: "10.0.0.2:80", Slots: 1, Sequence: 1}}, &out)
		at := event.Time(0)
		submit := func(id int) event.EndpointID {
			at += event.Time(event.Millisecond)
			out.Reset()
			m := submission(id, 0, false)
			m.Print = poison.Fingerprint(fmt.Sprint(id))
			s.Submit(at, "entry", m, &out)
			return out.Grants[0].Endpoint
		}
		slow := submit(1)
		if respondsToOthers {
			second := submit(2)
			for id := 3; second != slow; id++ {
				second = submit(id)
			}
			s.Finish(at+1, &message.Finish{Finished: event.Finished{ID: out.Grants[0].ID, Pool: "s", FirstAfter: 1}, Endpoint: slow, Ran: message.OutcomeSuccess}, &out)
		}
		at += event.Time(event.Second)
		s.Finish(at, &message.Finish{Finished: event.Finished{ID: "1", Pool: "s", Failed: true}, Endpoint: slow, Suspect: true, NoResponse: true}, &out)
		if stopped := s.endpoints[slow].backoffUntil > at; stopped == respondsToOthers {
			t.Errorf("responds to others: %v, out of use: %v", respondsToOthers, stopped)
		}
	}
}
