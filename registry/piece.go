// SPDX-License-Identifier: MIT

package registry

import (
	"cmp"
	"slices"
	"sort"
)

// change is an update or a removal of an endpoint at a revision.
type change struct {
	revision  uint64
	id        string
	isRemoval bool
}

// Page is a part of the changes after a revision, in their order. A reader that applied it has
// all changes up to Revision and can resume from there with any owner.
type Page struct {
	Endpoints []Endpoint
	Removed   []string
	Revision  uint64
	HasMore   bool // there are changes after Revision
}

// Size returns about how many bytes the endpoint takes in a message.
func (e *Endpoint) Size() int {
	const overhead = 12 // lengths, field tags and numbers
	return overhead + len(e.ID) + len(e.Service) + len(e.Address) + len(e.DataCentre) + len(e.Version)
}

// ChangesAfter returns the changes after a revision, up to about maxBytes but at least all of
// one revision. An endpoint that changed several times is listed once, at its last change.
// Revision 0 starts from the beginning.
func (s *State) ChangesAfter(revision uint64, maxBytes int) Page {
	s.ensureIndex()
	p := Page{Revision: s.Revision}
	first := 0
	if revision > 0 {
		first = sort.Search(len(s.changes), func(i int) bool { return s.changes[i].revision > revision })
	}
	size := 0
	for i := first; i < len(s.changes); i++ {
		c := s.changes[i]
		if size >= maxBytes && c.revision > s.changes[i-1].revision {
			p.Revision, p.HasMore = s.changes[i-1].revision, true
			break
		}
		if !s.isLatest(c) {
			continue
		}
		if c.isRemoval {
			p.Removed = append(p.Removed, c.id)
			size += len(c.id)
			continue
		}
		e := s.Endpoints[c.id]
		p.Endpoints = append(p.Endpoints, e)
		size += e.Size()
	}
	return p
}

// isLatest reports whether a change is the last one of its endpoint.
func (s *State) isLatest(c change) bool {
	if c.isRemoval {
		return s.IsRemoved(c.id)
	}
	_, ok := s.Endpoints[c.id]
	return ok && s.Changed[c.id] == c.revision
}

// recordChange appends a change. Outdated changes are dropped from time to time, so that the list stays
// proportional to the endpoints and removals.
func (s *State) recordChange(c change) {
	n := len(s.changes)
	s.changes = append(s.changes, c)
	const spare = 64
	if n > 2*(len(s.Endpoints)+len(s.Removed))+spare || (n > 0 && s.changes[n-1].revision > c.revision) {
		s.sortChanges()
	}
}

// sortChanges rebuilds the list of changes from the endpoints and removals.
func (s *State) sortChanges() {
	s.changes = s.changes[:0]
	for id := range s.Endpoints {
		s.changes = append(s.changes, change{revision: s.Changed[id], id: id})
	}
	for i, id := range s.Removed {
		s.changes = append(s.changes, change{revision: s.RemovedAt[i], id: id, isRemoval: true})
	}
	slices.SortFunc(s.changes, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.id, b.id))
	})
}
