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

// TestReturnedCallIsRecognised: only a call whose content was refused within the window counts as returned, and only
// once for each refusal. Otherwise first attempts would be queued behind late ones.
func TestReturnedCallIsRecognised(t *testing.T) {
	var r refusedCalls
	second := func(n int) event.Time { return event.Time(n) * event.Time(event.Second) }
	if r.take(0, "a") {
		t.Error("a first call counts as returned")
	}
	r.add(second(1), "a")
	r.add(second(2), "a")
	for i, want := range []bool{true, true, false} {
		if got := r.take(second(3), "a"); got != want {
			t.Errorf("call %d after two refusals: returned %v, want %v", i+1, got, want)
		}
	}
	r.add(second(4), "b")
	if r.take(second(11), "b") {
		t.Error("a call counts as returned after the window")
	}
	r.add(second(20), "")
	if r.take(second(20), "") {
		t.Error("calls without a fingerprint count as the same")
	}
}

// TestRefusedCallsAreBounded: a flood of refusals uses bounded memory, and the oldest are dropped.
func TestRefusedCallsAreBounded(t *testing.T) {
	var r refusedCalls
	for i := range maxRefusedCalls + 100 {
		r.add(event.Time(i), poison.Fingerprint(fmt.Sprint(i)))
	}
	if len(r.byPrint) > maxRefusedCalls || len(r.order) > maxRefusedCalls {
		t.Errorf("%d fingerprints and %d refusals are kept, the limit is %d", len(r.byPrint), len(r.order), maxRefusedCalls)
	}
	if r.take(0, "0") || !r.take(0, poison.Fingerprint(fmt.Sprint(maxRefusedCalls+99))) {
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
