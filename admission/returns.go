// SPDX-License-Identifier: MIT

package admission

import (
	"lynxramp.org/event"
	"lynxramp.org/poison"
)

// Limits of the refused calls that are kept.
const (
	// returnWindow is how long after its refusal a caller is expected to come back. Callers honour a
	// Retry-After of up to a third of the time that they have left, which is a few seconds.
	returnWindow = 6 * event.Second
	// maxRefusedCalls bounds the memory for refused calls, to some 3 MB. Beyond it the oldest are dropped.
	maxRefusedCalls = 20000
)

// refusedCalls recognises calls that come back after a refusal, by the fingerprint of their content. The
// caller's timeout does not tell: callers of one route give different ones. The zero value is empty.
type refusedCalls struct {
	byPrint map[poison.Fingerprint]refusedCall
	order   []refusal // oldest first
}

// refusedCall has the refusals of calls with one fingerprint that have not come back.
type refusedCall struct {
	count  int
	lastAt event.Time
}

// refusal is an entry of the expiry queue.
type refusal struct {
	fingerprint poison.Fingerprint
	at          event.Time
}

// add records the refusal of a call.
func (r *refusedCalls) add(now event.Time, f poison.Fingerprint) {
	if f == "" {
		return
	}
	if r.byPrint == nil {
		r.byPrint = make(map[poison.Fingerprint]refusedCall)
	}
	r.byPrint[f] = refusedCall{count: r.byPrint[f].count + 1, lastAt: now}
	r.order = append(r.order, refusal{f, now})
	r.expire(now)
}

// take reports whether a call was refused within returnWindow. Each refusal matches one call, so that other
// calls of the same content don't count as returned, too.
func (r *refusedCalls) take(now event.Time, f poison.Fingerprint) bool {
	r.expire(now)
	c, ok := r.byPrint[f]
	if !ok {
		return false
	}
	c.count--
	if c.count == 0 {
		delete(r.byPrint, f)
		return true
	}
	r.byPrint[f] = c
	return true
}

// expire drops refusals that are too old, or too many.
func (r *refusedCalls) expire(now event.Time) {
	n := 0
	for n < len(r.order) && (now.Sub(r.order[n].at) > returnWindow || len(r.order)-n > maxRefusedCalls) {
		// A later refusal of the same content keeps it.
		if c, ok := r.byPrint[r.order[n].fingerprint]; ok && c.lastAt <= r.order[n].at {
			delete(r.byPrint, r.order[n].fingerprint)
		}
		n++
	}
	r.order = r.order[n:]
}
