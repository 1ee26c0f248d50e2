// SPDX-License-Identifier: MIT

package registry

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// reader takes pieces of a State one after the other.
type reader struct {
	revision uint64
	known    map[string]Endpoint
	whole    bool
}

func (r *reader) read(s *State, bytes int) {
	p := s.After(r.revision, bytes)
	for _, e := range p.Endpoints {
		r.known[e.ID] = e
	}
	for _, id := range p.Gone {
		delete(r.known, id)
	}
	r.revision, r.whole = p.UpTo, !p.More
}

// TestPiecesLeadToWhatIsThere: whoever reads piece by piece, while endpoints come, change, go
// and take each other's addresses, and while the State is read from a snapshot, has in the end
// what is there.
func TestPiecesLeadToWhatIsThere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &State{}
		r := &reader{known: make(map[string]Endpoint)}
		bytes := rapid.IntRange(1, 400).Draw(t, "bytes")
		for revision := uint64(1); revision < 200; revision++ {
			id := fmt.Sprint("e", rapid.IntRange(0, 30).Draw(t, "id"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				s.Remove(id, revision)
			case 1, 2, 3:
				r.read(s, bytes)
			case 4:
				s = reload(t, s)
			default:
				address := fmt.Sprint("10.0.0.", rapid.IntRange(0, 40).Draw(t, "address"))
				s.Put(Endpoint{ID: id, Address: address, Sequence: revision}, revision)
			}
		}
		for range 100 {
			if r.read(s, bytes); r.whole {
				break
			}
		}
		if diff := cmp.Diff(s.Endpoints, r.known, emptyIsNil); diff != "" || !r.whole {
			t.Errorf("read by pieces, whole %v: %s", r.whole, diff)
		}
		if most := 2*(len(s.Endpoints)+len(s.Gone)) + 65; len(s.order) > most {
			t.Errorf("%d changes kept of %d endpoints and %d ends", len(s.order), len(s.Endpoints), len(s.Gone))
		}
	})
}

var emptyIsNil = cmp.Transformer("emptyIsNil", func(m map[string]Endpoint) map[string]Endpoint {
	if len(m) == 0 {
		return nil
	}
	return m
})

// reload returns a State as it is read from a snapshot.
func reload(t *rapid.T, s *State) *State {
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var again State
	if err := json.Unmarshal(data, &again); err != nil {
		t.Fatal(err)
	}
	return &again
}

// TestPieceIsBounded: a piece has so many bytes, and one change more at the most.
func TestPieceIsBounded(t *testing.T) {
	var s State
	for i := range uint64(500) {
		s.Put(Endpoint{ID: fmt.Sprint("e", i), Address: fmt.Sprint("10.0.0.", i), Sequence: 1}, i+1)
	}
	pieces := 0
	for p := (Piece{More: true}); p.More; pieces++ {
		p = s.After(p.UpTo, 1000)
		size := 0
		for i := range p.Endpoints {
			size += p.Endpoints[i].Size()
		}
		if size > 1100 {
			t.Fatalf("a piece of %d bytes, want about 1000", size)
		}
	}
	if pieces < 10 || pieces > 20 {
		t.Errorf("%d pieces", pieces)
	}
}

// BenchmarkAfter measures one piece of some 1,000 endpoints from the middle of all.
func BenchmarkAfter(b *testing.B) {
	for _, n := range []int{3000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var s State
			for i := range uint64(n) {
				s.Put(Endpoint{ID: fmt.Sprintf("i-%08x", i), Address: fmt.Sprint("10.0.0.", i), Sequence: 1}, i+1)
			}
			for b.Loop() {
				s.After(uint64(n/2), 48<<10)
			}
		})
	}
}
