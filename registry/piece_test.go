// SPDX-License-Identifier: MIT

package registry

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// reader follows a State page by page.
type reader struct {
	revision uint64
	known    map[string]Endpoint
	caughtUp bool
}

func (r *reader) read(s *State, bytes int) {
	p := s.ChangesAfter(r.revision, bytes)
	for _, e := range p.Endpoints {
		r.known[e.ID] = e
	}
	for _, id := range p.Removed {
		delete(r.known, id)
	}
	r.revision, r.caughtUp = p.Revision, !p.HasMore
}

// TestPagesConvergeToState: a reader that applies page after page must end with the endpoints of
// the State, while these are added, changed, removed and replaced, and the State is restored from
// snapshots.
func TestPagesConvergeToState(t *testing.T) {
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
				s = reloadFromSnapshot(t, s)
			default:
				address := fmt.Sprint("10.0.0.", rapid.IntRange(0, 40).Draw(t, "address"))
				s.Put(Endpoint{ID: id, Address: address, Sequence: revision}, revision)
			}
		}
		for range 100 {
			if r.read(s, bytes); r.caughtUp {
				break
			}
		}
		if diff := cmp.Diff(s.Endpoints, r.known, emptyIsNil); diff != "" || !r.caughtUp {
			t.Errorf("endpoints read page by page (-want +got), caught up %v: %s", r.caughtUp, diff)
		}
		if limit := 2*(len(s.Endpoints)+len(s.Removed)) + 65; len(s.changes) > limit {
			t.Errorf("%d changes kept for %d endpoints and %d removals", len(s.changes), len(s.Endpoints), len(s.Removed))
		}
	})
}

var emptyIsNil = cmp.Transformer("emptyIsNil", func(m map[string]Endpoint) map[string]Endpoint {
	if len(m) == 0 {
		return nil
	}
	return m
})

// reloadFromSnapshot returns the State restored from its own snapshot.
func reloadFromSnapshot(t *rapid.T, s *State) *State {
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

// TestPageSizeIsBounded: a page must not exceed its byte limit by more than one change.
func TestPageSizeIsBounded(t *testing.T) {
	var s State
	for i := range uint64(500) {
		s.Put(Endpoint{ID: fmt.Sprint("e", i), Address: fmt.Sprint("10.0.0.", i), Sequence: 1}, i+1)
	}
	pages := 0
	for p := (Page{HasMore: true}); p.HasMore; pages++ {
		p = s.ChangesAfter(p.Revision, 1000)
		size := 0
		for i := range p.Endpoints {
			size += p.Endpoints[i].Size()
		}
		if size > 1100 {
			t.Fatalf("a page of %d bytes, want about 1000", size)
		}
	}
	if pages < 10 || pages > 20 {
		t.Errorf("%d pages, want 10 to 20", pages)
	}
}

// BenchmarkChangesAfter measures building one page from the middle of the changes.
func BenchmarkChangesAfter(b *testing.B) {
	for _, n := range []int{3000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var s State
			for i := range uint64(n) {
				s.Put(Endpoint{ID: fmt.Sprintf("i-%08x", i), Address: fmt.Sprint("10.0.0.", i), Sequence: 1}, i+1)
			}
			for b.Loop() {
				s.ChangesAfter(uint64(n/2), 48<<10)
			}
		})
	}
}
