// SPDX-License-Identifier: MIT

package cluster

import (
	"testing"

	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/message"
	"lynxramp.org/registry"
)

// TestNewInstanceFreesCapacity: an endpoint that crashes and restarts under its name within a heartbeat
// frees the capacity that the previous instance used at once. Delayed messages of the previous instance,
// and of its requests, must not change the new one.
func TestNewInstanceFreesCapacity(t *testing.T) {
	s := newSim(t, 3, 2)
	s.run(5 * second)
	s.put(s.mustOwner(), 1)
	e := registry.Endpoint{ID: "e", Born: 1000, Service: "s", Address: "10.0.0.1:80", Slots: 1, Sequence: 900}
	s.heartbeat(s.mustOwner(), e)
	s.run(second)
	s.step(s.mustOwner(), &SessionOpened{FormatVersion: level.Newest, Session: 1, Hello: message.Hello{Entry: "entry"}})
	s.step(s.mustOwner(), &BatchReceived{Session: 1, Batch: submit("a")})
	if got := s.grants(1); len(got) != 1 || got[0].Endpoint != "e/1000" {
		t.Fatalf("grants %+v, want one to the first instance", got)
	}
	restarted := e
	restarted.Born, restarted.Sequence = 2000, 1
	callID := s.heartbeat(s.mustOwner(), restarted)
	for s.answers[callID].Status != StatusDone {
		s.run(simStep)
	}
	s.step(s.mustOwner(), &BatchReceived{Session: 1, Batch: submit("b")})
	if got := s.grants(1); len(got) != 2 || got[1].Endpoint != "e/2000" {
		t.Fatalf("grants %+v, want one to the second instance", got)
	}
	delayed := e
	delayed.Sequence, delayed.Leaving = 901, true
	s.heartbeat(s.mustOwner(), delayed)
	s.step(s.mustOwner(), &EndpointRemoved{CallID: 99, Name: "e", Born: 1000})
	s.step(s.mustOwner(), &BatchReceived{Session: 1, Batch: &message.Batch{Finish: []message.Finish{
		{Finished: event.Finished{ID: "a", Pool: "s"}, Endpoint: "e/1000", Suspect: true},
		{Finished: event.Finished{ID: "b", Pool: "s"}, Endpoint: "e/2000", Ran: message.OutcomeSuccess},
	}}})
	s.run(second / 2)
	s.step(s.mustOwner(), &BatchReceived{Session: 1, Batch: submit("c")})
	s.run(second / 2)
	if got := s.grants(1); len(got) != 3 || got[2].Endpoint != "e/2000" {
		t.Errorf("grants %+v, want a third one, to the second instance", got)
	}
	s.stop(s.mustOwner().name)
	s.run(4 * second)
	s.heartbeat(s.mustOwner(), delayed)
	s.step(s.mustOwner(), &SessionOpened{FormatVersion: level.Newest, Session: 2, Hello: message.Hello{Entry: "entry"}})
	s.step(s.mustOwner(), &BatchReceived{Session: 2, Batch: submit("d")})
	s.run(second)
	if got := s.grants(2); len(got) != 1 || got[0].Endpoint != "e/2000" {
		t.Errorf("the next owner granted %+v, want one grant to the second instance", got)
	}
}

// TestHeartbeatOfOldInstanceIsIgnored: delayed heartbeats of a previous instance, at any box, must not keep
// the owner from detecting that the present one is down.
func TestHeartbeatOfOldInstanceIsIgnored(t *testing.T) {
	s := newSim(t, 3, 2)
	s.run(5 * second)
	s.put(s.mustOwner(), 1)
	old := registry.Endpoint{ID: "e", Born: 1000, Service: "s", Address: "10.0.0.1:80", Slots: 9, Sequence: 1}
	s.heartbeat(s.mustOwner(), old)
	s.run(second)
	restarted := old
	restarted.Born = 2000
	s.heartbeat(s.mustOwner(), restarted)
	for range 2 * (downAfterHeartbeats + 1) {
		s.run(second / 2)
		for _, name := range s.order {
			old.Sequence++
			s.heartbeat(s.boxes[name], old)
		}
	}
	s.step(s.mustOwner(), &SessionOpened{FormatVersion: level.Newest, Session: 1, Hello: message.Hello{Entry: "entry"}})
	s.step(s.mustOwner(), &BatchReceived{Session: 1, Batch: submit("a")})
	s.run(second)
	if got := s.grants(1); len(got) != 0 {
		t.Errorf("granted %+v to an instance that is down", got)
	}
}

// TestEndpointOfUnknownServiceIsRejected: an endpoint of a service that is not configured must neither be
// registered nor replace a valid one of the same name. One whose service was removed from the configuration
// may still report that it drains.
func TestEndpointOfUnknownServiceIsRejected(t *testing.T) {
	s := newSim(t, 3, 2)
	s.run(5 * second)
	s.put(s.mustOwner(), 1)
	s.run(second)
	good := registry.Endpoint{ID: "e", Born: 1000, Service: "s", Address: "10.0.0.1:80", Slots: 9, Sequence: 1}
	s.heartbeat(s.mustOwner(), good)
	s.run(second)
	for _, e := range []registry.Endpoint{
		{ID: "e", Born: 1000, Service: "nobody", Address: "10.0.0.9:80", Slots: 9, Sequence: 100},
		{ID: "e", Born: 2000, Service: "nobody", Address: "10.0.0.9:80", Slots: 9, Sequence: 1},
		{ID: "f", Service: "nobody", Address: "10.0.0.1:80", Slots: 9, Sequence: 1},
	} {
		if callID := s.heartbeat(s.mustOwner(), e); s.answers[callID].Status != StatusUnknownService {
			t.Errorf("the heartbeat of %+v was answered with %+v, want StatusUnknownService", e, s.answers[callID])
		}
	}
	s.run(second)
	known := s.mustOwner().state.machine.registry.Endpoints
	want := good
	want.ID = "e/1000"
	if len(known) != 1 || known[want.ID] != want {
		t.Errorf("registered endpoints are %+v, want only the valid one", known)
	}
	good.Sequence, good.Leaving = 2, true
	s.mustOwner().state.config.table.Services[0].Name = "t"
	s.mustOwner().state.config.table.Index()
	callID := s.heartbeat(s.mustOwner(), good)
	s.run(second)
	if s.answers[callID].Status != StatusDone {
		t.Errorf("the heartbeat of the draining endpoint was answered with %+v, want StatusDone", s.answers[callID])
	}
}

// TestEntryBelowGroupVersionGetsNothing: an entry rolled back to a build below the group's format version
// would use endpoint ids that the group does not know, so it must receive nothing.
func TestEntryBelowGroupVersionGetsNothing(t *testing.T) {
	s := newSim(t, 3, 0)
	s.run(5 * second)
	s.put(s.mustOwner(), 1)
	s.heartbeat(s.mustOwner(), registry.Endpoint{ID: "e", Born: 1000, Service: "s", Address: "10.0.0.1:80", Slots: 9, Sequence: 1})
	s.run(second)
	s.step(s.mustOwner(), &SessionOpened{FormatVersion: level.Negotiated, Session: 1, Hello: message.Hello{Entry: "back"}})
	s.step(s.mustOwner(), &SessionOpened{FormatVersion: level.Newest, Session: 2, Hello: message.Hello{Entry: "entry"}})
	for range 3 {
		s.step(s.mustOwner(), &PingReceived{Session: 1})
		s.step(s.mustOwner(), &PingReceived{Session: 2})
		s.run(second)
	}
	if len(s.sends[1]) > 0 || s.closed[1] {
		t.Errorf("an entry of an earlier build was sent %+v", s.sends[1])
	}
	if len(s.sends[2]) == 0 {
		t.Error("an entry of this build was sent nothing")
	}
	s.step(s.mustOwner(), &SessionClosed{Session: 1})
	if n := len(s.mustOwner().state.owner.unsupported); n > 0 {
		t.Errorf("%d closed sessions are still tracked as unsupported", n)
	}
}

// TestDisconnectedEntryBlocksVersionRaise: a briefly disconnected entry of an earlier build must be able to
// return, so the group's format version must not be raised while it is away, nor by a new owner before all
// entries can have connected.
func TestDisconnectedEntryBlocksVersionRaise(t *testing.T) {
	s := newSim(t, 3, 0)
	for _, name := range s.order {
		s.stop(name)
		s.boxes[name].disk.restored.Snapshot.Data = nil // as in a group bootstrapped by a build before level.Negotiated
		s.restart(name)
	}
	s.run(200 * event.Millisecond)
	for s.owner() == nil {
		s.run(simStep)
	}
	groupVersion := func() level.Level { return s.mustOwner().state.machine.formatVersion }
	s.run(second)
	if got := groupVersion(); got >= level.Instances {
		t.Fatalf("the group has format version %d before entries can have connected", got)
	}
	s.step(s.mustOwner(), &SessionOpened{FormatVersion: level.Negotiated, Session: 1, Hello: message.Hello{Entry: "old"}})
	s.run(20 * second)
	s.step(s.mustOwner(), &SessionClosed{Session: 1})
	s.run(3 * second)
	if got := groupVersion(); got >= level.Instances {
		t.Fatalf("the group has format version %d while an entry with version %d is disconnected", got, level.Negotiated)
	}
	s.step(s.mustOwner(), &SessionOpened{FormatVersion: level.Newest, Session: 2, Hello: message.Hello{Entry: "old", Life: 2}})
	s.run(2 * second)
	if got := groupVersion(); got != level.Newest {
		t.Errorf("the group has format version %d once all support %d", got, level.Newest)
	}
}
