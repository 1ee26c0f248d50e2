// SPDX-License-Identifier: MIT

// Package registry keeps the endpoints of a deployment as reported by their heartbeats.
// State is replicated: it holds what must survive a change of owner, namely which endpoints
// are registered, draining or removed. Liveness is soft state of the owner and isn't kept
// here.
//
// Each change has a revision, the index of the log entry that made it. A reader that has
// seen a revision gets only the changes after it (State.ChangesAfter), because after a
// change of owner all entries ask for the state at the same time.
package registry

import (
	"slices"
	"strings"
)

// maxRemoved bounds the number of removed endpoints kept in a State.
const maxRemoved = 4096

// Endpoint is one instance of an endpoint, as reported by its heartbeats.
type Endpoint struct {
	// ID is the instance ID (see InstanceID). In a heartbeat it is the name, which all instances
	// of an endpoint share.
	ID string `json:"id"`
	// Born is the instance's start time in Unix milliseconds by its own clock; 0 if unknown.
	Born       uint64 `json:"born,omitempty"`
	Service    string `json:"service"`
	Address    string `json:"address"` // IP:port
	DataCentre string `json:"data_centre"`
	// Slots is the number of requests it runs concurrently.
	Slots int `json:"slots"`
	// Version is that of the endpoint's software; empty if it reports none, or if not all boxes support versions.
	Version string `json:"version,omitempty"`
	// Leaving is set while the endpoint is draining.
	Leaving bool `json:"leaving,omitempty"`
	// Sequence increases with each message of the instance.
	Sequence uint64 `json:"sequence"`
}

// State is the set of endpoints. The zero value is an empty set.
type State struct {
	Endpoints map[string]Endpoint `json:"endpoints"`
	// Removed holds the IDs of endpoints that reported their termination or were replaced by
	// another endpoint at their address, oldest first.
	Removed []string `json:"gone"`
	// Replaced holds the last sequence of the endpoints in Removed whose address another
	// endpoint took. The message that replaced them may have been a delayed one of a terminated
	// endpoint, so a newer heartbeat reinstates them.
	Replaced map[string]uint64 `json:"followed,omitempty"`
	// Revision is that of the newest change; 0 if there is none.
	Revision uint64 `json:"revision,omitempty"`
	// Changed holds the revision of each endpoint's last change, RemovedAt that of each removal
	// in Removed.
	Changed   map[string]uint64 `json:"changed,omitempty"`
	RemovedAt []uint64          `json:"gone_at,omitempty"`
	// CompactedRevision is the revision up to which removals may be missing in Removed.
	CompactedRevision uint64 `json:"forgotten,omitempty"`

	// Derived by ensureIndex, not stored.
	byAddress     map[string]string
	removedIDs    map[string]struct{}
	lastInstances map[string]instance // by name
	changes       []change            // by revision; may hold outdated changes of an endpoint
}

// ensureIndex builds the derived fields of a State that is new or read from a snapshot.
func (s *State) ensureIndex() {
	if s.byAddress != nil {
		return
	}
	if s.Endpoints == nil {
		s.Endpoints = make(map[string]Endpoint)
	}
	if s.Changed == nil {
		s.Changed = make(map[string]uint64)
	}
	if s.Replaced == nil {
		s.Replaced = make(map[string]uint64)
	}
	for len(s.RemovedAt) < len(s.Removed) {
		s.RemovedAt = append([]uint64{0}, s.RemovedAt...) // the snapshot has no revisions
	}
	s.byAddress = make(map[string]string, len(s.Endpoints))
	for id, e := range s.Endpoints {
		s.byAddress[e.Address] = id
	}
	s.removedIDs = make(map[string]struct{}, len(s.Removed))
	for _, id := range s.Removed {
		s.removedIDs[id] = struct{}{}
	}
	s.indexInstances()
	s.sortChanges()
}

// IsRemoved reports whether an endpoint reported its termination or was replaced by another at
// its address.
func (s *State) IsRemoved(id string) bool {
	s.ensureIndex()
	_, removed := s.removedIDs[id]
	return removed
}

// Accepts reports whether a heartbeat is newer than the last one of its endpoint, and the
// endpoint isn't removed for good.
func (s *State) Accepts(e Endpoint) bool {
	if s.IsRemoved(e.ID) {
		last, replaced := s.Replaced[e.ID]
		return replaced && e.Sequence > last
	}
	known, ok := s.Endpoints[e.ID]
	return !ok || e.Sequence > known.Sequence
}

// AddressConflict returns the ID of the endpoint that holds the address of a replaced endpoint
// that sends heartbeats again; empty if there is none. Only one of the two is alive: the
// caller, which receives the heartbeats of both, decides whether to apply this one.
func (s *State) AddressConflict(e Endpoint) string {
	s.ensureIndex()
	if _, replaced := s.Replaced[e.ID]; !replaced {
		return ""
	}
	return s.byAddress[e.Address]
}

// WouldChange reports whether a heartbeat changes more than the sequence.
func (s *State) WouldChange(e Endpoint) bool {
	known, ok := s.Endpoints[e.ID]
	known.Sequence = e.Sequence
	return !ok || known != e
}

// Put applies a heartbeat with an instance ID at a log revision. It removes another endpoint at
// the same address, as an address belongs to one endpoint at a time, and an earlier instance of
// this one. It returns their IDs.
func (s *State) Put(e Endpoint, revision uint64) (removed []string) {
	if !s.Accepts(e) {
		return nil
	}
	if other, ok := s.byAddress[e.Address]; ok && other != e.ID {
		removed = append(removed, other)
		last := s.Endpoints[other].Sequence
		s.Remove(other, revision)
		if Name(other) != Name(e.ID) {
			s.Replaced[other] = last
		}
	}
	if before := s.lastInstances[Name(e.ID)].id; before != e.ID && s.isPresent(before) {
		removed = append(removed, before)
		s.Remove(before, revision)
	}
	s.reinstate(e.ID)
	if known, ok := s.Endpoints[e.ID]; ok {
		s.releaseAddress(known)
	}
	s.Endpoints[e.ID] = e
	s.byAddress[e.Address] = e.ID
	s.recordInstance(e.ID, e.Born)
	s.Changed[e.ID] = revision
	s.recordChange(change{revision: revision, id: e.ID})
	s.Revision = max(s.Revision, revision)
	return removed
}

// reinstate takes a replaced endpoint out of the removed ones.
func (s *State) reinstate(id string) {
	if _, replaced := s.Replaced[id]; !replaced {
		return
	}
	delete(s.Replaced, id)
	delete(s.removedIDs, id)
	if i := slices.Index(s.Removed, id); i >= 0 {
		s.Removed = slices.Delete(s.Removed, i, i+1)
		s.RemovedAt = slices.Delete(s.RemovedAt, i, i+1)
	}
}

// releaseAddress drops the index entry of an endpoint's address if it still holds it.
func (s *State) releaseAddress(e Endpoint) {
	if s.byAddress[e.Address] == e.ID {
		delete(s.byAddress, e.Address)
	}
}

// Remove removes an endpoint instance for good at a log revision.
func (s *State) Remove(id string, revision uint64) {
	s.ensureIndex()
	s.releaseAddress(s.Endpoints[id])
	born := max(s.Endpoints[id].Born, startTimeOf(id))
	delete(s.Endpoints, id)
	delete(s.Changed, id)
	delete(s.Replaced, id)
	if s.IsRemoved(id) {
		return
	}
	s.recordInstance(id, born)
	s.addRemoved(id, revision)
	if withStart := InstanceID(Name(id), born); withStart != id && !s.IsRemoved(withStart) {
		// The instance is registered under the bare name: reject later heartbeats with its
		// instance ID too.
		s.addRemoved(withStart, revision)
	}
	s.trimRemoved()
}

func (s *State) addRemoved(id string, revision uint64) {
	s.removedIDs[id] = struct{}{}
	s.Removed = append(s.Removed, id)
	s.RemovedAt = append(s.RemovedAt, revision)
	s.recordInstance(id, 0)
	s.recordChange(change{revision: revision, id: id, isRemoval: true})
	s.Revision = max(s.Revision, revision)
}

// trimRemoved drops the oldest removals beyond maxRemoved.
func (s *State) trimRemoved() {
	over := len(s.Removed) - maxRemoved
	if over <= 0 {
		return
	}
	for _, id := range s.Removed[:over] {
		delete(s.removedIDs, id)
		delete(s.Replaced, id)
		if name := Name(id); s.lastInstances[name].id == id {
			delete(s.lastInstances, name)
		}
	}
	s.CompactedRevision = s.RemovedAt[over-1]
	s.Removed = slices.Delete(s.Removed, 0, over)
	s.RemovedAt = slices.Delete(s.RemovedAt, 0, over)
}

// List returns all endpoints, sorted by ID.
func (s *State) List() []Endpoint { return s.changedAfter(0) }

// CanResumeFrom reports whether all changes after a revision are still known.
func (s *State) CanResumeFrom(revision uint64) bool {
	return revision != 0 && revision >= s.CompactedRevision && revision <= s.Revision
}

// changedAfter returns the endpoints that changed after a revision, sorted by ID; all of them
// for revision 0.
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
