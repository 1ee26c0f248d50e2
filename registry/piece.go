// SPDX-License-Identifier: MIT

package registry

import (
	"cmp"
	"slices"
	"sort"
)

// change says that an endpoint changed, or ended, at a revision.
type change struct {
	revision uint64
	id       string
	isEnd    bool
}

// Piece is some of what changed after a revision, in the order of the changes: who has taken
// it knows all up to UpTo, and can go on from there with any owner.
type Piece struct {
	Endpoints []Endpoint
	Gone      []string
	UpTo      uint64
	More      bool // there is more after UpTo
}

// Size returns about how many bytes an endpoint takes.
func (e *Endpoint) Size() int {
	const rest = 12 // lengths, marks of fields and numbers
	return rest + len(e.ID) + len(e.Service) + len(e.Address) + len(e.DataCentre)
}

// After returns what changed after a revision, as much as has so many bytes and all of one
// revision at the least. What has changed again since comes with its last change. After 0 it
// is all that is there.
func (s *State) After(revision uint64, bytes int) Piece {
	s.index()
	p := Piece{UpTo: s.Revision}
	first := 0
	if revision > 0 {
		first = sort.Search(len(s.order), func(i int) bool { return s.order[i].revision > revision })
	}
	size := 0
	for i := first; i < len(s.order); i++ {
		c := s.order[i]
		if size >= bytes && c.revision > s.order[i-1].revision {
			p.UpTo, p.More = s.order[i-1].revision, true
			break
		}
		if !s.isLast(c) {
			continue
		}
		if c.isEnd {
			p.Gone = append(p.Gone, c.id)
			size += len(c.id)
			continue
		}
		e := s.Endpoints[c.id]
		p.Endpoints = append(p.Endpoints, e)
		size += e.Size()
	}
	return p
}

// isLast reports whether nothing of a change's endpoint was noted after it.
func (s *State) isLast(c change) bool {
	if c.isEnd {
		return s.IsGone(c.id)
	}
	_, ok := s.Endpoints[c.id]
	return ok && s.Changed[c.id] == c.revision
}

// note keeps a change. Those that were followed by others are left out now and then, so that
// what is kept grows with endpoints and ends.
func (s *State) note(c change) {
	n := len(s.order)
	s.order = append(s.order, c)
	const spare = 64
	if n > 2*(len(s.Endpoints)+len(s.Gone))+spare || (n > 0 && s.order[n-1].revision > c.revision) {
		s.sortChanges()
	}
}

// sortChanges makes the list of changes from what is known of each endpoint.
func (s *State) sortChanges() {
	s.order = s.order[:0]
	for id := range s.Endpoints {
		s.order = append(s.order, change{revision: s.Changed[id], id: id})
	}
	for i, id := range s.Gone {
		s.order = append(s.order, change{revision: s.GoneAt[i], id: id, isEnd: true})
	}
	slices.SortFunc(s.order, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.id, b.id))
	})
}
