// SPDX-License-Identifier: MIT

package sched

import "lynxramp.org/event"

// maxSlowdownChanges bounds the changes kept until they are taken for the log.
const maxSlowdownChanges = 16

// SlowdownChange is a change in whether an endpoint is treated as slowed, with the figures that it was based on.
type SlowdownChange struct {
	Endpoint event.EndpointID
	Slowed   bool
	Reported float64        // the newest reported slowdown
	Age      event.Duration // of that report
	// Expected is the slowdown that decisions assume, Agreement how far the reports explain the measured run times,
	// from 0 to 1.
	Expected  float64
	Agreement float64
}

// SlowdownCounts are the totals of reports since the scheduler began.
type SlowdownCounts struct {
	Used    uint64
	Ignored uint64 // too old, out of order, or no usable number
}

// slowdownLog has the changes that were not taken yet, and the counts of reports.
type slowdownLog struct {
	changes    []SlowdownChange
	suppressed int
	counts     SlowdownCounts
}

// countSlowdown counts a report.
func (s *State) countSlowdown(isUsed bool) {
	if isUsed {
		s.slowdownLog.counts.Used++
		return
	}
	s.slowdownLog.counts.Ignored++
}

// updateSlowed sets whether an endpoint that reports slowdowns counts as slowed.
func (s *State) updateSlowed(now event.Time, v *view, wasSlowed bool) {
	d := &v.endpoint.slowdown
	v.isSlowed = d.isSlowed(now)
	if v.isSlowed {
		s.slowedEndpoints++
	}
	if v.isSlowed == wasSlowed {
		return
	}
	log := &s.slowdownLog
	if len(log.changes) == maxSlowdownChanges {
		log.suppressed++
		return
	}
	log.changes = append(log.changes, SlowdownChange{
		Endpoint: v.endpoint.ID, Slowed: v.isSlowed, Reported: d.reported(), Age: now.Sub(d.at), Expected: d.factor(now), Agreement: d.agreement.slope(),
	})
}

// TakeSlowdownChanges appends the changes since the last call to list, and returns it with the number of changes that
// were not kept.
func (s *State) TakeSlowdownChanges(list []SlowdownChange) ([]SlowdownChange, int) {
	log := &s.slowdownLog
	list = append(list, log.changes...)
	suppressed := log.suppressed
	log.changes, log.suppressed = log.changes[:0], 0
	return list, suppressed
}

// SlowedEndpoints returns the number of endpoints that are treated as slowed.
func (s *State) SlowedEndpoints() int { return s.slowedEndpoints }

// SlowdownCounts returns the totals of reports.
func (s *State) SlowdownCounts() SlowdownCounts { return s.slowdownLog.counts }

// HasSlowdownChanges reports whether TakeSlowdownChanges would return any.
func (s *State) HasSlowdownChanges() bool { return len(s.slowdownLog.changes) > 0 }
