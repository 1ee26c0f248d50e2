// SPDX-License-Identifier: MIT

package admission

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/registry"
	"lynxramp.org/rollout"
)

// fakeRollouts records what it is told and allows a number of requests.
type fakeRollouts struct {
	limit, spent int
	granted      map[string]int // by version
	samples      []rollout.Sample
}

func (r *fakeRollouts) Granted(_, version string) {
	r.granted[version]++
	if version == "v2" {
		r.spent++
	}
}

func (r *fakeRollouts) Observe(_ event.RequestID, s rollout.Sample) {
	r.samples = append(r.samples, s)
}

func (r *fakeRollouts) Allowance(string) int { return r.limit - r.spent }

// newRolloutState returns a State with an endpoint of version v1 and one of v2, which is unproved.
func newRolloutState(limit int) (*State, *fakeRollouts) {
	s := newTestState(0)
	r := &fakeRollouts{limit: limit, granted: make(map[string]int)}
	s.SetRollouts(r)
	var out event.Effects
	s.SetEndpoint(0, message.Endpoint{Endpoint: registry.Endpoint{ID: "e", Service: "s", Address: "10.0.0.1:80", Slots: 100, Sequence: 2, Version: "v1"}}, &out)
	s.SetEndpoint(0, message.Endpoint{Endpoint: registry.Endpoint{ID: "f", Service: "s", Address: "10.0.0.2:80", Slots: 100, Sequence: 2, Version: "v2"}, Mode: event.ModeCanary}, &out)
	return s, r
}

// TestGrantsStayWithinTheAllowance guards against grants to an unproved version beyond what the roll-out allows, and
// against counting a grant that is sent again twice.
func TestGrantsStayWithinTheAllowance(t *testing.T) {
	s, r := newRolloutState(3)
	var out event.Effects
	for i := range 20 {
		s.Submit(0, "entry", submission(i, 1, false), &out)
	}
	if r.granted["v2"] != 3 || r.granted["v1"] != 17 {
		t.Errorf("grants by version %v, want 3 of v2 and 17 of v1", r.granted)
	}
	for i := range 20 {
		s.Submit(0, "entry", submission(i, 0, false), &out) // the entry has not seen the grant
	}
	if r.granted["v2"] > 6 || r.granted["v1"] != 17 {
		t.Errorf("grants by version %v after all were sent again, want 17 of v1", r.granted)
	}
	r.limit, r.spent, r.granted["v2"] = 5, 3, 3
	s.Tick(0, &out)
	for i := range 20 {
		s.Submit(0, "entry", submission(100+i, 1, false), &out)
	}
	if r.granted["v2"] != 5 {
		t.Errorf("grants by version %v after the allowance was raised, want 5 of v2", r.granted)
	}
}

// TestSamplesOfRequestsThatRan guards against evidence by requests that show nothing of a version: not sent, not run,
// or given up by their caller.
func TestSamplesOfRequestsThatRan(t *testing.T) {
	s, r := newRolloutState(10)
	var out event.Effects
	now := event.Time(0)
	finish := func(id int, change func(f *message.Finish)) {
		m := submission(id, 1, false)
		m.Ticket.Route = "r"
		now = now.Add(event.Second) // an endpoint that didn't run a request gets none for a while
		s.Tick(now, &out)
		out.Reset()
		s.Submit(now, "entry", m, &out)
		f := message.Finish{Finished: event.Finished{ID: m.Ticket.ID, Pool: "s", FirstAfter: event.Second}, Endpoint: out.Grants[0].Endpoint}
		change(&f)
		s.Finish(now, &f, &out)
	}
	finish(1, func(f *message.Finish) { f.Unsent, f.Void, f.Failed = true, true, true })
	finish(2, func(f *message.Finish) { f.Void, f.Failed = true, true })
	finish(3, func(f *message.Finish) { f.Abandoned, f.Failed = true, true })
	finish(4, func(f *message.Finish) { s.RemoveEndpoint(now, f.Endpoint, &out); f.Failed = true })
	s.Finish(now, &message.Finish{Finished: event.Finished{ID: "unknown", Pool: "s"}, Endpoint: "e"}, &out)
	want := []rollout.Sample{{Service: "s", Version: "v2", Endpoint: "f", Route: "r", Failed: true, First: event.Second, ExpectedFirst: defaultProfile.CallTime}}
	if diff := cmp.Diff(want, r.samples); diff != "" {
		t.Errorf("samples (-want +got):\n%s", diff)
	}
}

// TestOverloadedEntryDoesNotConvictVersion guards against times of requests that waited for their entry, and against
// time-outs there, as evidence against a version.
func TestOverloadedEntryDoesNotConvictVersion(t *testing.T) {
	s, r := newRolloutState(10)
	var out event.Effects
	for id, change := range []func(f *message.Finish){
		func(f *message.Finish) { f.FirstAfter, f.TokenGap = event.Second, event.Second },
		func(f *message.Finish) { f.Failed, f.NoResponse = true, true },
		func(f *message.Finish) { f.Failed, f.FirstAfter = true, event.Second },
	} {
		now := event.Time(id) * event.Time(event.Second)
		s.Tick(now, &out)
		out.Reset()
		s.Submit(now, "entry", submission(id, 1, false), &out)
		f := message.Finish{Finished: event.Finished{ID: out.Grants[0].ID, Pool: "s", Delayed: true}, Endpoint: out.Grants[0].Endpoint}
		change(&f)
		s.Finish(now, &f, &out)
	}
	sample := rollout.Sample{Service: "s", Version: "v2", Endpoint: "f", ExpectedFirst: defaultProfile.CallTime}
	failed := sample
	failed.Failed = true
	if diff := cmp.Diff([]rollout.Sample{sample, failed}, r.samples); diff != "" {
		t.Errorf("samples (-want +got):\n%s", diff)
	}
}
