// SPDX-License-Identifier: MIT

package sched

import "lynxramp.org/event"

// This file grants plain calls ahead. From the grant until the entry sends the call, and from the response until its
// end is reported here, the call holds a slot that the endpoint does not use. Where calls are short this is a large
// part of the capacity. So an endpoint may be granted as many calls as keep its slots in use, by the ratio of the time
// that a call holds a slot here to the time that it takes at the endpoint, as its entry measures it.

// Parameters of granting ahead.
const (
	// maxAheadRatio bounds the calls granted to an endpoint, relative to its slots.
	maxAheadRatio = 1.75
	// aheadWeight is the weight of a new sample, minAheadSamples how many are needed.
	aheadWeight     = 0.02
	minAheadSamples = 50
	// aheadPause is how long nothing is granted ahead after an endpoint rejected a call beyond its slots.
	aheadPause = 10 * event.Second
)

// transit measures how long plain calls hold a slot and how long they take at their endpoints. The zero value is ready
// to use.
type transit struct {
	samples int
	held    float64 // mean time from the grant to the reported end, in seconds
	taken   float64 // mean time from the send to the response, in seconds
	// pausedUntil is until when nothing is granted ahead.
	pausedUntil event.Time
}

// observe adds a call. One that takes longer at the endpoint than it held its slot was adopted, or measured by a clock
// that is wrong.
func (t *transit) observe(held, taken event.Duration) {
	if taken <= 0 || taken > held {
		return
	}
	t.samples++
	weight := max(aheadWeight, 1/float64(t.samples))
	t.held += weight * (held.Seconds() - t.held)
	t.taken += weight * (taken.Seconds() - t.taken)
}

// aheadRatio returns the calls that an endpoint may be granted, relative to its slots; at least 1.
func (t *transit) aheadRatio(now event.Time) float64 {
	if t.samples < minAheadSamples || now < t.pausedUntil {
		return 1
	}
	return min(maxAheadRatio, t.held/t.taken)
}

// observeRejection pauses granting ahead: an endpoint that rejects a call beyond its slots does not queue any.
func (s *State) observeRejection(now event.Time, g *grant, f *event.Finished) {
	if f.Void && !f.Unused && g.endpoint.inflight > g.endpoint.Concurrency {
		s.transit.pausedUntil = now.Add(aheadPause)
	}
}

// observeTransit adds a finished plain call at an endpoint that reports its slowdown. At other endpoints nothing is
// granted ahead.
func (s *State) observeTransit(now event.Time, g *grant, f *event.Finished) {
	if g.tokenless && !g.adopted && !f.Failed && g.endpoint.slowdown.isReported {
		s.transit.observe(now.Sub(g.at), f.FirstAfter)
	}
}

// capacityAhead returns how many requests may be granted to an endpoint at once, with the calls granted ahead. A
// half-open endpoint gets one.
func (s *State) capacityAhead(now event.Time, e *endpoint) float64 {
	slots := float64(e.capacity())
	if !e.slowdown.isReported || e.halfOpen {
		return slots
	}
	return slots * s.transit.aheadRatio(now)
}

// AheadStatus is how far plain calls are granted ahead, with the times that it is based on.
type AheadStatus struct {
	Held, Taken event.Duration // mean times that a call holds a slot here, and that it takes at its endpoint
	Ratio       float64        // of the calls that an endpoint may be granted, to its slots
}

// Ahead returns how far plain calls are granted ahead; false if there are too few samples.
func (s *State) Ahead(now event.Time) (AheadStatus, bool) {
	t := &s.transit
	if t.samples < minAheadSamples {
		return AheadStatus{}, false
	}
	return AheadStatus{
		Held:  event.Duration(t.held * float64(event.Second)),
		Taken: event.Duration(t.taken * float64(event.Second)),
		Ratio: t.aheadRatio(now),
	}, true
}
