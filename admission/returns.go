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

// deadlineTolerance is how far the deadline of a call that came back may be from that of the refused one. It covers
// delays of the network and of an entry.
const deadlineTolerance = 100 * event.Millisecond

// refusedCalls recognises calls that come back after a refusal: the same content with the same deadline of the caller.
// The content alone does not tell, as callers may send the same, nor does a shorter timeout, as callers of one
// route give different ones. The zero value is empty.
type refusedCalls struct {
	byPrint map[poison.Fingerprint]refusal // the newest of each
	order   []refusal                      // oldest first
}

// refusal is the refusal of a call.
type refusal struct {
	fingerprint poison.Fingerprint
	at          event.Time
	deadline    event.Time // of the caller
}

// add records the refusal of a call.
func (r *refusedCalls) add(now event.Time, t *event.Ticket, f poison.Fingerprint) {
	if f == "" || t.CallerTime == 0 {
		return
	}
	if r.byPrint == nil {
		r.byPrint = make(map[poison.Fingerprint]refusal)
	}
	refused := refusal{fingerprint: f, at: now, deadline: now.Add(t.CallerTime)}
	r.byPrint[f] = refused
	r.order = append(r.order, refused)
	r.expire(now)
}

// hasReturned reports whether a call was refused within returnWindow.
func (r *refusedCalls) hasReturned(now event.Time, t *event.Ticket, f poison.Fingerprint) bool {
	r.expire(now)
	refused, ok := r.byPrint[f]
	if !ok || t.CallerTime == 0 {
		return false
	}
	difference := now.Add(t.CallerTime).Sub(refused.deadline)
	return -deadlineTolerance < difference && difference < deadlineTolerance
}

// expire drops refusals that are too old, or too many.
func (r *refusedCalls) expire(now event.Time) {
	n := 0
	for n < len(r.order) && (now.Sub(r.order[n].at) > returnWindow || len(r.order)-n > maxRefusedCalls) {
		// A later refusal of the same content keeps it.
		if r.byPrint[r.order[n].fingerprint] == r.order[n] {
			delete(r.byPrint, r.order[n].fingerprint)
		}
		n++
	}
	r.order = r.order[n:]
}
