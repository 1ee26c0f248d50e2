// SPDX-License-Identifier: MIT

package sched

import "lynxramp.org/event"

// Group is a set of requests that are alike. Endpoint is set for those that run,
// Reason for those that were refused.
type Group struct {
	Team     string
	Rank     int
	Endpoint event.EndpointID
	Reason   event.Reason
}

// WaitingGroups returns how many requests wait, by team and rank.
func (s *State) WaitingGroups() map[Group]int {
	groups := make(map[Group]int)
	for _, k := range s.queue.byID {
		groups[Group{Team: k.Team, Rank: k.Rank}]++
	}
	return groups
}

// RunningGroups returns how many requests run, by team, rank and endpoint. Of a
// request that runs since before this owner only the endpoint is known.
func (s *State) RunningGroups() map[Group]int {
	groups := make(map[Group]int)
	for _, g := range s.grants {
		groups[Group{Team: g.team, Rank: g.rank, Endpoint: g.endpoint.ID}]++
	}
	return groups
}

// RefusedGroups returns how many requests this owner refused, by team, rank and
// reason. The caller must not change it.
func (s *State) RefusedGroups() map[Group]int { return s.refused }
