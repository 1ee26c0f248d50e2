// SPDX-License-Identifier: MIT

package backpressure

import "lynxramp.org/event"

// Word is what an endpoint asks for in one answer. The zero Word asks for nothing, and says so: a limit that
// was named before is over.
type Word struct {
	// Limited says that the endpoint names a limit: it takes Rate requests a second from all boxes together,
	// for as long as its answers say so.
	Limited bool
	Rate    float64
	// Unread says that a limit was named which can't be read: the answer tells nothing of limits.
	Unread bool
	// Rest is for how long the endpoint, which has turned the request away, wants nothing from the box that has
	// the answer; 0 for no rest.
	Rest event.Span
	// Leaving says that the endpoint is about to end and takes nothing new, from any box.
	Leaving bool
}

// Asks reports whether the word asks for anything.
func (w Word) Asks() bool { return w.Limited || w.Rest > 0 || w.Leaving }
