// SPDX-License-Identifier: MIT

package sched

import (
	"slices"
	"strings"

	"lynxramp.org/event"
)

// This file has what operators and the owner of a State see of it.

// Waiting returns the number of waiting requests.
func (s *State) Waiting() int { return s.queue.len() }

// Running returns the number of granted requests that have not ended.
func (s *State) Running() int { return len(s.grants) }

// EndpointStatus is the state of an endpoint as shown to operators.
type EndpointStatus struct {
	ID      event.EndpointID
	Running int
	// Available is set while the endpoint may be granted requests.
	Available bool
}

// Endpoints returns the status of all endpoints, sorted by ID.
func (s *State) Endpoints(now event.Time) []EndpointStatus {
	list := make([]EndpointStatus, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		list = append(list, EndpointStatus{ID: e.ID, Running: e.inflight, Available: e.isAvailable(now) && e.Concurrency > 0})
	}
	slices.SortFunc(list, func(a, b EndpointStatus) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// Waits reports whether a request is waiting in the queue.
func (s *State) Waits(id event.RequestID) bool {
	_, ok := s.queue.byID[id]
	return ok
}
