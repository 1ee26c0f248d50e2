// SPDX-License-Identifier: MIT

package registry

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestOutdatedHeartbeatIsIgnored(t *testing.T) {
	var s State
	s.Put(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 4, Leaving: true}, 1)
	s.Put(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 3}, 2)
	if !s.Endpoints["a"].Leaving {
		t.Error("an outdated heartbeat reset the draining state")
	}
}

func TestRemovedEndpointStaysRemoved(t *testing.T) {
	var s State
	s.Put(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 1}, 3)
	s.Remove("a", 9)
	s.Put(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 9}, 4)
	if len(s.Endpoints) != 0 {
		t.Error("a heartbeat registered a removed endpoint again")
	}
}

func TestOneEndpointPerAddress(t *testing.T) {
	var s State
	s.Put(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 1}, 5)
	s.Put(Endpoint{ID: "b", Address: "10.0.0.1:80", Sequence: 1}, 6)
	if _, ok := s.Endpoints["a"]; ok || len(s.Endpoints) != 1 {
		t.Errorf("endpoints at one address: %v, want only b", s.Endpoints)
	}
}

// TestReplacedEndpointIsReinstated: an endpoint that a delayed message of another replaced must be
// registered again by its next heartbeat, but not by an older one, nor after its termination.
func TestReplacedEndpointIsReinstated(t *testing.T) {
	var s State
	s.Put(Endpoint{ID: "new", Address: "10.0.0.1:80", Sequence: 7}, 1)
	s.Put(Endpoint{ID: "old", Address: "10.0.0.1:80", Sequence: 1}, 2)
	if !s.IsRemoved("new") || s.Accepts(Endpoint{ID: "new", Address: "10.0.0.1:80", Sequence: 7}) {
		t.Error("an old heartbeat of a replaced endpoint was accepted")
	}
	again := Endpoint{ID: "new", Address: "10.0.0.1:80", Sequence: 8}
	if other := s.AddressConflict(again); other != "old" || !s.Accepts(again) {
		t.Errorf("conflicts with %q, accepted %v", other, s.Accepts(again))
	}
	s.Put(again, 3)
	_, there := s.Endpoints["new"]
	if !there || s.IsRemoved("new") || !s.IsRemoved("old") {
		t.Errorf("endpoints %v, removed %v", s.Endpoints, s.Removed)
	}
	if changed, removed, ok := changesSince(&s, 1); !ok || len(changed) != 1 || len(removed) != 1 || removed[0] != "old" {
		t.Errorf("changes since its first heartbeat: %v, removed %v, %v", changed, removed, ok)
	}
	s.Remove("old", 4)
	if s.Accepts(Endpoint{ID: "old", Address: "10.0.0.1:80", Sequence: 99}) {
		t.Error("a heartbeat of a terminated endpoint was accepted")
	}
}

func TestRemovedIsBounded(t *testing.T) {
	var s State
	for i := range 3 * maxRemoved {
		s.Remove(string(rune('a'+i%26))+string(rune(i)), uint64(i+1))
	}
	if len(s.Removed) != maxRemoved || len(s.removedIDs) != maxRemoved || len(s.RemovedAt) != maxRemoved {
		t.Errorf("%d removed endpoints are kept, want %d", len(s.Removed), maxRemoved)
	}
}

// changesSince returns all changes after a revision; false if some are no longer known.
func changesSince(s *State, revision uint64) (changed []Endpoint, removed []string, ok bool) {
	if !s.CanResumeFrom(revision) {
		return nil, nil, false
	}
	p := s.ChangesAfter(revision, math.MaxInt)
	return p.Endpoints, p.Removed, true
}

// TestChangesReproduceState: a reader that applies the changes since its last revision must have the
// same endpoints as the State, through random changes.
func TestChangesReproduceState(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var s State
	seen := make(map[string]Endpoint)
	var revision uint64
	for step := uint64(1); step < 20000; step++ {
		id := fmt.Sprintf("e%d", random.IntN(12000))
		if random.IntN(3) == 0 {
			s.Remove(id, step)
		} else {
			s.Put(Endpoint{ID: id, Address: fmt.Sprint("10.0.0.1:", random.IntN(300)), Sequence: step}, step)
		}
		if random.IntN(40) != 0 {
			continue
		}
		changed, removed, ok := changesSince(&s, revision)
		if !ok {
			clear(seen)
			changed = s.List()
		}
		for _, id := range removed {
			delete(seen, id)
		}
		for _, e := range changed {
			seen[e.ID] = e
		}
		revision = s.Revision
		if diff := cmp.Diff(s.Endpoints, seen); diff != "" {
			t.Fatalf("step %d: %s", step, diff)
		}
	}
}

// TestResumeRefusedWhenChangesAreMissing: a revision whose later removals were compacted, or one
// ahead of this log, must not be resumed from.
func TestResumeRefusedWhenChangesAreMissing(t *testing.T) {
	var s State
	for i := range uint64(2 * maxRemoved) {
		s.Remove(fmt.Sprint(i), i+1)
	}
	for _, revision := range []uint64{0, 1, maxRemoved - 1, 2*maxRemoved + 1} {
		if _, _, ok := changesSince(&s, revision); ok {
			t.Errorf("resumed from revision %d, though changes may be missing", revision)
		}
	}
	if _, removed, ok := changesSince(&s, 2*maxRemoved-3); !ok || len(removed) != 3 {
		t.Errorf("%d removals, resumed %v; want the last three", len(removed), ok)
	}
}

// TestSnapshotKeepsRevisions: a State restored from a snapshot must know the same changes and
// addresses as before.
func TestSnapshotKeepsRevisions(t *testing.T) {
	var s, again State
	s.Put(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 1}, 3)
	s.Put(Endpoint{ID: "b", Address: "10.0.0.2:80", Sequence: 1}, 4)
	s.Remove("b", 7)
	data, err := json.Marshal(&s)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, &again); err != nil {
		t.Fatal(err)
	}
	changed, removed, ok := changesSince(&again, 3)
	if !ok || len(changed) != 0 || len(removed) != 1 || removed[0] != "b" {
		t.Errorf("since revision 3: %v, %v, %v; want only the removal of b", changed, removed, ok)
	}
	again.Put(Endpoint{ID: "c", Address: "10.0.0.1:80", Sequence: 1}, 9)
	if !again.IsRemoved("a") {
		t.Error("an endpoint was not replaced by a new one at its address")
	}
}
