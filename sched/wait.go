// SPDX-License-Identifier: MIT

package sched

import "lynxramp.org/event"

// fasterRatio is how much faster than the chosen endpoint others must be to be worth waiting for: less is within the
// error of the estimates.
const fasterRatio = 1.3

// waitMargin is the safety factor on the expected wait for a slot.
const waitMargin = 1.5

// maxFasterWait is the longest expected wait, in seconds, of all waiting requests together. While more wait, each slot
// is needed: a slowed endpoint that is left idle costs more requests than the faster responses save.
const maxFasterWait = 0.02

// maxSpeedRatio bounds how much faster than the mean of all endpoints the faster ones are assumed to be.
const maxSpeedRatio = 4

// isFasterSoon reports whether k is expected to complete sooner if it waits until a slot at a faster endpoint is free
// than at the best endpoint with free capacity, which is slowed. All waiting requests wait for the same slots.
// A request that would be refused for its wait does not wait.
func (s *State) isFasterSoon(now event.Time, k *ticket, c *choice) bool {
	if s.slowedEndpoints == 0 || !s.views[c.best.index].isSlowed || s.runTime.samples < runTimeSamples || s.isQueueLong() {
		return false
	}
	limit := s.views[c.best.index].slowness / fasterRatio
	rate := s.freeingRate(now, k, limit)
	if rate == 0 {
		return false
	}
	wait := waitMargin * float64(s.queue.len()+len(s.skipped)) / rate
	return wait <= maxFasterWait && s.costAfterWait(now, k, limit, wait) < c.cost && !s.willTimeOut(now, k)
}

// isQueueLong reports whether so many requests wait that no endpoint is worth waiting for, without a scan of the
// endpoints: the slots at faster endpoints are freed at most at the mean rate of all, times maxSpeedRatio.
func (s *State) isQueueLong() bool {
	waiting := float64(s.queue.len() + len(s.skipped))
	return waitMargin*waiting*s.runTime.mean > maxFasterWait*maxSpeedRatio*float64(s.Running())
}

// isFullAndFaster reports whether an endpoint that k may use is full, and takes less than limit per unit of work.
func (s *State) isFullAndFaster(now event.Time, v *view, k *ticket, limit float64) bool {
	if v.capacityUnits == 0 || v.free > 0 || v.isRateLimited || v.slowness >= limit || k.avoids(v.endpoint) {
		return false
	}
	return !v.hasCooldowns || !v.inCooldownFor(now, k.entry)
}

// freeingRate returns how many slots a second become free at full endpoints that take less than limit per unit of
// work: requests end there in proportion to their speed.
func (s *State) freeingRate(now event.Time, k *ticket, limit float64) float64 {
	speeds, running := 0.0, 0.0
	for i := range s.views {
		if v := &s.views[i]; s.isFullAndFaster(now, v, k, limit) {
			running += float64(v.endpoint.inflight) / v.slowness
		}
		speeds += s.views[i].slowness * float64(s.views[i].endpoint.inflight)
	}
	if s.Running() == 0 {
		return 0
	}
	meanSlowness := speeds / float64(s.Running())
	return running * meanSlowness / s.runTime.mean
}

// costAfterWait returns the mean cost of k at these endpoints after a wait in seconds.
func (s *State) costAfterWait(now event.Time, k *ticket, limit, wait float64) float64 {
	p := s.costModel(now, k)
	p.timeLeft -= wait
	p.deadlineLeft -= wait
	sum, n := 0.0, 0
	for i := range s.views {
		if v := &s.views[i]; s.isFullAndFaster(now, v, k, limit) {
			cost, _ := p.costAt(v, 0)
			sum += cost
			n++
		}
	}
	return sum/float64(max(1, n)) + wait*(1+timeWeight)
}
