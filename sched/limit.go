// SPDX-License-Identifier: MIT

package sched

import (
	"lynxramp.org/backpressure"
	"lynxramp.org/event"
)

// This file is how a pool spends the limits that endpoints name: requests a second, beside the places that bound
// how many run at once. The load that it answers is an endpoint in need: what it can't take waits here or goes
// to others, and the forecast counts the endpoint as the places that its limit keeps busy.

// rateLimit is what an endpoint takes of requests. The zero rateLimit is none.
type rateLimit struct {
	isSet bool
	// everSet says that a limit was in force since the endpoint is known: what was decided since then, was
	// decided by one who knows of it.
	everSet bool
	rate   float64 // a second, from all boxes
	pacer  backpressure.Pacer
}

// setLimit takes the limit that an endpoint names, of which this pool spends its part.
func (s *State) setLimit(now event.Time, e *endpoint, seen *event.EndpointSeen) {
	l := &e.rateLimit
	if seen.Limited && !l.isSet {
		l.pacer = backpressure.Pacer{} // what is not known to be unspent is taken for spent
	}
	l.isSet, l.rate = seen.Limited, seen.Limit
	if l.isSet {
		l.everSet = true
		l.pacer.Set(now, l.rate, s.limitShare)
	}
}

// SetPart takes which part of endpoints' limits the pool spends.
func (s *State) SetPart(now event.Time, part float64) {
	if part == s.limitShare {
		return
	}
	s.limitShare = part
	for _, e := range s.endpoints {
		if e.rateLimit.isSet {
			e.rateLimit.pacer.Set(now, e.rateLimit.rate, part)
			s.refreshView(now, e)
		}
	}
}

// take spends a request of an endpoint's limit.
func (l *rateLimit) take(now event.Time) {
	if l.isSet {
		l.pacer.Take(now)
	}
}

// refundRateLimit takes back what a grant spent that was not used.
func (g *grant) refundRateLimit() {
	if l := &g.endpoint.rateLimit; l.isSet && g.paced {
		l.pacer.GiveBack()
	}
}

// GrantedAt returns when a request was granted that runs; 0 if another granted it, or it does not run.
func (s *State) GrantedAt(id event.RequestID) event.Time {
	if g, ok := s.grants[id]; ok && !g.adopted {
		return g.at
	}
	return 0
}

// capacityScale is in how many parts the places of a pool are counted.
const capacityScale = 1000

// defaultRunTime is how long a request is taken to hold its place until some have ended, in seconds.
const defaultRunTime = 1.0

// maxLimitedCapacity is far above what an endpoint has: a limit may be any number.
const maxLimitedCapacity = 1e5

// limitedCapacity returns how many places, in thousandths, a limit keeps busy. A pool that has just begun counts the
// whole limit: its part grows as entries find their owner.
func (s *State) limitedCapacity(now event.Time, l *rateLimit) int {
	hold := defaultRunTime
	if s.runTime.samples >= runTimeSamples {
		hold = s.runTime.mean
	}
	rate := l.pacer.Rate()
	if now.Sub(s.started) < SettleTime {
		rate = max(rate, min(l.rate, maxLimitedCapacity))
	}
	return max(1, int(min(rate*hold, maxLimitedCapacity)*capacityScale))
}

// rateLimitCost is what an endpoint that names a limit costs a request of no work more, in seconds of waiting; one of
// twice the mean work costs it as much less, which is the most. A limit counts requests, whatever they take, so that
// long ones use the endpoint best: of 18 endpoints of which 7 took 2.5 requests a second the worth of a replayed
// load (sched/load_test.go) went from 0.961 to 0.980, of 9 from 0.936 to 0.971; with 1.1 a second from 0.946 to 0.953 and
// from 0.921 to 0.915.
const rateLimitCost = 0.6

// rateLimitCostOf returns what an endpoint that names a limit costs a request of some work more.
func (s *State) rateLimitCostOf(work float64) float64 {
	if s.meanWork == 0 {
		return 0
	}
	return rateLimitCost * max(-1, 1-work/s.meanWork)
}
