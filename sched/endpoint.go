// SPDX-License-Identifier: MIT

package sched

import "lynxramp.org/event"

// Parameters of the reference engine, which has speed 1.
const (
	referencePrefill  = 8000.0 // prompt tokens per second
	referenceTokenGap = 20 * event.Millisecond
	// callWork is the work of a request without tokens, in seconds at speed 1.
	callWork = 0.01
	// reserveDivisor sets the reserve for the highest recent rank: the
	// endpoint's concurrency divided by it.
	reserveDivisor = 4
)

// endpoint is the scheduler's state of one endpoint.
type endpoint struct {
	event.Endpoint
	index            int // in State.endpoints and State.views
	report           event.Report
	lastReport       event.Time
	platformDraining bool // the platform's list says that its box is draining
	hasReport        bool
	halfOpen         bool // failed and not yet proven healthy: limited to one request at a time
	rateLimit        rateLimit
	// cooldowns has the end of each cooldown, by entry.
	cooldowns map[event.BoxID]event.Time
	inflight  int
	// backoffUntil is when the endpoint may be granted requests again after it
	// did not accept one.
	backoffUntil    event.Time
	prefillQueue    prefillQueue
	prefillSlowdown prefillSlowdown // relative to slowness
	slowdown        slowdown        // as the endpoint reports it
	canaryGrants    int             // granted in canary mode
	grants          map[event.RequestID]*grant
	cachedHashes    cachedHashes
	// slowness is the measured time per unit of work relative to the pool's
	// profile, divided by the slowdown that the endpoint reported at the time; 0
	// if unknown.
	slowness   float64
	slownessAt event.Time
}

// Smoothing weight and bounds of the measured slowness.
const (
	slownessWeight = 0.15
	slownessMin    = 0.2
	slownessMax    = 20.0
	// slownessMaxAge is how long a measurement is valid. After that the
	// configured speed applies again.
	slownessMaxAge = 8 * event.Second
)

// observeSlowness adds a sample of the endpoint's slowness.
func (e *endpoint) observeSlowness(now event.Time, sample float64) {
	sample = min(max(sample, slownessMin), slownessMax)
	if e.slowness == 0 || now.Sub(e.slownessAt) > slownessMaxAge {
		e.slowness = sample
	} else {
		e.slowness += slownessWeight * (sample - e.slowness)
	}
	e.slownessAt = now
}

// isAvailable reports whether the endpoint may be granted new requests.
func (e *endpoint) isAvailable(now event.Time) bool {
	return e.hasReport && e.Mode != event.ModeBlocked && !e.Draining && !e.platformDraining && now >= e.backoffUntil && !e.report.Draining && !e.report.Down && now.Sub(e.lastReport) <= ReportTimeout
}

// capacity returns how many requests the endpoint may run at once: at most one
// while it is half-open.
func (e *endpoint) capacity() int {
	if e.halfOpen {
		return min(1, e.Concurrency)
	}
	return e.Concurrency
}

// presentSpeed returns the speed that is expected at now: the usual speed, divided
// by the slowdown that the endpoint reports.
func (e *endpoint) presentSpeed(now event.Time) float64 {
	if !e.slowdown.isReported {
		return e.speed()
	}
	return e.speed() / e.slowdown.factor(now)
}

// speed returns the endpoint's usual speed relative to the reference engine:
// measured if possible, else as configured.
func (e *endpoint) speed() float64 {
	if e.slowness > 0 {
		return 1 / e.slowness
	}
	if e.report.TokenGap > 0 {
		return float64(referenceTokenGap) / float64(e.report.TokenGap)
	}
	return e.Speed
}

// estimate is the expected time of a request at an endpoint, in seconds.
type estimate struct {
	prefill     float64 // of the uncached part of its prompt
	prefillWork float64 // prefill at speed 1
	total       float64 // to its last token
	cached      int     // prompt tokens in the endpoint's cache
	// latency is the time to the first token if the request has a target, else
	// the total.
	latency float64
}
