// SPDX-License-Identifier: MIT

package admission

import (
	"maps"
	"slices"

	"lynxramp.org/event"
	"lynxramp.org/sched"
)

// TakeSlowdownChanges returns the changes in which endpoints are treated as slowed since the last call, and the number
// of changes that were not kept.
func (s *State) TakeSlowdownChanges() (list []sched.SlowdownChange, suppressed int) {
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		pool := s.services[name].pool
		if !pool.HasSlowdownChanges() {
			continue
		}
		n := 0
		list, n = pool.TakeSlowdownChanges(list)
		suppressed += n
	}
	return list, suppressed
}

// SlowedEndpoints returns the number of endpoints that are treated as slowed.
func (s *State) SlowedEndpoints() int {
	n := 0
	for _, v := range s.services {
		n += v.pool.SlowedEndpoints()
	}
	return n
}

// SlowdownCounts returns the totals of the slowdown reports that endpoints sent.
func (s *State) SlowdownCounts() sched.SlowdownCounts {
	var sum sched.SlowdownCounts
	for _, v := range s.services {
		c := v.pool.SlowdownCounts()
		sum.Used += c.Used
		sum.Ignored += c.Ignored
	}
	return sum
}

// Ahead calls f for each service whose plain calls may be granted ahead, in the order of names.
func (s *State) Ahead(now event.Time, f func(service string, a sched.AheadStatus)) {
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		if a, ok := s.services[name].pool.Ahead(now); ok {
			f(name, a)
		}
	}
}
