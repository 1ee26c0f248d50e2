// SPDX-License-Identifier: MIT

package backpressure

import "lynxramp.org/event"

// Tracker holds the last observed feedback of one endpoint instance. The zero Tracker has observed none.
type Tracker struct {
	// Limited is true while the endpoint sets a rate limit: Rate requests a second from all boxes together.
	Limited bool
	Rate    float64
	// Draining is true once the endpoint accepts no new requests. It is never reset for the same instance.
	Draining bool
	// limitedAt is when feedback with a limit was last received.
	limitedAt event.Time
}

// Observe applies feedback from the response to a request sent at the given time, and reports whether the state
// changed. Responses arrive out of order: only the response to a request that was sent after the limit was last
// received may raise or lift it. A lower limit takes effect at once.
func (t *Tracker) Observe(now, sent event.Time, f Feedback) bool {
	before := *t
	t.Draining = t.Draining || f.Leaving
	isNewer := sent > t.limitedAt
	switch {
	case f.Unread:
	case f.Limited:
		if !t.Limited || f.Rate < t.Rate || isNewer {
			t.Limited, t.Rate = true, f.Rate
		}
		t.limitedAt = now
	case t.Limited && isNewer:
		t.Limited, t.Rate = false, 0
	}
	return t.differs(before)
}

// Apply takes over the state published by another box, and reports whether it changed anything.
func (t *Tracker) Apply(now event.Time, s State) bool {
	before := *t
	t.Limited, t.Rate, t.Draining = s.Limited, s.Rate, t.Draining || s.Leaving
	if s.Limited {
		t.limitedAt = now
	}
	return t.differs(before)
}

func (t *Tracker) differs(b Tracker) bool {
	return t.Limited != b.Limited || t.Rate != b.Rate || t.Draining != b.Draining
}

// State returns the state to publish to other boxes.
func (t *Tracker) State(endpoint event.EndpointID) State {
	return State{Endpoint: endpoint, Limited: t.Limited, Rate: t.Rate, Leaving: t.Draining}
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
func (s State) Restricts() bool { return s.Limited || s.Leaving }

// Report is feedback of an endpoint as an entry reports it.
type Report struct {
	Endpoint event.EndpointID
	// Request is the request whose response carried the feedback. It is empty for a report of the entry's last
	// observed state, which can't lift a limit.
	Request event.RequestID
	Word    Feedback
}
