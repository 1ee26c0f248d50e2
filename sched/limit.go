// SPDX-License-Identifier: MIT

package sched

import (
	"lynxramp.org/backpressure"
	"lynxramp.org/event"
)

// This file implements the rate limits that endpoints request, in requests per second, in addition to their
// concurrency. Requests beyond a limit wait or go to other endpoints. In the expected wait, a rate-limited
// endpoint counts with the concurrency that its rate sustains.

// rateLimit is the rate limit of one endpoint. The zero value is no limit.
type rateLimit struct {
	isSet bool
	// everSet says that a limit was set at some time since the endpoint was added. All grants from then on are
	// marked as paced.
	everSet bool
	rate    float64 // requests per second, from all boxes
	pacer   backpressure.Pacer
}

// setLimit applies the limit that an endpoint requests; this pool may spend its share of it.
func (s *State) setLimit(now event.Time, e *endpoint, seen *event.EndpointUpdated) {
	l := &e.rateLimit
	if seen.Limited && !l.isSet {
		l.pacer = backpressure.Pacer{} // start without tokens: other boxes may have spent them
	}
	l.isSet, l.rate = seen.Limited, seen.Limit
	if l.isSet {
		l.everSet = true
		l.pacer.SetRate(now, l.rate, s.limitShare)
	}
}

// SetLimitShare sets the share of the endpoints' rate limits that this pool may spend.
func (s *State) SetLimitShare(now event.Time, limitShare float64) {
	if limitShare == s.limitShare {
		return
	}
	s.limitShare = limitShare
	for _, e := range s.endpoints {
		if e.rateLimit.isSet {
			e.rateLimit.pacer.SetRate(now, e.rateLimit.rate, limitShare)
			s.refreshView(now, e)
		}
	}
}

// take spends the permission for one request of the limit.
func (l *rateLimit) take(now event.Time) {
	if l.isSet {
		l.pacer.Take(now)
	}
}

// refundRateLimit returns what an unused grant spent of its endpoint's limit.
func (g *grant) refundRateLimit() {
	if l := &g.endpoint.rateLimit; l.isSet && g.paced {
		l.pacer.Refund()
	}
}

// GrantedAt returns when a running request was granted; 0 if it does not run or was adopted.
func (s *State) GrantedAt(id event.RequestID) event.Time {
	if g, ok := s.grants[id]; ok && !g.adopted {
		return g.at
	}
	return 0
}

// unitsPerRequest is the number of capacity units per concurrent request: capacities are summed in these units.
const unitsPerRequest = 1000

// defaultRunTime is the run time assumed until enough requests have finished, in seconds.
const defaultRunTime = 1.0

// maxLimitedCapacity bounds the capacity computed from a rate limit, which may be any number.
const maxLimitedCapacity = 1e5

// limitedCapacity returns the concurrency that a rate limit sustains, in capacity units. During
// SettleTime it counts the whole limit: the pool's share grows as entries connect to their owner.
func (s *State) limitedCapacity(now event.Time, l *rateLimit) int {
	runSeconds := defaultRunTime
	if s.runTime.samples >= runTimeSamples {
		runSeconds = s.runTime.mean
	}
	rate := l.pacer.Rate()
	if now.Sub(s.started) < SettleTime {
		rate = max(rate, min(l.rate, maxLimitedCapacity))
	}
	return max(1, int(min(rate*runSeconds, maxLimitedCapacity)*unitsPerRequest))
}

// rateLimitCost is the extra cost, in seconds, of a rate-limited endpoint for a request of no work. It falls
// linearly with the work to the negative of this value at twice the mean. A rate limit counts requests of any
// size, so long requests make the best use of it: with 7 of 18 endpoints limited to 2.5 requests a second the value
// of a replayed load went from 0.961 to 0.980.
const rateLimitCost = 0.6

// rateLimitCostOf returns the extra cost of a rate-limited endpoint for a request with that much work.
func (s *State) rateLimitCostOf(work float64) float64 {
	if s.meanWork == 0 {
		return 0
	}
	return rateLimitCost * max(-1, 1-work/s.meanWork)
}
