// SPDX-License-Identifier: MIT

package backpressure

import "lynxramp.org/event"

// Feedback is what an endpoint asks for in one response. The zero Feedback asks for nothing, and lifts an earlier
// limit.
type Feedback struct {
	// Limited is true if the endpoint sets a rate limit: it accepts Rate requests a second from all boxes
	// together, for as long as its responses say so.
	Limited bool
	Rate    float64
	// Unread is true if the response names a limit that can't be parsed. Such a response leaves the limit as it
	// was.
	Unread bool
	// Rest is the cooldown: how long an endpoint that responded with a 503 wants none from the entry that received
	// the response; 0 for none.
	Rest event.Duration
	// Leaving is true if the endpoint is draining: it accepts no new requests from any box.
	Leaving bool
}

// Restricts reports whether the feedback limits or stops requests.
func (f Feedback) Restricts() bool { return f.Limited || f.Rest > 0 || f.Leaving }
