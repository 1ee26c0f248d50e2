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
	report   event.Report
	heard    event.Time
	reported bool
	inflight int
	// leftUntil is when it may be granted work again.
	leftUntil event.Time
	// filledAt is when the prompts granted so far should be computed.
	filledAt event.Time
	grants   map[event.RequestID]*grant
	prefix   prefixIndex
}

// serves reports whether the endpoint may be granted new work.
func (e *endpoint) serves(now event.Time) bool {
	return e.reported && !e.Leaving && now >= e.leftUntil && !e.report.Leaving && !e.report.Down && now.Sub(e.heard) <= ReportBound
}

// hasRoom reports whether the endpoint has room beside what is kept free of it.
func (e *endpoint) hasRoom(reserve int) bool { return e.inflight < e.Concurrency-reserve }

// reserveFor returns the part of the concurrency that a request must leave free
// if higher tiers have come lately.
func (e *endpoint) reserveFor(higher bool) int {
	if !higher {
		return 0
	}
	return e.Concurrency / reservePart
}

// speed is relative to the reference engine: measured, or else the nameplate's.
func (e *endpoint) speed() float64 {
	if e.report.TokenGap > 0 {
		return float64(referenceTokenGap) / float64(e.report.TokenGap)
	}
	return e.Speed
}

// estimate is how long a request would take at an endpoint, in seconds.
type estimate struct {
	fill   float64 // its own prompt, less what is cached
	total  float64 // until its last token
	cached int     // prompt tokens
}

// estimate returns what k would take here from now.
func (e *endpoint) estimate(now event.Time, k *ticket) estimate {
	speed := e.speed()
	if k.OutputTokens == 0 {
		return estimate{total: callWork / speed * float64(1+e.inflight)}
	}
	cached := min(e.prefix.cached(k.Prefix), k.PromptTokens)
	rate := referencePrefill * speed
	fill := float64(k.PromptTokens-cached) / rate
	decode := referenceTokenGap.Seconds() / speed * float64(k.OutputTokens)
	ahead := max(0, e.filledAt.Sub(now).Seconds())
	return estimate{fill: fill, total: ahead + fill + decode, cached: cached}
}
