// SPDX-License-Identifier: MIT

package rollout

import "lynxramp.org/event"

// Use is how a version may be used, and why.
type Use struct {
	Mode  event.EndpointMode
	Cause Cause
	// Number is that of the order that restricts the version; 0 for none.
	Number uint64
}

// Cause is why a version is restricted.
type Cause uint8

// Causes of a restriction.
const (
	// CauseNone: the version is not restricted.
	CauseNone Cause = iota
	// CauseUnproved: an order for the version is in progress.
	CauseUnproved
	// CauseRolledBack: the last order for the version was not completed.
	CauseRolledBack
	// CauseShifting: the service shifts to another version.
	CauseShifting
	// CauseStopping: the service was completed to another version, and the endpoints of this one are about to stop.
	CauseStopping
)

var causeNames = [...]string{"none", "unproved", "rolled_back", "shifting", "stopping"}

// String returns the cause as written in the log and in metrics.
func (c Cause) String() string { return causeNames[c] }

// Mode returns how the endpoints of a version may be used.
func (t *Tracker) Mode(name, version string) event.EndpointMode { return t.Use(name, version).Mode }

// Use returns how the endpoints of a version may be used, and why.
func (t *Tracker) Use(name, version string) Use {
	s, p := t.active(name)
	if s == nil {
		return Use{}
	}
	if p != nil && version == s.newest.record.Version {
		return p.useOfTarget(s.newest.record.Number)
	}
	if use := s.useOfOther(version); use.Mode != event.ModeNormal {
		return use
	}
	if p != nil && !p.isBad && p.phase == PhaseShifting {
		return Use{event.ModeBlocked, CauseShifting, s.newest.record.Number}
	}
	return Use{}
}

// useOfTarget returns the use of the version that the order is for.
func (p *progress) useOfTarget(number uint64) Use {
	switch {
	case p.isBad:
		return Use{event.ModeBlocked, CauseRolledBack, number}
	case p.phase == PhaseCanary:
		return Use{event.ModeCanary, CauseUnproved, number}
	default:
		return Use{}
	}
}

// useOfOther returns the use of a version that no order in progress is for, as the orders that ended left it: those
// that were rolled back get nothing until they are ordered again, and the endpoints of the versions before a completed
// one are about to stop. Later ones replace the completed version without an order. Endpoints that report no
// version are never taken for stopping: they may be of any.
func (s *service) useOfOther(version string) Use {
	if number, ok := s.rollBackOf(version); ok {
		return Use{event.ModeBlocked, CauseRolledBack, number}
	}
	if s.Completed != nil && !s.hasCompleted(version) && version != "" && !s.oldStopped && s.capacity[s.Completed.Version] > 0 {
		return Use{event.ModeBlocked, CauseStopping, s.Completed.Number}
	}
	return Use{}
}

// isInUse reports whether a version may serve beside the target of the newest order, and is what that one is compared
// with.
func (s *service) isInUse(version string) bool {
	return s.useOfOther(version).Mode == event.ModeNormal
}

// otherCapacity returns the capacity of all versions in use but one.
func (s *service) otherCapacity(version string) int {
	sum := 0
	for v, slots := range s.capacity {
		if v != version && s.isInUse(v) {
			sum += slots
		}
	}
	return sum
}

// Established returns the version of a service that is proved: the one that its newest order shifts to, or else that of
// the last completed order; empty if there is none.
func (t *Tracker) Established(name string) string {
	s, p := t.active(name)
	switch {
	case s == nil:
		return ""
	case p != nil && p.phase == PhaseShifting && !p.isBad:
		return s.newest.record.Version
	case s.Completed != nil:
		return s.Completed.Version
	default:
		return ""
	}
}

// IsUnproved reports whether the last order for a version is in progress, or was not completed.
func (t *Tracker) IsUnproved(name, version string) bool {
	s, p := t.active(name)
	if s == nil {
		return false
	}
	_, wasRolledBack := s.rollBackOf(version)
	return wasRolledBack || p != nil && version == s.newest.record.Version
}
