// SPDX-License-Identifier: MIT

package sched

import "lynxramp.org/event"

// The reference engine, of speed 1.
const (
	referencePrefill  = 8000.0 // prompt tokens a second
	referenceTokenGap = 20 * event.Millisecond
	// callWork is the work, in seconds at speed 1, of a call without tokens.
	callWork = 0.01
	// reserveDivisor is the part of an endpoint's concurrency, as a divisor, that is
	// kept for the highest tier of the moment.
	reserveDivisor = 4
)

// endpoint is what the scheduler knows of one endpoint.
type endpoint struct {
	event.Endpoint
	index    int // of its view
	report   event.Report
	lastReport    event.Time
	platformDraining   bool // as leaving, by the platform
	hasReport bool
	halfOpen   bool // it failed lately
	rateLimit    rateLimit
	// cooldowns has until when it wants nothing of an entry.
	cooldowns    map[event.BoxID]event.Time
	inflight int
	// backoffUntil is when it may be granted work again.
	backoffUntil event.Time
	prefills   prefillQueue
	prefillSlowness      prefillSlowness // of reading
	grants    map[event.RequestID]*grant
	cachedMarks    markSet
	// slowness is how much slower than the pool's profile the endpoint was lately;
	// 0 is unknown.
	slowness   float64
	slownessAt event.Time
}

// Weights and bounds of the measured slowness.
const (
	slownessWeight = 0.15
	slownessMin    = 0.2
	slownessMax    = 20.0
	// slownessMaxAge is how long a measurement counts. Then the endpoint is tried
	// again by its nameplate.
	slownessMaxAge = 8 * event.Second
)

// observeSlowness takes note of how much slower than the profile the endpoint was.
func (e *endpoint) observeSlowness(now event.Time, slowness float64) {
	slowness = min(max(slowness, slownessMin), slownessMax)
	if e.slowness == 0 || now.Sub(e.slownessAt) > slownessMaxAge {
		e.slowness = slowness
	} else {
		e.slowness += slownessWeight * (slowness - e.slowness)
	}
	e.slownessAt = now
}

// isAvailable reports whether the endpoint may be granted new work.
func (e *endpoint) isAvailable(now event.Time) bool {
	return e.hasReport && !e.Leaving && !e.platformDraining && now >= e.backoffUntil && !e.report.Leaving && !e.report.Down && now.Sub(e.lastReport) <= ReportTimeout
}

// capacity returns how many requests the endpoint may have at once: one while it is not
// known to serve again after a failure.
func (e *endpoint) capacity() int {
	if e.halfOpen {
		return min(1, e.Concurrency)
	}
	return e.Concurrency
}

// speed is relative to the reference engine: measured, or else the nameplate's.
func (e *endpoint) speed() float64 {
	if e.slowness > 0 {
		return 1 / e.slowness
	}
	if e.report.TokenGap > 0 {
		return float64(referenceTokenGap) / float64(e.report.TokenGap)
	}
	return e.Speed
}

// estimate is how long a request would take at an endpoint, in seconds.
type estimate struct {
	prefill   float64 // its own prompt, less what is cached
	prefillWork   float64 // the same at speed 1
	total  float64 // until its last token
	cached int     // prompt tokens
	// latency is until what the request's time left counts to: its beginning or
	// its end.
	latency float64
}
