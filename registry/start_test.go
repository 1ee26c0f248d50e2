// SPDX-License-Identifier: MIT

package registry

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// tell takes a word of an endpoint as an owner and the log do.
func (s *State) tell(e Endpoint, revision uint64) (gone []string) {
	if e, ok := s.Start(e); ok {
		return s.Put(e, revision)
	}
	return nil
}

// TestStartsAgainUnderItsName: an endpoint crashed and came back under its name, its count of messages begun
// anew. Its messages were taken for late ones, so that it got no requests until it had sent as many as
// before, and never again if it had said that it ended.
func TestStartsAgainUnderItsName(t *testing.T) {
	for _, address := range []string{"10.0.0.1:80", "10.0.0.2:80"} {
		for _, hasEnded := range []bool{false, true} {
			var s State
			s.tell(Endpoint{ID: "a", Born: 1000, Address: "10.0.0.1:80", Sequence: 900}, 1)
			if hasEnded {
				s.Remove(s.LastStart("a"), 2)
			}
			gone := s.tell(Endpoint{ID: "a", Born: 2000, Address: address, Sequence: 1}, 3)
			if e, ok := s.Endpoints["a/2000"]; !ok || e.Address != address || len(s.Endpoints) != 1 || !s.IsGone("a/1000") {
				t.Errorf("at %s, ended %v: %+v, gone %v", address, hasEnded, s.Endpoints, s.Gone)
			}
			if !hasEnded && !cmp.Equal(gone, []string{"a/1000"}) {
				t.Errorf("at %s: %v ended", address, gone)
			}
			for _, late := range []Endpoint{
				{ID: "a", Born: 1000, Address: "10.0.0.1:80", Sequence: 901, Leaving: true},
				{ID: "a", Address: "10.0.0.1:80", Sequence: 902},
			} {
				if _, counts := s.Start(late); counts {
					t.Errorf("a word of the start before counts: %+v", late)
				}
			}
		}
	}
}

// TestWithoutItsStartAsBefore: endpoints that never tell when they started go by their name alone.
func TestWithoutItsStartAsBefore(t *testing.T) {
	var s State
	s.tell(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 4}, 1)
	if e, ok := s.Start(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 3}); !ok || e.ID != "a" || s.Accepts(e) {
		t.Errorf("%+v, %v", e, ok)
	}
	s.Remove(s.LastStart("a"), 2)
	s.tell(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 5}, 3)
	if len(s.Endpoints) != 0 {
		t.Error("an endpoint that had ended came back")
	}
}

// TestTellsItsStartLater: while boxes are replaced, endpoints that are known by their name alone come to be
// heard with their start. That is no new start: what runs on them goes on.
func TestTellsItsStartLater(t *testing.T) {
	var s State
	s.tell(Endpoint{ID: "a", Address: "10.0.0.1:80", Sequence: 4}, 1)
	if gone := s.tell(Endpoint{ID: "a", Born: 1000, Address: "10.0.0.1:80", Sequence: 5}, 2); len(gone) > 0 {
		t.Errorf("%v ended", gone)
	}
	if e := s.Endpoints["a"]; e.Born != 1000 || e.Sequence != 5 {
		t.Errorf("%+v", s.Endpoints)
	}
	if gone := s.tell(Endpoint{ID: "a", Born: 2000, Address: "10.0.0.1:80", Sequence: 1}, 3); !cmp.Equal(gone, []string{"a"}) {
		t.Errorf("%v ended", gone)
	}
	s.Remove(s.LastStart("a"), 4)
	s.tell(Endpoint{ID: "a", Born: 1000, Address: "10.0.0.1:80", Sequence: 9}, 5)
	s.tell(Endpoint{ID: "a", Born: 2000, Address: "10.0.0.1:80", Sequence: 9}, 6)
	if len(s.Endpoints) != 0 {
		t.Errorf("a start that had ended came back: %v", s.Endpoints)
	}

	s = State{}
	s.tell(Endpoint{ID: "b", Address: "10.0.0.1:80", Sequence: 4}, 1)
	s.tell(Endpoint{ID: "b", Born: 1000, Address: "10.0.0.1:80", Sequence: 5}, 2)
	s.Remove(s.LastStart("b"), 3)
	if e, ok := s.Start(Endpoint{ID: "b", Born: 1000, Address: "10.0.0.1:80", Sequence: 6}); ok && s.Accepts(e) {
		t.Errorf("a start that had ended counts again as %s", e.ID)
	}
}

// TestEndBeforeTheFirstWord: an endpoint's last word may come before its first one. It ends that start alone.
func TestEndBeforeTheFirstWord(t *testing.T) {
	var s State
	s.Remove(s.Ending("a", 1000), 1)
	s.tell(Endpoint{ID: "a", Born: 1000, Address: "10.0.0.1:80", Sequence: 1}, 2)
	if len(s.Endpoints) != 0 || !cmp.Equal(s.Gone, []string{"a/1000"}) {
		t.Errorf("%v, gone %v", s.Endpoints, s.Gone)
	}
	s.tell(Endpoint{ID: "a", Born: 2000, Address: "10.0.0.1:80", Sequence: 1}, 3)
	if _, ok := s.Endpoints["a/2000"]; !ok {
		t.Errorf("the next start is not there: %v", s.Endpoints)
	}
}

// TestStartsInAnyOrder: each endpoint of some starts again and again, at its address or another one's, ends
// with or without a word, and its messages come late, doubled, lost and in any order. The words of the last
// start, once they come in order, are those that count, and no other endpoint of the name is there. A
// snapshot changes nothing of that.
func TestStartsInAnyOrder(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 3))
		var s State
		var late []Endpoint
		born, revision := uint64(1000), uint64(0)
		next := func() uint64 { revision++; return revision }
		for range 40 {
			born += 1 + r.Uint64N(50)
			name := fmt.Sprint("n", r.IntN(3))
			address := fmt.Sprintf("10.0.0.%d:80", r.IntN(4))
			words := 1 + r.Uint64N(4)
			for sequence := uint64(1); sequence <= words; sequence++ {
				e := Endpoint{ID: name, Born: born, Address: address, Sequence: sequence, Leaving: sequence == 4}
				if r.IntN(3) > 0 {
					late = append(late, e)
				}
				if r.IntN(3) > 0 {
					s.tell(e, next())
				}
				if len(late) > 0 && r.IntN(2) == 0 {
					s.tell(late[r.IntN(len(late))], next())
				}
			}
			if r.IntN(4) == 0 {
				s.Remove(s.LastStart(name), next())
				continue
			}
			again := restored(t, &s)
			for n := range 3 {
				if name := fmt.Sprint("n", n); s.LastStart(name) != again.LastStart(name) {
					t.Fatalf("seed %d: last start %s, after a snapshot %s", seed, s.LastStart(name), again.LastStart(name))
				}
			}
			if r.IntN(3) == 0 {
				s = *again
			}
			for beat := words + 1; beat <= words+2; beat++ {
				s.tell(Endpoint{ID: name, Born: born, Address: address, Sequence: beat}, next())
			}
			id := StartID(name, born)
			if e := s.Endpoints[id]; e.Address != address || e.Leaving {
				t.Fatalf("seed %d: %s is not there two words after its start: %v, gone %v", seed, id, s.Endpoints, s.Gone)
			}
			for other := range s.Endpoints {
				if Name(other) == name && other != id {
					t.Fatalf("seed %d: %s is there beside %s", seed, other, id)
				}
			}
		}
	}
}

// restored returns what a snapshot of a state holds.
func restored(t *testing.T, s *State) *State {
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
