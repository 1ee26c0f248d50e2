// SPDX-License-Identifier: MIT

package cluster

import (
	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/registry"
)

// This file is what a control box does with the words of endpoints on themselves.

// instanceOf returns an endpoint's word with the id of the start that it is of; false if it counts for nothing.
// When an endpoint started counts once all boxes of the group read that.
func (s *State) instanceOf(told registry.Endpoint) (registry.Endpoint, bool) {
	return s.machine.registry.Start(s.toGroupFormat(told))
}

// toGroupFormat returns an endpoint's word as all boxes of the group read it.
func (s *State) toGroupFormat(told registry.Endpoint) registry.Endpoint {
	if s.machine.formatVersion < level.Starts {
		told.Born = 0
	}
	return told
}

// receiveHeartbeat takes an endpoint's word on itself.
func (s *State) receiveHeartbeat(now event.Time, t *HeartbeatReceived, out *Effects) {
	e, counts := s.instanceOf(t.Endpoint)
	known := !counts || !s.machine.registry.Accepts(e) || !s.machine.registry.Changes(e) ||
		(s.owner != nil && s.owner.isAddressTaken(now, e, s))
	switch {
	case known && s.sawLeaderRecently(now):
		// It has no news: the leader need only know that it lives.
		if counts {
			s.pendingHeartbeats[e.ID] = true
		}
		out.Answers = append(out.Answers, Answer{Call: t.Call, Status: StatusDone, Next: s.ownAddress()})
	case !known && s.hasUnknownService(e):
		out.Answers = append(out.Answers, Answer{Call: t.Call, Status: StatusUnknownService})
	default:
		s.propose(now, t.Call, encodeEndpoint(s.toGroupFormat(t.Endpoint)), known, out)
	}
}

// hasUnknownService reports whether an endpoint is of a service that is not in the configuration, as an owner
// knows, and was not of it when it came.
func (s *State) hasUnknownService(e registry.Endpoint) bool {
	if s.owner == nil || s.config.table == nil || s.config.table.Service(e.Service) != nil {
		return false
	}
	return s.machine.registry.Endpoints[e.ID].Service != e.Service
}

// removeEndpoint takes an endpoint's word that it ends.
func (s *State) removeEndpoint(now event.Time, e *EndpointRemoved, out *Effects) {
	told := s.toGroupFormat(registry.Endpoint{ID: e.Name, Born: e.Born})
	known := s.machine.registry.IsGone(s.machine.registry.Ending(told.ID, told.Born))
	s.propose(now, e.Call, encodeRemove(registry.StartID(told.ID, told.Born)), known, out)
}

// ownAddress returns the operators' ownAddress of this box; empty if it is no member.
func (s *State) ownAddress() string {
	for _, m := range s.allMembers() {
		if m.ID == s.node.ID() {
			return m.Address
		}
	}
	return ""
}
