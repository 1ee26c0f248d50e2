// SPDX-License-Identifier: MIT

package sched

import (
	"cmp"
	"maps"
	"slices"

	"lynxramp.org/event"
)

// minTimeoutDivisor bounds how much of a request's queue timeout its own prefill may use
// up: at least timeout/minTimeoutDivisor is left for waiting.
const minTimeoutDivisor = 4

// refuseOverdue refuses requests whose expected wait exceeds their queue timeout, on
// arrival and again at each tick: under a burst of requests of higher rank, a request
// that was accepted would otherwise wait until its deadline, as 262 did in four replays of
// a burst of twice the usual load.
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
		var overdue []*ticket
		for _, k := range s.queue.byID {
			if s.willTimeOut(now, k) {
				overdue = append(overdue, k)
			}
		}
		sortByArrival(overdue)
		for _, k := range overdue {
			s.refuse(now, k, event.ReasonShed, out)
		}
	}
}

func sortByArrival(list []*ticket) {
	slices.SortFunc(list, func(a, b *ticket) int { return cmp.Compare(a.seq, b.seq) })
}

// waitingByArrival returns the waiting tickets in the order of arrival.
func (s *State) waitingByArrival() []*ticket {
	list := slices.Collect(maps.Values(s.queue.byID))
	sortByArrival(list)
	return list
}

// demoteLate lowers the precedence of requests that can't meet their target any more,
// even at the fastest endpoint.
func (s *State) demoteLate(now event.Time) {
	if !s.pool.Discovered || s.pool.LeastOutstanding || s.maxSpeed == 0 {
		return
	}
	var late []*ticket
	maxRate := s.profile().PrefillRate * s.maxSpeed
	for _, k := range s.queue.byID {
		prefill := float64(k.PromptTokens) / maxRate
		if k.precedence == precedenceOnTime && k.Target > 0 && (k.Target-now.Sub(k.arrived)).Seconds() < prefill {
			late = append(late, k)
		}
	}
	sortByArrival(late) // the order in which they are queued again must not depend on the order of a map
	for _, k := range late {
		s.queue.remove(k)
		k.precedence = precedenceLate
		s.queue.add(k)
	}
}

// willTimeOut reports whether a request's expected wait exceeds its queue timeout.
func (s *State) willTimeOut(now event.Time, k *ticket) bool {
	if k.Patience == 0 || s.pool.LeastOutstanding {
		return false
	}
	waited := now.Sub(k.arrived) + k.Waited
	timeout := k.Patience
	if k.Target > 0 && k.OutputTokens > 0 {
		// Prefill of its own prompt has to fit in the timeout, too.
		prefill := event.Duration(float64(k.PromptTokens) / s.profile().PrefillRate * float64(event.Second))
		timeout = max(timeout-prefill, timeout/minTimeoutDivisor)
	}
	return waited+s.expectedWait(now, k) > timeout
}

// expectedWait returns how long the work queued before a ticket takes: the expected run
// time of those requests, divided by the capacity. Capacity left by higher ranks is
// estimated as the share of work that was recently granted to this rank and below.
func (s *State) expectedWait(now event.Time, k *ticket) event.Duration {
	if s.capacityUnits == 0 {
		return 0
	}
	above, own := 0.0, 0.0
	availableRate, totalRate := 0.0, 0.0
	for _, t := range s.queue.tiers {
		rate := t.grantedWork.perSecond(now)
		totalRate += rate
		switch {
		case t.before(k.Rank, k.precedence):
			above += t.work
			continue
		case t.rank == k.Rank && t.precedence == k.precedence:
			own = t.workAhead(k)
		}
		availableRate += rate
	}
	capacity := float64(s.capacityUnits) / unitsPerRequest
	available := capacity
	if totalRate > 0 {
		available = capacity * max(availableRate/totalRate, minCapacityShare)
	}
	return event.Duration((above/capacity + own/available) * float64(event.Second))
}

// minCapacityShare is the least share of the capacity assumed to be left for a rank.
const minCapacityShare = 0.02

// estimateRunTime returns how long a request is expected to run, in seconds: the recent
// mean of its class, or its estimated work while there are too few samples.
func (s *State) estimateRunTime(k *ticket) float64 {
	if k.class.runTime.samples < runTimeSamples {
		return s.profileWork(k)
	}
	return k.class.runTime.mean
}

// runTimeWeight is the weight of a new sample in the mean run time. runTimeSamples is how
// many samples are needed, because the shortest requests finish first.
const (
	runTimeWeight  = 0.02
	runTimeSamples = 50
)

// meanRunTime is the moving average of run times, in seconds. The zero value is ready to
// use.
type meanRunTime struct {
	mean    float64
	samples int
}

func (m *meanRunTime) observe(ran event.Duration) {
	m.samples++
	m.mean += max(runTimeWeight, 1/float64(m.samples)) * (ran.Seconds() - m.mean)
}

// observeTimes updates the estimates of speeds and run times from a finished request. One that its entry delayed tells
// nothing about them.
func (s *State) observeTimes(now event.Time, g *grant, e *event.Finished) {
	s.observeRejection(now, g, e)
	if e.Void || e.Delayed {
		return
	}
	s.observeSpeed(now, g, e)
	s.observeTransit(now, g, e)
	class := s.classes.forRank(g.originalRank)
	class.runTime.observe(now.Sub(g.at))
	s.runTime.observe(now.Sub(g.at))
	if s.pool.ExpectedWork {
		class.workRatio.observe(now.Sub(g.at).Seconds(), g.expectedWork)
	}
}

// rateWindow is the averaging window of throughputs.
const rateWindow = 5 * event.Second

// throughput is a windowed average of an amount per second. The zero value is
// ready to use.
type throughput struct {
	last event.Time
	rate float64 // per second
}

func (t *throughput) add(now event.Time, amount float64) {
	gap := now.Sub(t.last).Seconds()
	t.last = now
	keep := max(0, 1-gap/rateWindow.Seconds())
	t.rate = t.rate*keep + amount/rateWindow.Seconds()
}

func (t *throughput) perSecond(now event.Time) float64 {
	return t.rate * max(0, 1-now.Sub(t.last).Seconds()/rateWindow.Seconds())
}
