// SPDX-License-Identifier: MIT

package sched

import "lynxramp.org/event"

// Group identifies a set of requests. Endpoint is set only for running requests
// and Reason only for refused ones.
type Group struct {
	Team     string
	Rank     int
	Endpoint event.EndpointID
	Reason   event.Reason
}

// WaitingGroups returns the number of waiting requests by team and rank.
func (s *State) WaitingGroups() map[Group]int {
	groups := make(map[Group]int)
	for _, k := range s.queue.byID {
		groups[Group{Team: k.Team, Rank: k.Rank}]++
	}
	return groups
}

// RunningGroups returns the number of running requests by team, rank and
// endpoint. For a request granted by an earlier owner only the endpoint may be
// known.
func (s *State) RunningGroups() map[Group]int {
	groups := make(map[Group]int)
	for _, g := range s.grants {
		groups[Group{Team: g.team, Rank: g.rank, Endpoint: g.endpoint.ID}]++
	}
	return groups
}

// RefusedGroups returns the number of requests this owner refused, by team,
// rank and reason. The caller must not modify the map.
func (s *State) RefusedGroups() map[Group]int { return s.refused }
