// SPDX-License-Identifier: MIT

package sched

import (
	"math"

	"lynxramp.org/event"
)

// This file has the order of waiting requests by expected work (Pool.ExpectedWork).

// agingFactor is how many seconds of arrival time a second of expected run time counts: a
// request goes before any other that arrives agingFactor times the difference of their run
// times later, so that no request starves.
const agingFactor = 4.0

// orderByWork sets the expected run time of a request and its place within its team.
func (s *State) orderByWork(now event.Time, k *ticket) {
	k.runTime = s.ownRunTime(k)
	k.group = k.class.sizes.observe(k.runTime)
	k.orderTime = placeTime(now, k)
	if k.class.sizes.isUnderserved(now, k.group) {
		return
	}
	k.orderTime = k.orderTime.Add(event.Duration(agingFactor * k.runTime * float64(event.Second)))
}

// orderAllByWork turns the order by expected work on, for waiting requests too.
func (s *State) orderAllByWork(now event.Time) {
	waiting := s.waitingByArrival()
	for _, k := range waiting {
		s.queue.remove(k)
	}
	s.pool.ExpectedWork = true
	s.queue.byWork = true
	for _, k := range waiting {
		s.orderByWork(now, k)
		s.queue.add(k)
	}
}

// chargeOf returns what a granted request counts for its team: the share of the slots is by
// expected run time where the order is, and by tokens otherwise.
func (s *State) chargeOf(k *ticket, est estimate) float64 {
	if s.pool.ExpectedWork {
		return k.runTime
	}
	return float64(k.PromptTokens - est.cached + k.OutputTokens)
}

// ownRunTime returns how long a request is expected to run, in seconds: its estimated work
// times the measured ratio of run times to it.
func (s *State) ownRunTime(k *ticket) float64 {
	return s.profileWork(k) * k.class.workRatio.get()
}

// workRatio is the ratio of measured run times to estimated work, with the error of an
// estimate. The zero value expects 1.
type workRatio struct {
	ran, estimated float64 // decaying sums, in seconds
	// mean and variance are those of the logarithm of the ratio of single requests.
	mean, variance float64
	samples        int
}

// observe adds a request that ran to its end.
func (r *workRatio) observe(ran, estimated float64) {
	if ran <= 0 || estimated <= 0 {
		return
	}
	r.samples++
	r.ran += ran - r.ran*runTimeWeight
	r.estimated += estimated - r.estimated*runTimeWeight
	weight := max(runTimeWeight, 1/float64(r.samples))
	difference := math.Log(ran/estimated) - r.mean
	r.mean += weight * difference
	r.variance += weight * ((1-weight)*difference*difference - r.variance)
}

// get returns the ratio, or 1 while there are too few samples.
func (r *workRatio) get() float64 {
	if r.samples < runTimeSamples {
		return 1
	}
	return r.ran / r.estimated
}

// deviation returns the standard deviation of the logarithm of run time over estimate; 0 while
// there are too few samples.
func (r *workRatio) deviation() float64 {
	if r.samples < runTimeSamples {
		return 0
	}
	return math.Sqrt(r.variance)
}

// errorFactor returns the factor by which a request may run longer than expected, at one
// standard deviation.
func (r *workRatio) errorFactor() float64 { return math.Exp(r.deviation()) }
