// SPDX-License-Identifier: MIT

// Package registry knows the endpoints of a deployment by what they say of
// themselves. State is replicated: it holds what must outlive an owner (who is
// there, who is leaving, who is gone). That an endpoint is alive is soft state
// of the owner, not kept here.
package registry

import (
	"slices"
	"strings"
)

// maxGone bounds how many endpoints that are gone are remembered.
const maxGone = 4096

// Endpoint is one incarnation of a replica of a service.
type Endpoint struct {
	ID         string `json:"id"`
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
	// Gone has the ids of endpoints that said that they ended, oldest first.
	Gone []string `json:"gone"`
}

// Accepts reports whether a message is news: not of an endpoint that is gone
// and not older than what is known.
func (s *State) Accepts(e Endpoint) bool {
	if slices.Contains(s.Gone, e.ID) {
		return false
	}
	known, ok := s.Endpoints[e.ID]
	return !ok || e.Sequence > known.Sequence
}

// Changes reports whether a message changes more than the sequence.
func (s *State) Changes(e Endpoint) bool {
	known, ok := s.Endpoints[e.ID]
	known.Sequence = e.Sequence
	return !ok || known != e
}

// Put takes an endpoint's word on itself. Another endpoint at the same address
// is gone: an address has one incarnation at a time.
func (s *State) Put(e Endpoint) {
	if !s.Accepts(e) {
		return
	}
	if s.Endpoints == nil {
		s.Endpoints = make(map[string]Endpoint)
	}
	for id, other := range s.Endpoints {
		if id != e.ID && other.Address == e.Address {
			s.Remove(id)
		}
	}
	s.Endpoints[e.ID] = e
}

// Remove takes note that an endpoint is gone for good.
func (s *State) Remove(id string) {
	delete(s.Endpoints, id)
	if slices.Contains(s.Gone, id) {
		return
	}
	s.Gone = append(s.Gone, id)
	if len(s.Gone) > maxGone {
		s.Gone = slices.Delete(s.Gone, 0, len(s.Gone)-maxGone)
	}
}

// List returns the endpoints by id.
func (s *State) List() []Endpoint {
	list := make([]Endpoint, 0, len(s.Endpoints))
	for _, e := range s.Endpoints {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return list
}
