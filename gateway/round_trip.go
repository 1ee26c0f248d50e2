// SPDX-License-Identifier: MIT

package gateway

import (
	"sync/atomic"

	"lynxramp.org/event"
)

// roundTrip is how long the owner takes to answer pings. The zero value has no session.
type roundTrip struct {
	last       atomic.Int64 // event.Duration of the last answered ping; 0 if there was none
	unanswered atomic.Int64 // event.Time at which the first ping without an answer was sent; 0 if there is none
	sent       []event.Time // pings without an answer, in order
}

// pingSent records a ping.
func (r *roundTrip) pingSent(now event.Time) {
	r.sent = append(r.sent, now)
	r.unanswered.Store(int64(r.sent[0]))
}

// pongReceived records the answer to the ping that was sent at a time.
func (r *roundTrip) pongReceived(now, sent event.Time) {
	r.last.Store(int64(now.Sub(sent)))
	for len(r.sent) > 0 && r.sent[0] <= sent {
		r.sent = r.sent[1:]
	}
	if len(r.sent) == 0 {
		r.unanswered.Store(0)
		return
	}
	r.unanswered.Store(int64(r.sent[0]))
}

// reset records the end of the session.
func (r *roundTrip) reset() {
	r.sent = nil
	r.unanswered.Store(0)
	r.last.Store(0)
}

// value returns how long the last ping took to be answered, or how long one has been waiting for its answer if that is
// longer. It returns false if there is no session. It may be called by any goroutine.
func (r *roundTrip) value(now event.Time) (event.Duration, bool) {
	last, unanswered := event.Duration(r.last.Load()), event.Time(r.unanswered.Load())
	if unanswered == 0 {
		return last, last > 0
	}
	return max(last, now.Sub(unanswered)), true
}
