// SPDX-License-Identifier: MIT

package sched

import (
	"math"

	"lynxramp.org/event"
)

// spreadWeight is how much longer, as a fraction of its latency, a request is assumed to take at an endpoint whose slots
// are all taken than at an idle one, in a pool whose endpoints report their slowdown. It spreads requests over endpoints of similar
// speed, so that each of them reports.
const spreadWeight = 0.4

// retrialAdvantage is how much faster than the fastest endpoint one is assumed to be that is due for a retrial, so that it
// is chosen in spite of small differences.
const retrialAdvantage = 1.1

// slowdownSpan is the beginning of the time over which the slowdown of an endpoint is averaged for a request. The zero
// value means that the endpoint had reported none.
type slowdownSpan struct {
	isSet bool
	from  event.Time
	sum   float64 // integral of the slowdown at that time
}

// applySlowdown applies the slowdown in the response to a grant; 0 if the response had none. A response counts once: the
// end of a stream adds nothing to its beginning.
func (s *State) applySlowdown(now event.Time, g *grant, reported float64, age event.Duration, hasResponse bool) {
	d := &g.endpoint.slowdown
	if reported != 0 && s.pool.ExpectedWorkIfSlowed && !s.pool.ExpectedWork {
		s.orderAllByWork(now)
	}
	if reported != 0 {
		s.countSlowdown(d.report(now, reported, age))
	} else if !g.hasResponded {
		d.endedWithoutReport(hasResponse)
	}
	g.hasResponded = true
}

// startSlowdown starts the time over which the slowdown of the grant's endpoint is averaged.
func (g *grant) startSlowdown(now event.Time) {
	if d := &g.endpoint.slowdown; d.isReported {
		g.slowdown = slowdownSpan{isSet: true, from: now, sum: d.integral(now)}
	}
}

// meanSlowdown returns the logarithm of the endpoint's mean slowdown during the run of the grant, by its reports.
func (g *grant) meanSlowdown(now event.Time) float64 {
	d := &g.endpoint.slowdown
	if !g.slowdown.isSet || now <= g.slowdown.from {
		return d.last
	}
	return (d.integral(now) - g.slowdown.sum) / now.Sub(g.slowdown.from).Seconds()
}

// observeSlowness adds a sample of the measured slowness of the grant's endpoint. What the endpoint reported for the
// time of the run is taken out of it, as far as its reports agree with its measurements.
func (g *grant) observeSlowness(now event.Time, sample float64) {
	e := g.endpoint
	d := &e.slowdown
	if !d.isReported || sample <= 0 {
		e.observeSlowness(now, sample)
		return
	}
	reported := g.meanSlowdown(now)
	d.agreement.observe(reported, math.Log(sample))
	e.observeSlowness(now, sample/math.Exp(d.agreement.slope()*reported))
}

// placementSpeed returns the speed by which requests are placed on an endpoint. In a pool whose endpoints report their
// slowdown, one that was never measured counts as fast as the fastest, because the speed of a plain service is not known
// beforehand, and one that is due for a retrial gets one request at a time as if it were the fastest.
func (s *State) placementSpeed(now event.Time, e *endpoint) float64 {
	speed := e.presentSpeed(now)
	switch {
	case !s.hasSlowdownReports():
		return speed
	case e.isDueForRetrial(now):
		return max(speed, s.maxSpeed*retrialAdvantage)
	case e.slowness == 0:
		return max(speed, s.maxSpeed)
	default:
		return speed
	}
}

// hasSlowdownReports reports whether any endpoint of the pool has reported its slowdown.
func (s *State) hasSlowdownReports() bool { return s.slowdownLog.counts.Used > 0 }

// isDueForRetrial reports whether an endpoint runs nothing and is judged by old figures: it was slowed by its newest
// report, or has not been measured for remeasureAfter.
func (e *endpoint) isDueForRetrial(now event.Time) bool {
	d := &e.slowdown
	switch {
	case e.inflight > 0:
		return false
	case e.slowness == 0, now.Sub(e.slownessAt) > remeasureAfter:
		return true
	default:
		return d.isReported && d.last > d.usual && now.Sub(d.at) > retrialAfter
	}
}
