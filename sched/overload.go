// SPDX-License-Identifier: MIT

package sched

import "lynxramp.org/event"

// This file decides which requests are refused where they are ordered by expected work.

// reviewWaiting demotes requests that are expected to miss their target and refuses those
// that are expected to miss their deadline, on arrival and at each tick.
func (s *State) reviewWaiting(now event.Time, e event.Event, out *event.Effects) {
	switch e := e.(type) {
	case *event.Submitted:
		k, ok := s.queue.byID[e.Ticket.ID]
		if !ok || s.cooldownEndpoints > 0 && s.refuseInCooldown(now, k, out) {
			return
		}
		s.review(now, k, out)
	case *event.Tick:
		s.refuseAllInCooldown(now, out)
		leaving := s.queue.renumber(func(k *ticket) bool { return s.mustLeave(now, k) })
		for _, k := range leaving {
			s.review(now, k, out)
		}
	}
}

// mustLeave reports whether a request is to be demoted or refused.
func (s *State) mustLeave(now event.Time, k *ticket) bool {
	switch {
	case k.Patience == 0 || s.pool.LeastOutstanding:
		return false
	case k.precedence == precedenceOnTime:
		return s.willTimeOut(now, k) || s.willMissDeadline(now, k)
	}
	return s.willMissDeadline(now, k) || s.waitsTooLong(now, k)
}

// review demotes or refuses a request. One that is demoted is refused at once if it would
// miss its deadline, too.
func (s *State) review(now event.Time, k *ticket, out *event.Effects) {
	if k.Patience == 0 || s.pool.LeastOutstanding {
		return
	}
	if k.precedence == precedenceOnTime && s.willTimeOut(now, k) {
		s.demote(k)
	}
	if s.willMissDeadline(now, k) || s.waitsTooLong(now, k) {
		s.refuse(now, k, event.ReasonShed, out)
	}
}

// demote moves a request behind those that can meet their target.
func (s *State) demote(k *ticket) {
	s.queue.remove(k)
	k.precedence = precedenceLate
	s.queue.add(k)
}

// A late request is kept while its expected wait is within lateTargets of its target, or within a quarter of its time.
// Longer waits mostly ended without a response, which costs a caller more than a refusal does.
const (
	lateTargets     = 2
	lateTimeDivisor = 4
)

// waitsTooLong reports whether a late request is expected to wait for longer than is of use.
func (s *State) waitsTooLong(now event.Time, k *ticket) bool {
	if k.precedence == precedenceOnTime {
		return false
	}
	limit := max(k.Patience, lateTargets*k.Target, (k.deadline.Sub(k.arrived)+k.Waited)/lateTimeDivisor)
	return now.Sub(k.arrived)+k.Waited+s.expectedWait(now, k) > limit
}

// willMissDeadline reports whether a request that waits its turn is expected to end after its
// deadline. The known error of its run time counts against a late request, which may end up
// taking a slot in vain, and in favour of one that is in time.
func (s *State) willMissDeadline(now event.Time, k *ticket) bool {
	run := k.runTime * k.class.workRatio.errorFactor()
	if k.precedence == precedenceOnTime {
		run = k.runTime / k.class.workRatio.errorFactor()
	}
	return now.Add(s.expectedWait(now, k)+event.Duration(run*float64(event.Second))) > k.deadline
}
