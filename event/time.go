// SPDX-License-Identifier: MIT

package event

import "time"

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

// Clock turns the monotonic clock into event time. Its origin is its making.
type Clock struct{ origin time.Time }

// NewClock returns a clock that starts at zero now.
func NewClock() Clock { return Clock{origin: time.Now()} }

// Now returns the present event time.
func (c Clock) Now() Time { return Time(time.Since(c.origin)) }
