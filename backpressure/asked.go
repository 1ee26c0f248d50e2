// SPDX-License-Identifier: MIT

package backpressure

import "lynxramp.org/event"

// Asked is what is believed of one start of an endpoint by its words. The zero Asked is one of whom nothing was
// heard.
type Asked struct {
	// Limited says that it names a limit, Rate in requests a second from all boxes together.
	Limited bool
	Rate    float64
	// Leaving says that it takes nothing new. A start that said so never takes it back.
	Leaving bool
	// limitAt is when it was last heard to name a limit.
	limitAt event.Time
}

// Hear takes a word that came with the answer to a request sent at a moment, and reports whether it changed what
// is believed. Answers overtake each other, and a long one may have begun before the last word: a limit is
// raised or over only by the answer to a request that was sent after it was last named.
func (a *Asked) Hear(now, sent event.Time, w Word) bool {
	before := *a
	a.Leaving = a.Leaving || w.Leaving
	isLater := sent > a.limitAt
	switch {
	case w.Unread:
	case w.Limited:
		if !a.Limited || w.Rate < a.Rate || isLater {
			a.Limited, a.Rate = true, w.Rate
		}
		a.limitAt = now
	case a.Limited && isLater:
		a.Limited, a.Rate = false, 0
	}
	return a.differs(before)
}

// Learn takes what another box believes, and reports whether that is new.
func (a *Asked) Learn(now event.Time, s State) bool {
	before := *a
	a.Limited, a.Rate, a.Leaving = s.Limited, s.Rate, a.Leaving || s.Leaving
	if s.Limited {
		a.limitAt = now
	}
	return a.differs(before)
}

func (a *Asked) differs(b Asked) bool {
	return a.Limited != b.Limited || a.Rate != b.Rate || a.Leaving != b.Leaving
}

// State returns what is believed as it is told to others.
func (a *Asked) State(endpoint event.EndpointID) State {
	return State{Endpoint: endpoint, Limited: a.Limited, Rate: a.Rate, Leaving: a.Leaving}
}

// State is what is believed of an endpoint, as boxes tell each other. One that asks for nothing says that what
// it asked for is over.
type State struct {
	Endpoint event.EndpointID
	Limited  bool
	Rate     float64 // requests a second
	Leaving  bool
}

// Asks reports whether the endpoint asks for anything.
func (s State) Asks() bool { return s.Limited || s.Leaving }

// Heard is a word with the answer that had it.
type Heard struct {
	Endpoint event.EndpointID
	// Request is whose answer had it; empty for what the box believes and is asked for by no answer now: such a
	// word ends nothing.
	Request event.RequestID
	Word    Word
}
