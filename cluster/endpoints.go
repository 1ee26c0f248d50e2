// SPDX-License-Identifier: MIT

package cluster

import (
	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/registry"
)

// This file is what a control box does with the words of endpoints on themselves.

// startOf returns an endpoint's word with the id of the start that it is of; false if it counts for nothing.
// When an endpoint started counts once all boxes of the group read that.
func (s *State) startOf(told registry.Endpoint) (registry.Endpoint, bool) {
	return s.machine.registry.Start(s.asRead(told))
}

// asRead returns an endpoint's word as all boxes of the group read it.
func (s *State) asRead(told registry.Endpoint) registry.Endpoint {
	if s.machine.level < level.Starts {
		told.Born = 0
	}
	return told
}

// hearEndpoint takes an endpoint's word on itself.
func (s *State) hearEndpoint(now event.Time, t *EndpointTold, out *Effects) {
	e, counts := s.startOf(t.Endpoint)
	known := !counts || !s.machine.registry.Accepts(e) || !s.machine.registry.Changes(e) ||
		(s.owner != nil && s.owner.hearsOther(now, e, s))
	switch {
	case known && s.heardLeaderLately(now):
		// It has no news: the leader need only know that it lives.
		if counts {
			s.heard[e.ID] = true
		}
		out.Answers = append(out.Answers, Answer{Token: t.Token, Status: StatusDone, Next: s.address()})
	case !known && s.isOfNoService(e):
		out.Answers = append(out.Answers, Answer{Token: t.Token, Status: StatusUnknownService})
	default:
		s.propose(now, t.Token, encodeEndpoint(s.asRead(t.Endpoint)), known, out)
	}
}

// isOfNoService reports whether an endpoint is of a service that is not in the configuration, as an owner
// knows, and was not of it when it came.
func (s *State) isOfNoService(e registry.Endpoint) bool {
	if s.owner == nil || s.config.table == nil || s.config.table.Service(e.Service) != nil {
		return false
	}
	return s.machine.registry.Endpoints[e.ID].Service != e.Service
}

// removeEndpoint takes an endpoint's word that it ends.
func (s *State) removeEndpoint(now event.Time, e *EndpointLeft, out *Effects) {
	told := s.asRead(registry.Endpoint{ID: e.Name, Born: e.Born})
	known := s.machine.registry.IsGone(s.machine.registry.Ending(told.ID, told.Born))
	s.propose(now, e.Token, encodeRemove(registry.StartID(told.ID, told.Born)), known, out)
}

// address returns the operators' address of this box; empty if it is no member.
func (s *State) address() string {
	for _, m := range s.allMembers() {
		if m.ID == s.node.ID() {
			return m.Address
		}
	}
	return ""
}
