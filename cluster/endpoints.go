// SPDX-License-Identifier: MIT

package cluster

import (
	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/registry"
)

// This file applies the heartbeats of endpoints, which carry their state, and their removals.

// instanceOf returns the reported endpoint with the id of its instance; false if the report is stale. Start
// times are ignored until all boxes of the group support them.
func (s *State) instanceOf(reported registry.Endpoint) (registry.Endpoint, bool) {
	return s.machine.registry.ResolveInstance(s.toGroupFormat(reported))
}

// toGroupFormat drops the fields of a reported endpoint that some boxes of the group don't support.
func (s *State) toGroupFormat(reported registry.Endpoint) registry.Endpoint {
	if s.machine.formatVersion < level.Instances {
		reported.Born = 0
	}
	if !s.supportsRollouts() && s.machine.formatVersion < level.Versions {
		reported.Version = ""
	}
	return reported
}

// receiveHeartbeat applies the state that an endpoint reports.
func (s *State) receiveHeartbeat(now event.Time, t *HeartbeatReceived, out *Effects) {
	e, valid := s.instanceOf(t.Endpoint)
	isNoop := !valid || !s.machine.registry.Accepts(e) || !s.machine.registry.WouldChange(e) ||
		(s.owner != nil && s.owner.isAddressTaken(now, e, s))
	switch {
	case isNoop && s.hadLeaderRecently(now):
		// It changes nothing: the leader only has to know that the endpoint is alive.
		if valid {
			s.pendingHeartbeats[e.ID] = true
		}
		out.Answers = append(out.Answers, Answer{CallID: t.CallID, Status: StatusDone, HeartbeatAddress: s.ownAddress()})
	case !isNoop && s.hasUnknownService(e):
		out.Answers = append(out.Answers, Answer{CallID: t.CallID, Status: StatusUnknownService})
	default:
		s.propose(now, t.CallID, encodeEndpoint(s.toGroupFormat(t.Endpoint)), isNoop, out)
	}
}

// hasUnknownService reports whether an endpoint's service is not in the owner's configuration and is not
// the one it was registered with.
func (s *State) hasUnknownService(e registry.Endpoint) bool {
	if s.owner == nil || s.config.table == nil || s.config.table.Service(e.Service) != nil {
		return false
	}
	return s.machine.registry.Endpoints[e.ID].Service != e.Service
}

// removeEndpoint removes an endpoint that reported its termination.
func (s *State) removeEndpoint(now event.Time, e *EndpointRemoved, out *Effects) {
	removed := s.toGroupFormat(registry.Endpoint{ID: e.Name, Born: e.Born})
	isNoop := s.machine.registry.IsRemoved(s.machine.registry.ResolveTermination(removed.ID, removed.Born))
	s.propose(now, e.CallID, encodeRemove(registry.InstanceID(removed.ID, removed.Born)), isNoop, out)
}

// ownAddress returns the operator address of this box; empty if it is not a member.
func (s *State) ownAddress() string {
	for _, m := range s.allMembers() {
		if m.ID == s.node.ID() {
			return m.Address
		}
	}
	return ""
}
