// SPDX-License-Identifier: MIT

package admission

import (
	"testing"

	"lynxramp.org/affinity"
	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/registry"
)

// newStreamState returns the State of an owner whose service has two versions, with an endpoint of each.
func newStreamState(t *testing.T, slots int) (*State, *affinity.Ledger) {
	t.Helper()
	s := newTestState(0)
	var l affinity.Ledger
	l.Endpoint("s", "v1", 1)
	l.Apply(affinity.Record{Service: "s", Version: "v2"}, 2)
	s.TrackStreams(0, &l)
	var out event.Effects
	for id, version := range map[string]string{"e": "v1", "f": "v2"} {
		s.SetEndpoint(0, message.Endpoint{Endpoint: registry.Endpoint{ID: id, Service: "s", Address: "10.0.0.1:80", Slots: slots, Sequence: 2, Version: version}}, &out)
	}
	return s, &l
}

func stream(id int, key affinity.Key) *message.Submission {
	m := submission(id, 1, false)
	m.Stream, m.Ticket.CallerTime = key, 10*event.Second
	return m
}

func resumption(id int, key affinity.Key) *message.Submission {
	m := submission(id, 1, false)
	m.Resumes, m.Ticket.CallerTime = key, 10*event.Second
	return m
}

// TestResumedStreamGoesToItsVersion: the owner knows the version of a stream that it granted, and says so in the grant.
func TestResumedStreamGoesToItsVersion(t *testing.T) {
	s, _ := newStreamState(t, 100)
	for i := range 20 {
		var out event.Effects
		s.Submit(0, "entry", stream(2*i, affinity.Key("a")), &out)
		began := out.Grants[0]
		out.Reset()
		s.Submit(0, "other", resumption(2*i+1, affinity.Key("a")), &out)
		if len(out.Grants) != 1 || out.Grants[0].Version != began.Version || !out.Grants[0].HasVersion {
			t.Fatalf("began at %q, resumed with %+v, refusals %+v", began.Version, out.Grants, out.Refusals)
		}
	}
}

// TestUnknownStreamIsRefusedOnceEntriesReported: a new owner waits for the reports of entries, then refuses a stream that
// nobody knows; a report resolves it.
func TestUnknownStreamIsRefusedOnceEntriesReported(t *testing.T) {
	s, _ := newStreamState(t, 100)
	var out event.Effects
	s.Submit(0, "entry", resumption(1, affinity.Key("unknown")), &out)
	s.Submit(0, "entry", resumption(2, affinity.Key("reported")), &out)
	if len(out.Grants)+len(out.Refusals) > 0 {
		t.Fatalf("decided at once: %+v %+v", out.Grants, out.Refusals)
	}
	s.ReportStreams(0, []affinity.Binding{{Key: affinity.Key("reported"), Version: "v2", Left: event.Second}})
	now := event.Time(100 * event.Millisecond)
	s.Tick(now, &out)
	if len(out.Grants) != 1 || out.Grants[0].Endpoint != "f" || len(out.Refusals) > 0 {
		t.Fatalf("after the report: grants %+v, refusals %+v", out.Grants, out.Refusals)
	}
	s.Tick(event.Time(streamsSettleTime), &out)
	if len(out.Refusals) != 1 || out.Refusals[0].Reason != event.ReasonStreamUnknown || out.Refusals[0].RetryAfter <= 0 {
		t.Errorf("refusals %+v", out.Refusals)
	}
}

// TestStreamIsRefusedOnceItsVersionIsGone: also one that waits in the queue, and one of a version that is draining.
func TestStreamIsRefusedOnceItsVersionIsGone(t *testing.T) {
	s, _ := newStreamState(t, 1)
	s.ReportStreams(0, []affinity.Binding{{Key: affinity.Key("a"), Version: "v2", Left: event.Second}})
	var out event.Effects
	for i := range 3 {
		s.Submit(0, "entry", resumption(i, affinity.Key("a")), &out)
	}
	if len(out.Grants) != 1 {
		t.Fatalf("%d grants, want 1", len(out.Grants))
	}
	s.SetEndpoint(0, message.Endpoint{Endpoint: registry.Endpoint{ID: "f", Service: "s", Address: "10.0.0.1:80", Slots: 1, Sequence: 3, Version: "v2", Leaving: true}}, &out)
	s.Submit(0, "entry", resumption(9, affinity.Key("a")), &out)
	if len(out.Refusals) != 3 || out.Refusals[0].Reason != event.ReasonVersionGone || len(out.Grants) != 1 {
		t.Errorf("grants %+v, refusals %+v", out.Grants, out.Refusals)
	}
}

// TestStreamsOfSoleVersionAreNotRecorded: with one version the log says to which version a stream is bound.
func TestStreamsOfSoleVersionAreNotRecorded(t *testing.T) {
	s, l := newStreamState(t, 100)
	l.Apply(affinity.Record{Service: "s", Version: "v1", Retired: 2}, 3)
	var out event.Effects
	s.Submit(0, "entry", resumption(1, affinity.Key("unknown")), &out)
	if len(out.Grants) != 1 || out.Grants[0].Endpoint != "f" || s.StreamCount() != 0 {
		t.Errorf("grants %+v, refusals %+v, %d streams", out.Grants, out.Refusals, s.StreamCount())
	}
}
