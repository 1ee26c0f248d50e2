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

func TestLateWordIsNoNews(t *testing.T) {
	var s State
	s.Put(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 4, Leaving: true}, 1)
	s.Put(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 3}, 2)
	if !s.Endpoints["a"].Leaving {
		t.Error("a late message took back that the endpoint is leaving")
	}
}

func TestGoneStaysGone(t *testing.T) {
	var s State
	s.Put(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 1}, 3)
	s.Remove("a", 9)
	s.Put(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 9}, 4)
	if len(s.Endpoints) != 0 {
		t.Error("an endpoint that had ended came back")
	}
}

func TestAddressHasOneEndpoint(t *testing.T) {
	var s State
	s.Put(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 1}, 5)
	s.Put(Endpoint{ID: "b", Address: "10.0.0.1:80", Sequence: 1}, 6)
	if _, ok := s.Endpoints["a"]; ok || len(s.Endpoints) != 1 {
		t.Errorf("two endpoints at one address: %v", s.Endpoints)
	}
}

// TestFollowedComesBack: an endpoint whose address a late word of another took comes back
// when it tells of itself anew, and is not told to be gone then. One that said that it ended
// does not, nor does a word from before.
func TestFollowedComesBack(t *testing.T) {
	var s State
	s.Put(Endpoint{ID: "new", Address: "10.0.0.1:80", Sequence: 7}, 1)
	s.Put(Endpoint{ID: "old", Address: "10.0.0.1:80", Sequence: 1}, 2)
	if !s.IsGone("new") || s.Accepts(Endpoint{ID: "new", Address: "10.0.0.1:80", Sequence: 7}) {
		t.Error("a word from before was taken")
	}
	again := Endpoint{ID: "new", Address: "10.0.0.1:80", Sequence: 8}
	if other := s.Contests(again); other != "old" || !s.Accepts(again) {
		t.Errorf("contests %q, accepted %v", other, s.Accepts(again))
	}
	s.Put(again, 3)
	_, there := s.Endpoints["new"]
	if !there || s.IsGone("new") || !s.IsGone("old") {
		t.Errorf("%v, gone %v", s.Endpoints, s.Gone)
	}
	if changed, gone, ok := since(&s, 1); !ok || len(changed) != 1 || len(gone) != 1 || gone[0] != "old" {
		t.Errorf("since its first word: %v, %v, %v", changed, gone, ok)
	}
	s.Remove("old", 4)
	if s.Accepts(Endpoint{ID: "old", Address: "10.0.0.1:80", Sequence: 99}) {
		t.Error("an endpoint that ended came back")
	}
}

func TestGoneIsBounded(t *testing.T) {
	var s State
	for i := range 3 * maxGone {
		s.Remove(string(rune('a'+i%26))+string(rune(i)), uint64(i+1))
	}
	if len(s.Gone) != maxGone || len(s.isGone) != maxGone || len(s.GoneAt) != maxGone {
		t.Errorf("%d endpoints that are gone are remembered, want %d", len(s.Gone), maxGone)
	}
}

// since returns all that changed after a revision; false where that is not known.
func since(s *State, revision uint64) (changed []Endpoint, gone []string, ok bool) {
	if !s.Reaches(revision) {
		return nil, nil, false
	}
	p := s.After(revision, math.MaxInt)
	return p.Endpoints, p.Gone, true
}

// TestSinceTellsEachChangeOnce follows a registry through random changes: who applies what
// it is told since the revision that it has seen knows what is there.
func TestSinceTellsEachChangeOnce(t *testing.T) {
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
		changed, gone, ok := since(&s, revision)
		if !ok {
			clear(seen)
			changed = s.List()
		}
		for _, id := range gone {
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

// TestSinceAsksForAllWhereItDoesNotKnow: of a revision whose later ends are forgotten, and
// of one that is ahead of this log.
func TestSinceAsksForAllWhereItDoesNotKnow(t *testing.T) {
	var s State
	for i := range uint64(2 * maxGone) {
		s.Remove(fmt.Sprint(i), i+1)
	}
	for _, revision := range []uint64{0, 1, maxGone - 1, 2*maxGone + 1} {
		if _, _, ok := since(&s, revision); ok {
			t.Errorf("changes since revision %d are told, though some may be missing", revision)
		}
	}
	if _, gone, ok := since(&s, 2*maxGone-3); !ok || len(gone) != 3 {
		t.Errorf("%d ends since the revision before the last three, %v", len(gone), ok)
	}
}

// TestSnapshotKeepsRevisions: a State that was read from a snapshot goes on as the one that
// was written.
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
	changed, gone, ok := since(&again, 3)
	if !ok || len(changed) != 0 || len(gone) != 1 || gone[0] != "b" {
		t.Errorf("since revision 3: %v, %v, %v; want that b is gone", changed, gone, ok)
	}
	again.Put(Endpoint{ID: "c", Address: "10.0.0.1:80", Sequence: 1}, 9)
	if !again.IsGone("a") {
		t.Error("an endpoint at the address of a new one is still there")
	}
}
