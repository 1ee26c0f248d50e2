// SPDX-License-Identifier: MIT

package registry

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// heartbeat applies a heartbeat as an owner and the log do.
func (s *State) heartbeat(e Endpoint, revision uint64) (removed []string) {
	if e, ok := s.ResolveInstance(e); ok {
		return s.Put(e, revision)
	}
	return nil
}

// TestRestartUnderSameName: an endpoint that restarts under its name begins its sequence anew; its heartbeats
// must not be rejected as outdated, nor because the earlier instance was terminated.
func TestRestartUnderSameName(t *testing.T) {
	for _, address := range []string{"10.0.0.1:80", "10.0.0.2:80"} {
		for _, terminated := range []bool{false, true} {
			var s State
			s.heartbeat(Endpoint{ID: "a", Born: 1000, Address: "10.0.0.1:80", Sequence: 900}, 1)
			if terminated {
				s.Remove(s.LastInstance("a"), 2)
			}
			removed := s.heartbeat(Endpoint{ID: "a", Born: 2000, Address: address, Sequence: 1}, 3)
			if e, ok := s.Endpoints["a/2000"]; !ok || e.Address != address || len(s.Endpoints) != 1 || !s.IsRemoved("a/1000") {
				t.Errorf("at %s, terminated %v: %+v, removed %v", address, terminated, s.Endpoints, s.Removed)
			}
			if !terminated && !cmp.Equal(removed, []string{"a/1000"}) {
				t.Errorf("at %s: removed %v, want the earlier instance", address, removed)
			}
			for _, delayed := range []Endpoint{
				{ID: "a", Born: 1000, Address: "10.0.0.1:80", Sequence: 901, Leaving: true},
				{ID: "a", Address: "10.0.0.1:80", Sequence: 902},
			} {
				if _, accepted := s.ResolveInstance(delayed); accepted {
					t.Errorf("a heartbeat of the earlier instance was accepted: %+v", delayed)
				}
			}
		}
	}
}

// TestEndpointWithoutStartTime: an endpoint that never reports a start time is identified by its name alone.
func TestEndpointWithoutStartTime(t *testing.T) {
	var s State
	s.heartbeat(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 4}, 1)
	if e, ok := s.ResolveInstance(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 3}); !ok || e.ID != "a" || s.Accepts(e) {
		t.Errorf("%+v, %v", e, ok)
	}
	s.Remove(s.LastInstance("a"), 2)
	s.heartbeat(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 5}, 3)
	if len(s.Endpoints) != 0 {
		t.Error("a heartbeat registered a removed endpoint again")
	}
}

// TestStartTimeReportedLater: during an upgrade an endpoint known by its name alone begins to report its start
// time. That must not count as a restart, which would fail its running requests.
func TestStartTimeReportedLater(t *testing.T) {
	var s State
	s.heartbeat(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 4}, 1)
	if removed := s.heartbeat(Endpoint{ID: "a", Born: 1000, Address: "10.0.0.1:80", Sequence: 5}, 2); len(removed) > 0 {
		t.Errorf("removed %v", removed)
	}
	if e := s.Endpoints["a"]; e.Born != 1000 || e.Sequence != 5 {
		t.Errorf("%+v", s.Endpoints)
	}
	if removed := s.heartbeat(Endpoint{ID: "a", Born: 2000, Address: "10.0.0.1:80", Sequence: 1}, 3); !cmp.Equal(removed, []string{"a"}) {
		t.Errorf("removed %v, want the earlier instance", removed)
	}
	s.Remove(s.LastInstance("a"), 4)
	s.heartbeat(Endpoint{ID: "a", Born: 1000, Address: "10.0.0.1:80", Sequence: 9}, 5)
	s.heartbeat(Endpoint{ID: "a", Born: 2000, Address: "10.0.0.1:80", Sequence: 9}, 6)
	if len(s.Endpoints) != 0 {
		t.Errorf("a removed instance was registered again: %v", s.Endpoints)
	}

	s = State{}
	s.heartbeat(Endpoint{ID: "b", Address: "10.0.0.1:80", Sequence: 4}, 1)
	s.heartbeat(Endpoint{ID: "b", Born: 1000, Address: "10.0.0.1:80", Sequence: 5}, 2)
	s.Remove(s.LastInstance("b"), 3)
	if e, ok := s.ResolveInstance(Endpoint{ID: "b", Born: 1000, Address: "10.0.0.1:80", Sequence: 6}); ok && s.Accepts(e) {
		t.Errorf("a heartbeat of a removed instance was accepted as %s", e.ID)
	}
}

// TestTerminationBeforeFirstHeartbeat: a termination received before the first heartbeat must end that instance alone.
func TestTerminationBeforeFirstHeartbeat(t *testing.T) {
	var s State
	s.Remove(s.ResolveTermination("a", 1000), 1)
	s.heartbeat(Endpoint{ID: "a", Born: 1000, Address: "10.0.0.1:80", Sequence: 1}, 2)
	if len(s.Endpoints) != 0 || !cmp.Equal(s.Removed, []string{"a/1000"}) {
		t.Errorf("endpoints %v, removed %v", s.Endpoints, s.Removed)
	}
	s.heartbeat(Endpoint{ID: "a", Born: 2000, Address: "10.0.0.1:80", Sequence: 1}, 3)
	if _, ok := s.Endpoints["a/2000"]; !ok {
		t.Errorf("the next instance is not registered: %v", s.Endpoints)
	}
}

// TestRestartsWithReorderedMessages: endpoints restart at any address, with or without a termination message, and
// messages are delayed, duplicated, lost and reordered. Once the heartbeats of the last instance arrive in order,
// it must be the only one of its name, also after a snapshot.
func TestRestartsWithReorderedMessages(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 3))
		var s State
		var delayed []Endpoint
		born, revision := uint64(1000), uint64(0)
		next := func() uint64 { revision++; return revision }
		for range 40 {
			born += 1 + r.Uint64N(50)
			name := fmt.Sprint("n", r.IntN(3))
			address := fmt.Sprintf("10.0.0.%d:80", r.IntN(4))
			heartbeats := 1 + r.Uint64N(4)
			for sequence := uint64(1); sequence <= heartbeats; sequence++ {
				e := Endpoint{ID: name, Born: born, Address: address, Sequence: sequence, Leaving: sequence == 4}
				if r.IntN(3) > 0 {
					delayed = append(delayed, e)
				}
				if r.IntN(3) > 0 {
					s.heartbeat(e, next())
				}
				if len(delayed) > 0 && r.IntN(2) == 0 {
					s.heartbeat(delayed[r.IntN(len(delayed))], next())
				}
			}
			if r.IntN(4) == 0 {
				s.Remove(s.LastInstance(name), next())
				continue
			}
			again := restoreFromSnapshot(t, &s)
			for n := range 3 {
				if name := fmt.Sprint("n", n); s.LastInstance(name) != again.LastInstance(name) {
					t.Fatalf("seed %d: last instance %s, after a snapshot %s", seed, s.LastInstance(name), again.LastInstance(name))
				}
			}
			if r.IntN(3) == 0 {
				s = *again
			}
			for seq := heartbeats + 1; seq <= heartbeats+2; seq++ {
				s.heartbeat(Endpoint{ID: name, Born: born, Address: address, Sequence: seq}, next())
			}
			id := InstanceID(name, born)
			if e := s.Endpoints[id]; e.Address != address || e.Leaving {
				t.Fatalf("seed %d: %s is not registered after two heartbeats in order: %v, removed %v", seed, id, s.Endpoints, s.Removed)
			}
			for other := range s.Endpoints {
				if Name(other) == name && other != id {
					t.Fatalf("seed %d: %s is registered besides %s", seed, other, id)
				}
			}
		}
	}
}

// restoreFromSnapshot returns a State restored from a snapshot of s.
func restoreFromSnapshot(t *testing.T, s *State) *State {
	t.Helper()
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	again := &State{}
	if err := json.Unmarshal(data, again); err != nil {
		t.Fatal(err)
	}
	return again
}
