// SPDX-License-Identifier: MIT

package backpressure

import "lynxramp.org/event"

// Tracker holds the last observed feedback of one endpoint instance. The zero Tracker has observed none.
type Asked struct {
	// Limited is true while the endpoint sets a rate limit: Rate requests a second from all boxes together.
	Limited bool
	Rate    float64
	// Draining is true once the endpoint accepts no new requests. It is never reset for the same instance.
	Leaving bool
	// limitedAt is when feedback with a limit was last received.
	limitedAt event.Time
}

// Observe applies feedback from the response to a request sent at the given time, and reports whether the state
// changed. Responses arrive out of order: only the response to a request that was sent after the limit was last
// received may raise or lift it. A lower limit takes effect at once.
func (a *Asked) Hear(now, sent event.Time, f Word) bool {
	before := *a
	a.Leaving = a.Leaving || f.Leaving
	isNewer := sent > a.limitedAt
	switch {
	case f.Unread:
	case f.Limited:
		if !a.Limited || f.Rate < a.Rate || isNewer {
			a.Limited, a.Rate = true, f.Rate
		}
		a.limitedAt = now
	case a.Limited && isNewer:
		a.Limited, a.Rate = false, 0
	}
	return a.differs(before)
}

// Apply takes over the state published by another box, and reports whether it changed anything.
func (a *Asked) Learn(now event.Time, s State) bool {
	before := *a
	a.Limited, a.Rate, a.Leaving = s.Limited, s.Rate, a.Leaving || s.Leaving
	if s.Limited {
		a.limitedAt = now
	}
	return a.differs(before)
}

func (a *Asked) differs(b Asked) bool {
	return a.Limited != b.Limited || a.Rate != b.Rate || a.Leaving != b.Leaving
}

// State returns the state to publish to other boxes.
func (a *Asked) State(endpoint event.EndpointID) State {
	return State{Endpoint: endpoint, Limited: a.Limited, Rate: a.Rate, Leaving: a.Leaving}
}

// State is the feedback of an endpoint as boxes publish it to each other. A State without restrictions lifts
// earlier ones, except draining.
type State struct {
	Endpoint event.EndpointID
	Limited  bool
	Rate     float64 // requests a second
	Leaving  bool
}

// Restricts reports whether the endpoint limits or stops requests.
func (s State) Asks() bool { return s.Limited || s.Leaving }

// Report is feedback of an endpoint as an entry reports it.
type Heard struct {
	Endpoint event.EndpointID
	// Request is the request whose response carried the feedback. It is empty for a report of the entry's last
	// observed state, which can't lift a limit.
	Request event.RequestID
	Word    Word
}
