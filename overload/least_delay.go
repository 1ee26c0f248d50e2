// SPDX-License-Identifier: MIT

package overload

import (
	"math"

	"lynxramp.org/event"
)

// baseWindow is for how long a LeastDelay remembers a delay at least.
const baseWindow = 30 * event.Second

// LeastDelay is the least delay of the last baseWindow to twice that: that of a path without any load.
type LeastDelay struct {
	current, previous event.Duration
	since             event.Time // of current
}

// NewLeastDelay returns a LeastDelay without any.
func NewLeastDelay() LeastDelay {
	return LeastDelay{current: math.MaxInt64, previous: math.MaxInt64}
}

// Update adds a delay and returns the least one.
func (d *LeastDelay) Update(now event.Time, delay event.Duration) event.Duration {
	if now.Sub(d.since) >= baseWindow {
		d.previous, d.current, d.since = d.current, delay, now
	}
	d.current = min(d.current, delay)
	return min(d.current, d.previous)
}
