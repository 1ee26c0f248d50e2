// SPDX-License-Identifier: MIT

package rollout

import (
	"lynxramp.org/event"
)

const (
	// minShiftTime and shiftFraction give the time that is left for the shifting phase: the
	// larger of minShiftTime and that fraction of the duration, but at most half of it.
	minShiftTime  = 2500 * event.Millisecond
	shiftFraction = 0.25
	// completionMargin is how long before the deadline an order is completed at the latest,
	// and rolled back if it is not proved. It is for the commit.
	completionMargin = 500 * event.Millisecond
	// recordInterval is the shortest time between records of an order in one phase.
	recordInterval = 200 * event.Millisecond
	// elapsedInterval is the longest time between records of an order: a restart of all
	// boxes forgets at most that much of its elapsed time.
	elapsedInterval = event.Second
	// minShiftingPart is the least part of the shifting time that passes before an order is
	// completed: some versions are bad only under the whole load.
	minShiftingPart = 0.5
	// retryInterval is the time after which a record that is not committed is proposed again.
	retryInterval = event.Second
	// minCapacity is the least capacity of the new version, relative to the other versions in use.
	minCapacity = 0.5
)

// Reason is why an order changes its phase.
type Reason uint8

// Reasons for a change of phase.
const (
	// ReasonNone: the phase does not change.
	ReasonNone Reason = iota
	// ReasonGood: the responses are as good as those of the other versions.
	ReasonGood
	// ReasonFails: more responses fail.
	ReasonFails
	// ReasonSlow: responses are slower.
	ReasonSlow
	// ReasonDrained: no request runs on any other version.
	ReasonDrained
	// ReasonDeadline: the deadline is near, and the version is proved.
	ReasonDeadline
	// ReasonUnproved: there was not enough evidence until the deadline.
	ReasonUnproved
	// ReasonCapacity: the version has too few endpoints.
	ReasonCapacity
	// ReasonRemoved: the service was removed.
	ReasonRemoved
)

var reasonNames = [...]string{"none", "good", "fails", "slow", "drained", "deadline", "unproved", "capacity", "service_removed"}

// String returns the reason as written in the log and in metrics.
func (r Reason) String() string { return reasonNames[r] }

// progress is the owner's state of an order in progress.
type progress struct {
	limits Limits
	// phase, ceiling and elapsed time are those of the last committed record.
	phase           Phase
	ceiling         int
	recordedElapsed event.Duration
	// spent is what may have been granted to the version by all owners, granted what this
	// owner granted, and requests a lower bound of what was granted to the service.
	spent, granted, requests int
	// proposedCeiling is the highest ceiling that this owner knows of.
	proposedCeiling int
	// isBad is set by a verdict, before it is committed.
	isBad  bool
	reason Reason
	// isInherited is set if an earlier owner began the order. Its evidence is lost.
	isInherited bool
	// proposed is the last proposed record, until it is committed.
	proposed   *Record
	proposedAt event.Time

	evidence evidence
}

// newProgress returns the state of an order of an earlier owner, which spent all it could.
func newProgress(limits Limits, o *order) *progress {
	r := o.record
	return &progress{
		limits: limits, phase: r.Phase, ceiling: r.Ceiling, recordedElapsed: r.Elapsed, spent: r.Ceiling, requests: r.Requests,
		proposedCeiling: r.Ceiling, isInherited: true, evidence: newEvidence(),
	}
}

// committed updates the state from a committed record.
func (p *progress) committed(r Record) {
	if r.Ceiling > p.proposedCeiling {
		// An earlier owner proposed it, and may have spent it.
		p.spent, p.proposedCeiling = r.Ceiling+p.granted, r.Ceiling
	}
	p.phase, p.ceiling, p.recordedElapsed = r.Phase, r.Ceiling, r.Elapsed
	p.requests = max(p.requests, r.Requests)
	p.proposed = nil
}

// condemn makes the version unusable at once.
func (p *progress) condemn(reason Reason) {
	if !p.isBad {
		p.isBad, p.reason = true, reason
	}
}

// shiftTime returns how long before the deadline the canary phase ends.
func (o Order) shiftTime() event.Duration {
	shift := max(minShiftTime, event.Duration(shiftFraction*float64(o.Duration)))
	return min(shift, o.Duration/2)
}

// canaryTime returns the duration of the canary phase.
func (o Order) canaryTime() event.Duration { return max(0, o.Duration-o.shiftTime()) }

// earliestCompletion returns the elapsed time from which an order may be completed.
func (o Order) earliestCompletion() event.Duration {
	return o.canaryTime() + event.Duration(minShiftingPart*float64(o.shiftTime()))
}

// tick advances an order, and returns the record to propose, if any.
func (s *service) tick(now event.Time, o *order) (Record, bool) {
	p := o.progress
	elapsed := o.elapsed(now)
	phase := s.nextPhase(now, o)
	r := p.makeRecord(o, phase, elapsed)
	if !p.isDue(now, r) {
		return Record{}, false
	}
	p.proposed, p.proposedAt = &r, now
	p.proposedCeiling = max(p.proposedCeiling, r.Ceiling)
	return r, true
}

// makeRecord returns the record of the present state.
func (p *progress) makeRecord(o *order, phase Phase, elapsed event.Duration) Record {
	r := o.record
	r.Phase, r.Elapsed, r.Requests = phase, elapsed, p.requests
	if phase == PhaseCanary {
		r.Ceiling = max(p.ceiling, p.limits.ceiling(p.requests, o.record.canaryTime(), elapsed))
	}
	return r
}

// isDue reports whether a record is to be proposed.
func (p *progress) isDue(now event.Time, r Record) bool {
	if p.proposed != nil && p.proposed.Phase == r.Phase {
		return now.Sub(p.proposedAt) >= retryInterval
	}
	if r.Phase != p.phase {
		return true
	}
	sinceRecord := r.Elapsed - p.recordedElapsed
	return r.Ceiling > p.ceiling && sinceRecord >= recordInterval || sinceRecord >= elapsedInterval
}

// nextPhase returns the phase that an order should have now.
func (s *service) nextPhase(now event.Time, o *order) Phase {
	p := o.progress
	p.judge(now)
	elapsed := o.elapsed(now)
	isLate := elapsed >= o.record.Duration-completionMargin
	switch {
	case p.isBad:
		return PhaseRolledBack
	case p.phase == PhaseCanary && elapsed < o.record.canaryTime():
		return PhaseCanary
	case p.phase == PhaseCanary:
		return s.afterCanary(o, isLate)
	case isLate && p.isDoubted():
		p.condemn(p.evidence.last.reason())
		return PhaseRolledBack
	case isLate:
		p.reason = ReasonDeadline
		return PhaseCompleted
	case elapsed >= o.record.earliestCompletion() && s.otherRunning(o.record.Version) == 0 && !p.isDoubted():
		p.reason = ReasonDrained
		return PhaseCompleted
	default:
		return p.phase
	}
}

// afterCanary returns the phase once the canary time is over.
func (s *service) afterCanary(o *order, isLate bool) Phase {
	p := o.progress
	obstacle := s.obstacle(o)
	switch {
	case obstacle == ReasonNone:
		p.reason = ReasonGood
		return PhaseShifting
	case isLate:
		p.condemn(obstacle)
		return PhaseRolledBack
	default:
		return PhaseCanary
	}
}

// obstacle returns why an order can't shift; ReasonNone if it can.
func (s *service) obstacle(o *order) Reason {
	version := o.record.Version
	slots := s.capacity[version]
	switch {
	case slots == 0 || float64(slots) < minCapacity*float64(s.otherCapacity(version)):
		return ReasonCapacity
	case !o.progress.isProved():
		return ReasonUnproved
	default:
		return ReasonNone
	}
}
