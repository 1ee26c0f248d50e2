// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"slices"
	"testing"

	"lynxramp.org/budget"
	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/message"
	"lynxramp.org/registry"
)

const second = event.Second

func TestThreeBootstrapAndTwoJoin(t *testing.T) {
	s := newSim(t, 3, 2)
	s.run(5 * second)
	if got := len(s.voters()); got != 5 {
		t.Errorf("%d voters after 5 s, want 5", got)
	}
}

func TestBoxesBeyondVoterLimitStayLearners(t *testing.T) {
	s := newSim(t, 3, 4)
	s.run(6 * second)
	m := s.mustOwner().state.Node().Members()
	if len(m.Voters) != 5 || len(m.Learners) != 2 {
		t.Errorf("%d voters and %d learners, want 5 and 2", len(m.Voters), len(m.Learners))
	}
}

// TestLostVoterIsReplaced: an empty box replaces a voter that is lost for good, so that the group still
// commits after the loss of two more.
func TestLostVoterIsReplaced(t *testing.T) {
	s := newSim(t, 3, 2)
	s.run(5 * second)
	s.put(s.mustOwner(), 7)
	s.run(second)
	lost := s.mustOwner().name
	s.stop(lost)
	s.run(second)
	s.addEmpty("box9")
	s.run(4 * second)
	voters := s.voters()
	if len(voters) != 5 {
		t.Fatalf("voters %v, want 5 with the new box", voters)
	}
	stopped := 0
	for _, name := range s.order {
		if b := s.boxes[name]; b.state != nil && stopped < 2 && name != "box9" {
			s.stop(name)
			stopped++
		}
	}
	s.run(4 * second)
	callID := s.put(s.mustOwner(), 8)
	s.run(second)
	if s.answers[callID].Status != StatusDone {
		t.Errorf("no commit with 3 of 5 voters: %+v", s.answers[callID])
	}
}

// TestUnreachableVoterStaysWithoutReplacement: no voter is removed before another box can replace it.
func TestUnreachableVoterStaysWithoutReplacement(t *testing.T) {
	s := newSim(t, 3, 2)
	s.run(5 * second)
	for _, name := range s.order {
		if b := s.boxes[name]; b != s.mustOwner() {
			s.stop(name)
			break
		}
	}
	s.run(10 * second)
	if got := len(s.voters()); got != 5 {
		t.Errorf("%d voters, want 5: nothing can replace the unreachable one", got)
	}
}

// TestTwoLostDisksKeepAcknowledgedDocument wipes two disks right after an acknowledgement while all boxes
// lose power.
func TestTwoLostDisksKeepAcknowledgedDocument(t *testing.T) {
	for first := range 5 {
		for next := range 5 {
			if next == first {
				continue
			}
			s := newSim(t, 3, 2)
			s.run(5 * second)
			callID := s.put(s.mustOwner(), 9)
			for s.answers[callID].Status != StatusDone {
				s.run(simStep)
			}
			for _, name := range s.order {
				s.stop(name)
			}
			s.messages = nil
			for i, name := range s.order {
				if i == first || i == next {
					s.addEmpty(name)
				} else {
					s.restart(name)
				}
			}
			s.run(8 * second)
			if a := s.read(s.mustOwner()); a.Document.Version != 9 {
				t.Errorf("disks %d and %d lost: version %d, want 9", first, next, a.Document.Version)
			}
			if got := len(s.voters()); got != 5 {
				t.Errorf("disks %d and %d lost: %d voters, want 5", first, next, got)
			}
		}
	}
}

// TestPartitionedOwnerAnswersNoRead: an owner that is partitioned answers no reads once its lease has
// expired, and another box is the owner.
func TestPartitionedOwnerAnswersNoRead(t *testing.T) {
	s := newSim(t, 3, 2)
	s.run(5 * second)
	old := s.mustOwner()
	s.put(old, 3)
	s.run(second)
	s.isCut = func(from, to string) bool { return from == old.name || to == old.name }
	s.run(4 * second)
	if a := s.read(old); a.Status == StatusDone {
		t.Errorf("a partitioned box answered a read: %+v", a)
	}
	next := s.mustOwner()
	if next == old {
		t.Fatal("the partitioned box still owns the pools")
	}
	s.put(next, 4)
	s.run(second)
	if a := s.read(next); a.Document.Version != 4 {
		t.Errorf("version %d, want 4", a.Document.Version)
	}
}

// TestOwnerLosesLeaseWhileSuspended: the first event of an owner after its process was suspended is a read; it must
// not be answered.
func TestOwnerLosesLeaseWhileSuspended(t *testing.T) {
	s := newSim(t, 3, 2)
	s.run(5 * second)
	old := s.mustOwner()
	s.step(old, &SessionOpened{FormatVersion: level.Newest, Session: 1, Hello: message.Hello{Entry: "entry"}})
	suspended := old.state
	old.state = nil
	s.run(4 * second)
	old.state = suspended
	if a := s.read(old); a.Status == StatusDone {
		t.Errorf("the owner answered a read after it was suspended: %+v", a)
	}
	if !s.closed[1] {
		t.Error("the session of an owner without a lease is still open")
	}
}

// TestLeaderWithStalledDiskStillCommits: entries saved by a majority of the others are committed.
func TestLeaderWithStalledDiskStillCommits(t *testing.T) {
	s := newSim(t, 3, 2)
	s.run(5 * second)
	leader := s.mustOwner()
	leader.isDiskStalled = true
	callID := s.put(leader, 5)
	s.run(second)
	if s.answers[callID].Status != StatusDone {
		t.Error("no commit while the leader's disk stalls")
	}
	leader.isDiskStalled = false
	s.saveAll(leader)
	s.run(second)
	s.mustOwner()
}

func TestSameOrLowerVersionChangesNothing(t *testing.T) {
	s := newSim(t, 3, 2)
	s.run(5 * second)
	s.put(s.mustOwner(), 6)
	s.run(second)
	s.lastCall++
	callID := s.lastCall
	s.step(s.mustOwner(), &DocumentSubmitted{CallID: callID, Document: Document{Version: 6, Data: []byte("other")}})
	older := s.put(s.mustOwner(), 5)
	s.run(second)
	for _, k := range []CallID{callID, older} {
		if s.answers[k].Status != StatusDone {
			t.Errorf("a resent or older configuration was not acknowledged: %+v", s.answers[k])
		}
	}
	if a := s.read(s.mustOwner()); string(a.Document.Data) != "v6" {
		t.Errorf("configuration %q is in force, want v6", a.Document.Data)
	}
}

func TestFollowerReturnsLeaderAddress(t *testing.T) {
	s := newSim(t, 3, 2)
	s.run(5 * second)
	leader := s.mustOwner()
	for _, name := range s.order {
		if name == leader.name {
			continue
		}
		a := s.read(s.boxes[name])
		if a.Status != StatusNotLeader || a.LeaderAddress != leader.name+":operators" {
			t.Errorf("%s: %+v, want the address of %s", name, a, leader.name)
		}
	}
}

// grants returns the grants that a session received.
func (s *sim) grants(id SessionID) []event.Granted {
	var list []event.Granted
	for _, m := range s.sends[id] {
		if m.Decisions != nil {
			list = append(list, m.Decisions.Grants...)
		}
	}
	return list
}

func submit(ids ...event.RequestID) *message.Batch {
	b := &message.Batch{}
	for _, id := range ids {
		b.Submit = append(b.Submit, message.Submission{Ticket: event.Ticket{ID: id, Service: "s", Pool: "s", Deadline: 10 * second}})
	}
	return b
}

// TestDrainingEndpointGetsNoGrantAfterAcknowledgement: neither a delayed heartbeat nor a change of owner
// may revert an acknowledged drain.
func TestDrainingEndpointGetsNoGrantAfterAcknowledgement(t *testing.T) {
	s := newSim(t, 3, 2)
	s.run(5 * second)
	s.put(s.mustOwner(), 1)
	ready := registry.Endpoint{ID: "e", Service: "s", Address: "10.0.0.1:80", Slots: 100, Sequence: 1}
	s.heartbeat(s.mustOwner(), ready)
	s.run(second)
	s.step(s.mustOwner(), &SessionOpened{FormatVersion: level.Newest, Session: 1, Hello: message.Hello{Entry: "entry"}})
	s.step(s.mustOwner(), &BatchReceived{Session: 1, Batch: submit("a")})
	if got := s.grants(1); len(got) != 1 || got[0].Endpoint != "e" {
		t.Fatalf("grants %+v, want one to e", got)
	}
	draining := ready
	draining.Leaving = true
	draining.Sequence = 3
	callID := s.heartbeat(s.mustOwner(), draining)
	if s.answers[callID].Status == StatusDone {
		t.Error("the drain was acknowledged before it was committed")
	}
	for s.answers[callID].Status != StatusDone {
		s.run(simStep)
	}
	delayed := ready
	delayed.Sequence = 2
	s.heartbeat(s.mustOwner(), delayed)
	s.step(s.mustOwner(), &BatchReceived{Session: 1, Batch: submit("b")})
	s.run(second)
	if got := s.grants(1); len(got) != 1 {
		t.Errorf("grants %+v, want none after the drain was acknowledged", got)
	}
	s.stop(s.mustOwner().name)
	s.run(4 * second)
	s.step(s.mustOwner(), &SessionOpened{FormatVersion: level.Newest, Session: 2, Hello: message.Hello{Entry: "entry"}})
	s.step(s.mustOwner(), &BatchReceived{Session: 2, Batch: submit("c")})
	s.run(second)
	if got := s.grants(2); len(got) != 0 {
		t.Errorf("the next owner granted %+v to a draining endpoint", got)
	}
}

// TestNewOwnerCountsRunningRequests: a new owner must not grant capacity that an entry reports as in use.
func TestNewOwnerCountsRunningRequests(t *testing.T) {
	s := newSim(t, 3, 2)
	s.run(5 * second)
	s.put(s.mustOwner(), 1)
	s.heartbeat(s.mustOwner(), registry.Endpoint{ID: "e", Service: "s", Address: "10.0.0.1:80", Slots: 1, Sequence: 1})
	s.run(second)
	s.stop(s.mustOwner().name)
	s.run(4 * second)
	running := message.Running{Ticket: event.Ticket{ID: "old", Service: "s", Pool: "s"}, Endpoint: "e"}
	s.step(s.mustOwner(), &SessionOpened{FormatVersion: level.Newest, Session: 1, Hello: message.Hello{Entry: "entry", Running: []message.Running{running}}})
	s.step(s.mustOwner(), &BatchReceived{Session: 1, Batch: submit("new")})
	if got := s.grants(1); len(got) != 0 {
		t.Fatalf("granted %+v although the endpoint has no free capacity", got)
	}
	done := message.Finish{Finished: event.Finished{ID: "old", Pool: "s"}, Endpoint: "e"}
	s.step(s.mustOwner(), &BatchReceived{Session: 1, Batch: &message.Batch{Finish: []message.Finish{done}}})
	if got := s.grants(1); len(got) != 1 {
		t.Errorf("grants %+v, want one once the capacity is free", got)
	}
}

func TestEndpointWithoutHeartbeatsIsDown(t *testing.T) {
	s := newSim(t, 3, 2)
	s.run(5 * second)
	s.put(s.mustOwner(), 1)
	e := registry.Endpoint{ID: "e", Service: "s", Address: "10.0.0.1:80", Slots: 9, Sequence: 1}
	s.heartbeat(s.mustOwner(), e)
	s.run((downAfterHeartbeats + 1) * second)
	s.step(s.mustOwner(), &SessionOpened{FormatVersion: level.Newest, Session: 1, Hello: message.Hello{Entry: "entry"}})
	s.step(s.mustOwner(), &BatchReceived{Session: 1, Batch: submit("a")})
	if got := s.grants(1); len(got) != 0 {
		t.Fatalf("granted %+v to an endpoint that is down", got)
	}
	e.Sequence = 2
	s.heartbeat(s.mustOwner(), e)
	s.run(simStep)
	if got := s.grants(1); len(got) != 1 {
		t.Errorf("grants %+v, want one after the endpoint's next heartbeat", got)
	}
}

// firstPart returns the command with the first part of a document.
func firstPart(d Document) []byte {
	d.pack()
	return d.packed.encodePart(0)
}

func TestSnapshotRoundTrip(t *testing.T) {
	var m stateMachine
	for i, command := range [][]byte{
		firstPart(Document{Version: 4, Data: []byte(`{"version": 4}`)}),
		encodeEndpoint(registry.Endpoint{ID: "a", Service: "s", Address: "10.0.0.1:80", Sequence: 2}),
		encodeEndpoint(registry.Endpoint{ID: "b", Service: "s", Address: "10.0.0.2:80", Sequence: 2}),
		encodeRemove("b"),
	} {
		if _, err := m.apply(consensus.Index(i+1), command); err != nil {
			t.Fatal(err)
		}
	}
	var restored stateMachine
	if err := restored.restore(m.snapshot(), level.Newest); err != nil {
		t.Fatal(err)
	}
	if string(restored.document.Data) != `{"version": 4}` || len(restored.registry.Endpoints) != 1 || len(restored.registry.Removed) != 1 {
		t.Errorf("restored %+v", restored)
	}
	for _, bad := range [][]byte{nil, {99}, {commandDocument, 1}, append([]byte{commandEndpoint}, '{')} {
		if _, err := restored.apply(9, bad); err == nil {
			t.Errorf("command %v was applied", bad)
		}
	}
}

// TestOwnerCountsSpendingOfDegradedEntry: an entry that reconnects to the same owner reports what it spent
// of its lease while degraded. The owner must then grant the rest of the quota and no more.
func TestOwnerCountsSpendingOfDegradedEntry(t *testing.T) {
	s := newSim(t, 3, 2)
	s.run(5 * second)
	s.put(s.mustOwner(), 1)
	s.heartbeat(s.mustOwner(), registry.Endpoint{ID: "e", Service: "s", Address: "10.0.0.1:80", Slots: 1000, Sequence: 1})
	s.run(second)
	granted, next := 0, 0
	spend := func(session SessionID, amount int) {
		next++
		b := submit(event.RequestID(fmt.Sprint(next)))
		b.Submit[0].Ticket.Team = "t"
		b.Submit[0].Quota = amount
		before := len(s.grants(session))
		s.step(s.mustOwner(), &BatchReceived{Session: session, Batch: b})
		s.run(simStep) // the owner may have to commit a budget record first
		s.run(simStep)
		granted += amount * (len(s.grants(session)) - before)
	}
	s.step(s.mustOwner(), &SessionOpened{FormatVersion: level.Newest, Session: 1, Hello: message.Hello{Entry: "entry", Life: 5}})
	leases := s.ping(1, message.Ping{})
	if len(leases.UpTo) == 0 {
		t.Fatal("the entry has no lease")
	}
	lease := leases.UpTo[slices.IndexFunc(leases.UpTo, func(h budget.Lease) bool { return h.Account == budget.Team("t") })]
	s.ping(1, message.Ping{Has: leases.Number})
	for range 20 {
		spend(1, simQuota/40)
	}
	s.step(s.mustOwner(), &SessionClosed{Session: 1})
	s.run(second)
	lease.Spent = lease.UpTo * 3 / 4
	s.step(s.mustOwner(), &SessionOpened{FormatVersion: level.Newest, Session: 2, Hello: message.Hello{Entry: "entry", Life: 5, Held: []budget.Lease{lease}}})
	for range 100 {
		spend(2, simQuota/100)
	}
	if sum := granted + lease.Spent; sum > simQuota || sum < simQuota*3/4 {
		t.Errorf("%d granted and %d spent while degraded, of a quota of %d", granted, lease.Spent, simQuota)
	}
}

// TestHeartbeatIsAcceptedByAnyBox: a box with contact to the leader accepts an unchanged heartbeat and
// forwards it to the leader; a changed one must be sent to the leader.
func TestHeartbeatIsAcceptedByAnyBox(t *testing.T) {
	s := newSim(t, 3, 2)
	s.run(5 * second)
	s.put(s.mustOwner(), 1)
	e := registry.Endpoint{ID: "e", Service: "s", Address: "10.0.0.1:80", Slots: 9, Sequence: 1}
	s.heartbeat(s.mustOwner(), e)
	s.run(second)
	var other *simBox
	for _, name := range s.order {
		if s.boxes[name] != s.mustOwner() {
			other = s.boxes[name]
		}
	}
	for range 3 * downAfterHeartbeats {
		e.Sequence++
		if callID := s.heartbeat(other, e); s.answers[callID].Status != StatusDone || s.answers[callID].HeartbeatAddress == "" {
			t.Fatalf("an unchanged heartbeat was answered with %+v", s.answers[callID])
		}
		s.run(second / 2)
	}
	s.step(s.mustOwner(), &SessionOpened{FormatVersion: level.Newest, Session: 1, Hello: message.Hello{Entry: "entry"}})
	s.step(s.mustOwner(), &BatchReceived{Session: 1, Batch: submit("a")})
	if got := s.grants(1); len(got) != 1 {
		t.Errorf("grants %+v, want one to an endpoint whose heartbeats another box accepts", got)
	}
	e.Sequence++
	e.Leaving = true
	if callID := s.heartbeat(other, e); s.answers[callID].Status != StatusNotLeader {
		t.Errorf("a box that is not the leader answered a changed heartbeat with %+v", s.answers[callID])
	}
	// A box without contact to the leader accepts no heartbeats.
	s.isCut = func(from, to string) bool { return from == other.name || to == other.name }
	s.run(2 * second)
	e.Leaving = false
	if callID := s.heartbeat(other, e); s.answers[callID].Status == StatusDone {
		t.Errorf("a partitioned box accepted a heartbeat: %+v", s.answers[callID])
	}
}
