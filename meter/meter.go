// SPDX-License-Identifier: MIT

// Package meter measures an endpoint's speed from the tokens it streams, as opposed
// to its configured speed.
package meter

import "lynxramp.org/event"

// ewmaWeight is the weight of a new sample in the moving average, from 0 to 1.
const ewmaWeight = 0.05

// MaxAge is how long a measurement is valid after the last token. After that the
// endpoint's configured speed is used.
const MaxAge = 8 * event.Second

// Meter keeps an exponentially weighted moving average of the time between an
// endpoint's tokens, over all its streams. The zero value has no measurement. It is
// not safe for concurrent use.
type Meter struct {
	gap  float64 // nanoseconds
	last event.Time
}

// Observe records that tokens arrived at now, a span after the previous one of their stream.
func (m *Meter) Observe(now event.Time, tokens int, span event.Duration) {
	if tokens < 1 || span <= 0 {
		return
	}
	sample := float64(span) / float64(tokens)
	if m.gap == 0 || now.Sub(m.last) > MaxAge {
		m.gap = sample
	} else {
		m.gap += ewmaWeight * (sample - m.gap)
	}
	m.last = now
}

// TokenGap returns the average time between tokens; 0 if there is no valid measurement.
func (m *Meter) TokenGap(now event.Time) event.Duration {
	if m.gap == 0 || now.Sub(m.last) > MaxAge {
		return 0
	}
	return event.Duration(m.gap)
}
