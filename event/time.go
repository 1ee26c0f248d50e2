// SPDX-License-Identifier: MIT

package event

import (
	"time"

	"lynxramp.org/internal/uptime"
)

// Time is a moment in nanoseconds since an origin that the process chooses. It
// only ever grows and says nothing about the wall clock.
type Time int64

// Span is a length of time in nanoseconds.
type Span = time.Duration

// Units of Span.
const (
	Microsecond = time.Microsecond
	Millisecond = time.Millisecond
	Second      = time.Second
)

// Add returns the moment s after t.
func (t Time) Add(s Span) Time { return t + Time(s) }

// Sub returns the span from u to t.
func (t Time) Sub(u Time) Span { return Span(t - u) }

// Clock turns a clock that never goes back and goes on while the computer is suspended into event time: what
// was lent, leased or found fresh before is as old when it wakes as it is for all others. Its origin is its
// making.
type Clock struct {
	origin Span
	source func() Span
}

// NewClock returns a clock that starts at zero now.
func NewClock() Clock { return ClockOf(uptime.Now) }

// ClockOf returns a clock that starts at zero now and goes as source does.
func ClockOf(source func() Span) Clock { return Clock{origin: source(), source: source} }

// Now returns the present event time.
func (c Clock) Now() Time { return Time(c.source() - c.origin) }
