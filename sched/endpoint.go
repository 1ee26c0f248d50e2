// SPDX-License-Identifier: MIT

package sched

import "lynxramp.org/event"

// Reference speeds, for an endpoint of speed 1 that nothing was measured of.
const (
	referencePrefill  = 8000.0 // prompt tokens a second
	referenceTokenGap = 20 * event.Millisecond
	// callWork is the work, in seconds at speed 1, of a call without tokens.
	callWork = 0.01
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
	// prefill is the granted prompt work not yet known to be done, in tokens.
	prefill int
	grants  map[event.RequestID]*grant
	prefix  prefixIndex
}

// serves reports whether the endpoint may be granted new work.
func (e *endpoint) serves(now event.Time) bool {
	return e.reported && !e.Leaving && now >= e.leftUntil && !e.report.Leaving && !e.report.Down && now.Sub(e.heard) <= ReportBound
}

func (e *endpoint) hasRoom() bool { return e.inflight < e.Concurrency }

func (e *endpoint) prefillRate() float64 {
	if e.report.PrefillPerSecond > 0 {
		return e.report.PrefillPerSecond
	}
	return referencePrefill * e.Speed
}

func (e *endpoint) tokenGap() event.Span {
	if e.report.TokenGap > 0 {
		return e.report.TokenGap
	}
	return event.Span(float64(referenceTokenGap) / e.Speed)
}

// cost estimates how long k would take here from now, with cached prompt tokens
// already held.
func (e *endpoint) cost(k *ticket, cached int) event.Span {
	if k.OutputTokens == 0 {
		return event.Span(callWork / e.Speed * float64(1+e.inflight) * float64(event.Second))
	}
	fill := float64(e.prefill+k.PromptTokens-cached) / e.prefillRate()
	return event.Span(fill*float64(event.Second)) + e.tokenGap()*event.Span(k.OutputTokens)
}
