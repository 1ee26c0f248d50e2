// SPDX-License-Identifier: MIT

package event

import (
	"time"

	"lynxramp.org/internal/uptime"
)

// Time is a monotonic time in nanoseconds since an origin that the process
// chooses. It is unrelated to the wall clock.
type Time int64

// Duration is a length of time in nanoseconds.
type Span = time.Duration

// Units of Duration.
const (
	Microsecond = time.Microsecond
	Millisecond = time.Millisecond
	Second      = time.Second
)

// Add returns t+s.
func (t Time) Add(s Span) Time { return t + Time(s) }

// Sub returns the duration t-u.
func (t Time) Sub(u Time) Span { return Span(t - u) }

// Clock reads a monotonic clock that advances while the computer is suspended, so that leases and validity
// periods also expire during a suspension. Its origin is the time of its creation.
type Clock struct {
	origin Span
	source func() Span
}

// NewClock returns a clock that reads 0 now.
func NewClock() Clock { return ClockOf(uptime.Now) }

// NewClockFrom returns a clock that reads 0 now and advances as source does.
func ClockOf(source func() Span) Clock { return Clock{origin: source(), source: source} }

// Now returns the current time.
func (c Clock) Now() Time { return Time(c.source() - c.origin) }
