// SPDX-License-Identifier: MIT

// Package registry knows the endpoints of a deployment by what they say of
// themselves. State is replicated: it holds what must outlive an owner (who is
// there, who is leaving, who is gone). That an endpoint is alive is soft state
// of the owner, not kept here.
//
// Each change has a revision, the index of the log's entry that made it. Whoever has seen
// a revision is told only of the changes since (State.Since): the state itself grows with
// the endpoints, and hundreds of entries ask for it at the same moment when the owner
// changes.
package registry

import (
	"slices"
	"strings"
)

// maxGone bounds how many endpoints that are gone are remembered.
const maxGone = 4096

// Endpoint is one start of an endpoint, by its own word.
type Endpoint struct {
	// ID names the start: see start.go. In a word of an endpoint it is the name that the endpoint
	// has at each of its starts.
	ID string `json:"id"`
	// Born is when it started, in milliseconds since 1970 by its own clock; 0 if it does not tell.
	Born       uint64 `json:"born,omitempty"`
	Service    string `json:"service"`
	Address    string `json:"address"` // IP:port
	DataCentre string `json:"data_centre"`
	// Slots is how many requests it handles at once.
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving,omitempty"`
	// Sequence rises with each message of the endpoint.
	Sequence uint64 `json:"sequence"`
}

// State is the set of endpoints. The zero value is empty and ready.
type State struct {
	Endpoints map[string]Endpoint `json:"endpoints"`
	// Gone has the ids of endpoints that said that they ended, and of those that another one
	// followed at their address, oldest first.
	Gone []string `json:"gone"`
	// Followed has the last sequence of those in Gone whose address another endpoint took. If
	// that one's message was long on its way, and its sender dead, the one that was followed
	// comes back when it tells of itself again.
	Followed map[string]uint64 `json:"followed,omitempty"`
	// Revision is that of the newest change; 0 is none.
	Revision uint64 `json:"revision,omitempty"`
	// Changed has the revision of each endpoint's last change, and GoneAt that of each end
	// in Gone.
	Changed map[string]uint64 `json:"changed,omitempty"`
	GoneAt  []uint64          `json:"gone_at,omitempty"`
	// Forgotten is the revision up to which ends may be missing in Gone.
	Forgotten uint64 `json:"forgotten,omitempty"`

	// What follows is derived; index makes it.
	byAddress map[string]string
	isGone    map[string]struct{}
	starts    map[string]start // the last of each name
	order     []change         // by revision, perhaps with some that are not the last of their endpoint
}

// index makes what is derived, for a State that is new or was read from a snapshot.
func (s *State) index() {
	if s.byAddress != nil {
		return
	}
	if s.Endpoints == nil {
		s.Endpoints = make(map[string]Endpoint)
	}
	if s.Changed == nil {
		s.Changed = make(map[string]uint64)
	}
	if s.Followed == nil {
		s.Followed = make(map[string]uint64)
	}
	for len(s.GoneAt) < len(s.Gone) {
		s.GoneAt = append([]uint64{0}, s.GoneAt...) // of a snapshot without revisions
	}
	s.byAddress = make(map[string]string, len(s.Endpoints))
	for id, e := range s.Endpoints {
		s.byAddress[e.Address] = id
	}
	s.isGone = make(map[string]struct{}, len(s.Gone))
	for _, id := range s.Gone {
		s.isGone[id] = struct{}{}
	}
	s.indexStarts()
	s.sortChanges()
}

// IsGone reports whether an endpoint said that it ended, or was followed by another at its
// address.
func (s *State) IsGone(id string) bool {
	s.index()
	_, gone := s.isGone[id]
	return gone
}

// Accepts reports whether a message is news: not of an endpoint that has ended and not
// older than what is known.
func (s *State) Accepts(e Endpoint) bool {
	if s.IsGone(e.ID) {
		last, followed := s.Followed[e.ID]
		return followed && e.Sequence > last
	}
	known, ok := s.Endpoints[e.ID]
	return !ok || e.Sequence > known.Sequence
}

// Contests returns the endpoint that took the address of one that tells of itself again;
// empty if there is none. One of the two is dead: whoever hears both decides whether the
// message counts.
func (s *State) Contests(e Endpoint) string {
	s.index()
	if _, followed := s.Followed[e.ID]; !followed {
		return ""
	}
	return s.byAddress[e.Address]
}

// Changes reports whether a message changes more than the sequence.
func (s *State) Changes(e Endpoint) bool {
	known, ok := s.Endpoints[e.ID]
	known.Sequence = e.Sequence
	return !ok || known != e
}

// Put takes an endpoint's word on itself, whose ID is that of a start and which the log has at a
// revision. Another endpoint at the same address is gone, as an address has one at a time, and so is an
// earlier start of this one. Their ids are returned.
func (s *State) Put(e Endpoint, revision uint64) (gone []string) {
	if !s.Accepts(e) {
		return nil
	}
	if other, ok := s.byAddress[e.Address]; ok && other != e.ID {
		gone = append(gone, other)
		last := s.Endpoints[other].Sequence
		s.Remove(other, revision)
		if Name(other) != Name(e.ID) {
			s.Followed[other] = last
		}
	}
	if before := s.starts[Name(e.ID)].id; before != e.ID && s.isThere(before) {
		gone = append(gone, before)
		s.Remove(before, revision)
	}
	s.comeBack(e.ID)
	if known, ok := s.Endpoints[e.ID]; ok {
		s.freeAddress(known)
	}
	s.Endpoints[e.ID] = e
	s.byAddress[e.Address] = e.ID
	s.noteStart(e.ID, e.Born)
	s.Changed[e.ID] = revision
	s.note(change{revision: revision, id: e.ID})
	s.Revision = max(s.Revision, revision)
	return gone
}

// comeBack takes an endpoint from those that are gone.
func (s *State) comeBack(id string) {
	if _, followed := s.Followed[id]; !followed {
		return
	}
	delete(s.Followed, id)
	delete(s.isGone, id)
	if i := slices.Index(s.Gone, id); i >= 0 {
		s.Gone = slices.Delete(s.Gone, i, i+1)
		s.GoneAt = slices.Delete(s.GoneAt, i, i+1)
	}
}

// freeAddress takes note that an endpoint does not have its address any more.
func (s *State) freeAddress(e Endpoint) {
	if s.byAddress[e.Address] == e.ID {
		delete(s.byAddress, e.Address)
	}
}

// Remove takes note that the start of an endpoint that an id names is gone for good, which the log has at
// a revision.
func (s *State) Remove(id string, revision uint64) {
	s.index()
	s.freeAddress(s.Endpoints[id])
	born := max(s.Endpoints[id].Born, bornOf(id))
	delete(s.Endpoints, id)
	delete(s.Changed, id)
	delete(s.Followed, id)
	if s.IsGone(id) {
		return
	}
	s.noteStart(id, born)
	s.addGone(id, revision)
	if named := StartID(Name(id), born); named != id && !s.IsGone(named) {
		// The start is known by another id than its words have, which must go for nothing now.
		s.addGone(named, revision)
	}
	s.forgetGone()
}

func (s *State) addGone(id string, revision uint64) {
	s.isGone[id] = struct{}{}
	s.Gone = append(s.Gone, id)
	s.GoneAt = append(s.GoneAt, revision)
	s.noteStart(id, 0)
	s.note(change{revision: revision, id: id, isEnd: true})
	s.Revision = max(s.Revision, revision)
}

// forgetGone drops the oldest ends beyond the bound.
func (s *State) forgetGone() {
	over := len(s.Gone) - maxGone
	if over <= 0 {
		return
	}
	for _, id := range s.Gone[:over] {
		delete(s.isGone, id)
		delete(s.Followed, id)
		if name := Name(id); s.starts[name].id == id {
			delete(s.starts, name)
		}
	}
	s.Forgotten = s.GoneAt[over-1]
	s.Gone = slices.Delete(s.Gone, 0, over)
	s.GoneAt = slices.Delete(s.GoneAt, 0, over)
}

// List returns the endpoints by id.
func (s *State) List() []Endpoint { return s.changedAfter(0) }

// Reaches reports whether all changes after a revision are known.
func (s *State) Reaches(revision uint64) bool {
	return revision != 0 && revision >= s.Forgotten && revision <= s.Revision
}

// changedAfter returns the endpoints that changed after a revision, by id; all that are
// there after none.
func (s *State) changedAfter(revision uint64) []Endpoint {
	var list []Endpoint
	for id, e := range s.Endpoints {
		if revision == 0 || s.Changed[id] > revision {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return list
}
