// SPDX-License-Identifier: MIT

package sched

import (
	"cmp"
	"maps"
	"slices"

	"lynxramp.org/event"
)

// minTimeoutDivisor is the part of its patience, as a divisor, that the reading of a long prompt
// leaves a request at the least.
const minTimeoutDivisor = 4

// refuseOverdue refuses what would wait longer than it may, by the work that waits before it and
// the places that serve, at its arrival and as long as it waits. The load that it answers is
// a burst in which more urgent requests keep coming: who was promised a place at its arrival
// has none, and would be held to its deadline without a word: 262 callers in four replays of a
// burst of twice the usual, none with it.
func (s *State) refuseOverdue(now event.Time, e event.Event, out *event.Effects) {
	switch e := e.(type) {
	case *event.Submitted:
		k, ok := s.queue.byID[e.Ticket.ID]
		if !ok || s.cooldownEndpoints > 0 && s.refuseInCooldown(now, k, out) {
			return
		}
		if s.willTimeOut(now, k) {
			s.refuse(now, k, event.ReasonShed, out)
		}
	case *event.Tick:
		s.demoteLate(now)
		s.refuseAllInCooldown(now, out)
		var late []*ticket
		for _, k := range s.queue.byID {
			if s.willTimeOut(now, k) {
				late = append(late, k)
			}
		}
		sortByArrival(late)
		for _, k := range late {
			s.refuse(now, k, event.ReasonShed, out)
		}
	}
}

func sortByArrival(list []*ticket) {
	slices.SortFunc(list, func(a, b *ticket) int { return cmp.Compare(a.seq, b.seq) })
}

// waitingByArrival returns what waits, in the order of arrival.
func (s *State) waitingByArrival() []*ticket {
	list := slices.Collect(maps.Values(s.queue.byID))
	sortByArrival(list)
	return list
}

// demoteLate puts requests behind the others of their rank that can't be in time any
// more, even at the fastest endpoint.
func (s *State) demoteLate(now event.Time) {
	if !s.pool.Discovered || s.pool.LeastOutstanding || s.maxSpeed == 0 {
		return
	}
	var late []*ticket
	fastest := s.profile().PrefillRate * s.maxSpeed
	for _, k := range s.queue.byID {
		fill := float64(k.PromptTokens) / fastest
		if k.precedence == precedenceOnTime && k.Target > 0 && (k.Target-now.Sub(k.arrived)).Seconds() < fill {
			late = append(late, k)
		}
	}
	for _, k := range late {
		s.queue.remove(k)
		k.precedence = precedenceLate
		s.queue.add(k)
	}
}

// willTimeOut reports whether a request is to be refused for its wait.
func (s *State) willTimeOut(now event.Time, k *ticket) bool {
	if k.Patience == 0 || s.pool.LeastOutstanding {
		return false
	}
	waited := now.Sub(k.arrived) + k.Waited
	patience := k.Patience
	if k.Target > 0 && k.OutputTokens > 0 {
		// Its own prompt has to be read in the time, too.
		fill := event.Span(float64(k.PromptTokens) / s.profile().PrefillRate * float64(event.Second))
		patience = max(patience-fill, patience/minTimeoutDivisor)
	}
	return waited+s.expectedWait(now, k) > patience
}

// expectedWait returns how long the queue before a waiting ticket takes to drain: the time
// that its requests will hold places, over the places. What ranks above it leave over is what
// its own rank and those below got lately.
func (s *State) expectedWait(now event.Time, k *ticket) event.Span {
	if s.capacity == 0 {
		return 0
	}
	above, beside := 0.0, 0.0
	lower, all := 0.0, 0.0
	for _, t := range s.queue.tiers {
		drained := t.grantedWork.perSecond(now)
		all += drained
		switch {
		case t.before(k.Rank, k.precedence):
			above += t.work
			continue
		case t.rank == k.Rank && t.precedence == k.precedence:
			beside = t.workAhead(k)
		}
		lower += drained
	}
	places := float64(s.capacity) / capacityScale
	left := places
	if all > 0 {
		left = places * max(lower/all, minCapacityShare)
	}
	return event.Span((above/places + beside/left) * float64(event.Second))
}

// minCapacityShare is the least part of the places that is taken as left for a rank.
const minCapacityShare = 0.02

// estimateRunTime returns how long a request will estimateRunTime its place, in seconds: as long as others
// of its class lately, or, until some have ended, its own work.
func (s *State) estimateRunTime(k *ticket) float64 {
	if k.class.runTime.samples < runTimeSamples {
		return s.profileWork(k)
	}
	return k.class.runTime.mean
}

// runTimeWeight is the weight of a request in the mean time that requests run, and
// runTimeSamples how many are needed: the first to end are the short ones.
const (
	runTimeWeight  = 0.02
	runTimeSamples = 50
)

// meanRunTime is the mean time that requests run, in seconds. The zero value is ready.
type meanRunTime struct {
	mean    float64
	samples int
}

func (h *meanRunTime) observe(ran event.Span) {
	h.samples++
	h.mean += max(runTimeWeight, 1/float64(h.samples)) * (ran.Seconds() - h.mean)
}
