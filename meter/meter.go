// SPDX-License-Identifier: MIT

// Package meter measures an endpoint's speed by the tokens that come from it:
// what it does, not what its nameplate says.
package meter

import "lynxramp.org/event"

// gapWeight is the weight of a new gap in the running mean.
const gapWeight = 0.05

// Stale is how long a measurement counts after the last token. Then nothing is
// known, and the endpoint is tried again by its nameplate.
const Stale = 8 * event.Second

// Meter keeps a running mean of the time between an endpoint's tokens, over all
// its streams. The zero value knows nothing. It is not safe for concurrent use.
type Meter struct {
	gap  float64 // nanoseconds
	last event.Time
}

// Observe takes note that tokens came a span after the one before in their stream.
func (m *Meter) Observe(now event.Time, tokens int, span event.Duration) {
	if tokens < 1 || span <= 0 {
		return
	}
	sample := float64(span) / float64(tokens)
	if m.gap == 0 || now.Sub(m.last) > Stale {
		m.gap = sample
	} else {
		m.gap += gapWeight * (sample - m.gap)
	}
	m.last = now
}

// TokenGap returns the mean time between tokens; 0 if it is not known.
func (m *Meter) TokenGap(now event.Time) event.Duration {
	if m.gap == 0 || now.Sub(m.last) > Stale {
		return 0
	}
	return event.Duration(m.gap)
}
