// SPDX-License-Identifier: MIT

package cluster

import (
	"testing"

	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/message"
	"lynxramp.org/poison"
	"lynxramp.org/registry"
)

// TestCrashesAreCommittedBeforeAcknowledged: a reported crash is acknowledged only once the log has it, so
// that the entry repeats the report until then and the next owner has it.
func TestCrashesAreCommittedBeforeAcknowledged(t *testing.T) {
	s := newSim(t, 3, 0)
	s.run(3 * event.Second)
	b := s.mustOwner()
	s.put(b, 1)
	s.run(event.Second)
	b = s.mustOwner()
	s.step(b, &SessionOpened{FormatVersion: level.Newest, Session: 1, Hello: message.Hello{Entry: "entry", Life: 1}})
	acked := func() uint64 {
		s.step(b, &PingReceived{Session: 1, Ping: message.Ping{Sent: s.now}})
		last := uint64(0)
		for _, m := range s.sends[1] {
			if m.Pong != nil {
				last = m.Pong.Ends
			}
		}
		return last
	}
	notCut := func(string, string) bool { return false }
	s.isCut = func(from, to string) bool { return from == b.name || to == b.name }
	s.step(b, &BatchReceived{Session: 1, Batch: &message.Batch{Ends: []poison.Termination{
		{Number: 1, Print: "p", Endpoint: "e1"}, {Number: 2, Print: "p", Endpoint: "e2"},
	}}})
	if n := acked(); n != 0 {
		t.Fatalf("crashes up to %d are acknowledged before they are committed", n)
	}
	s.isCut = notCut
	s.run(200 * event.Millisecond)
	if n := acked(); n != 2 {
		t.Errorf("crashes up to %d are acknowledged, want 2", n)
	}
	s.stop(b.name)
	s.run(3 * event.Second)
	next := s.mustOwner()
	call := &poison.Call{Fingerprint: "p", Request: "1", Remaining: event.Second}
	if v, _ := next.state.owner.poison.Check(s.now, call); v != poison.Wait {
		t.Errorf("the next owner's verdict on the request is %v, want Wait", v)
	}
	// The first view has the requests that a degraded entry must not run.
	s.step(next, &Tick{})
	s.step(next, &SessionOpened{FormatVersion: level.Newest, Session: 2, Hello: message.Hello{Entry: "entry", Life: 1}})
	view := s.sends[2][0].View
	if view == nil || view.Suspects == nil || len(view.Suspects.List) != 1 || view.Suspects.List[0] != "p" {
		t.Errorf("the first view is %+v, want one with the suspect", view)
	}
}

// TestRunOfLostEntryCountsAsCrash: an entry that restarts or stays disconnected can't report the outcome of
// its runs. A run of a request that crashed an endpoint before is counted as a crash.
func TestRunOfLostEntryCountsAsCrash(t *testing.T) {
	for name, loseEntry := range map[string]func(s *sim, b *simBox){
		"restarted": func(s *sim, b *simBox) {
			s.step(b, &SessionOpened{FormatVersion: level.Newest, Session: 3, Hello: message.Hello{Entry: "entry", Life: 2}})
		},
		"disconnected for long": func(s *sim, b *simBox) {
			s.step(b, &SessionClosed{Session: 1})
			s.run(entryTimeout + event.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 3, 0)
			s.run(3 * event.Second)
			b := s.mustOwner()
			s.put(b, 1)
			s.run(event.Second)
			for _, id := range []string{"e1", "e2"} {
				s.heartbeat(b, registry.Endpoint{ID: id, Service: "s", Address: "10.0.0.1:8" + id[1:], Slots: 4, Sequence: 1})
			}
			s.run(200 * event.Millisecond)
			s.step(b, &SessionOpened{FormatVersion: level.Newest, Session: 1, Hello: message.Hello{Entry: "entry", Life: 1}})
			s.step(b, &SessionOpened{FormatVersion: level.Newest, Session: 2, Hello: message.Hello{Entry: "other", Life: 1}})
			ticket := event.Ticket{ID: "1", Service: "s", Pool: "s", Deadline: 20 * event.Second, Target: event.Second}
			s.step(b, &BatchReceived{Session: 1, Batch: &message.Batch{
				Ends:   []poison.Termination{{Number: 1, Print: "p", Endpoint: "gone"}},
				Submit: []message.Submission{{Ticket: ticket, Print: "p"}},
			}})
			s.run(200 * event.Millisecond)
			if len(s.grants(1)) != 1 {
				t.Fatalf("the request received %d grants, want 1", len(s.grants(1)))
			}
			loseEntry(s, b)
			ticket.ID = "2"
			s.step(b, &BatchReceived{Session: 2, Batch: &message.Batch{Submit: []message.Submission{{Ticket: ticket, Print: "p"}}}})
			for _, c := range b.state.owner.poison.TakeChanges() {
				if c.Kind == poison.TrialStarted && c.Terminations == 2 {
					return
				}
			}
			s.run(200 * event.Millisecond)
			if lines := b.state.machine.poison.Record().Lines; len(lines) != 1 || len(lines[0].Terminations) != 2 || lines[0].Trials != 1 {
				t.Errorf("the log has %+v, want two crashes and a trial", lines)
			}
		})
	}
}
