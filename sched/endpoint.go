// SPDX-License-Identifier: MIT

package sched

import "lynxramp.org/event"

// The reference engine, of speed 1.
const (
	referencePrefill  = 8000.0 // prompt tokens a second
	referenceTokenGap = 20 * event.Millisecond
	// callWork is the work, in seconds at speed 1, of a call without tokens.
	callWork = 0.01
	// reservePart is the part of an endpoint's concurrency, as a divisor, that is
	// kept for the highest tier of the moment.
	reservePart = 4
)

// endpoint is what the scheduler knows of one endpoint.
type endpoint struct {
	event.Endpoint
	index    int // of its view
	report   event.Report
	heard    event.Time
	listed   bool // as leaving, by the platform
	reported bool
	unsure   bool // it failed lately
	limit    limit
	// rests has until when it wants nothing of an entry.
	rests    map[event.BoxID]event.Time
	inflight int
	// leftUntil is when it may be granted work again.
	leftUntil event.Time
	reading   reading
	pace      pace // of reading
	grants    map[event.RequestID]*grant
	memory    memory
	// measured is how much slower than the pool's profile the endpoint was lately;
	// 0 is unknown.
	measured   float64
	measuredAt event.Time
}

// Weights and bounds of the measured slowness.
const (
	slownessWeight = 0.15
	slownessMin    = 0.2
	slownessMax    = 20.0
	// slownessStale is how long a measurement counts. Then the endpoint is tried
	// again by its nameplate.
	slownessStale = 8 * event.Second
)

// learn takes note of how much slower than the profile the endpoint was.
func (e *endpoint) learn(now event.Time, slowness float64) {
	slowness = min(max(slowness, slownessMin), slownessMax)
	if e.measured == 0 || now.Sub(e.measuredAt) > slownessStale {
		e.measured = slowness
	} else {
		e.measured += slownessWeight * (slowness - e.measured)
	}
	e.measuredAt = now
}

// serves reports whether the endpoint may be granted new work.
func (e *endpoint) serves(now event.Time) bool {
	return e.reported && !e.Leaving && !e.listed && now >= e.leftUntil && !e.report.Leaving && !e.report.Down && now.Sub(e.heard) <= ReportBound
}

// room returns how many requests the endpoint may have at once: one while it is not
// known to serve again after a failure.
func (e *endpoint) room() int {
	if e.unsure {
		return min(1, e.Concurrency)
	}
	return e.Concurrency
}

// speed is relative to the reference engine: measured, or else the nameplate's.
func (e *endpoint) speed() float64 {
	if e.measured > 0 {
		return 1 / e.measured
	}
	if e.report.TokenGap > 0 {
		return float64(referenceTokenGap) / float64(e.report.TokenGap)
	}
	return e.Speed
}

// estimate is how long a request would take at an endpoint, in seconds.
type estimate struct {
	fill   float64 // its own prompt, less what is cached
	work   float64 // the same at speed 1
	total  float64 // until its last token
	cached int     // prompt tokens
	// needed is until what the request's time left counts to: its beginning or
	// its end.
	needed float64
}
