// SPDX-License-Identifier: MIT

package slot

import (
	"lynxramp.org/event"
)

// idRetention is how long an id is kept after its request ended. It must exceed the
// time after which entries give up on a request, so that no later message names the id.
const idRetention = 15 * 60 * event.Second

// Offer is a request that an entry wants to have dispatched.
type Offer struct {
	ID          event.DispatchID
	Incarnation event.Incarnation // of the slot it is meant for
	Epoch       event.Epoch       // of the scheduler that granted it
	Deadline    event.Duration    // time remaining
}

// Denial is the reason why an offer was not accepted. After any denial but
// DenialStarted the id will never run in this incarnation.
type Denial int

// The denials of an offer.
const (
	// DenialNone is the zero value: the offer is accepted.
	DenialNone Denial = iota
	// DenialIncarnation: the offer was meant for another incarnation of the slot.
	DenialIncarnation
	// DenialEpoch: an owner with a newer epoch schedules the pool.
	DenialEpoch
	// DenialDraining: the endpoint accepts no new requests.
	DenialDraining
	// DenialDeadline: no time remains.
	DenialDeadline
	// DenialVoid: the id was voided before.
	DenialVoid
	// DenialUnreachable: no connection to the endpoint could be made.
	DenialUnreachable
	// DenialStarted: the id was dispatched before. Its outcome is not known here.
	DenialStarted
)

// String returns the denial as it appears in logs and in HeaderDenial.
func (d Denial) String() string {
	switch d {
	case DenialIncarnation:
		return "incarnation"
	case DenialEpoch:
		return "epoch"
	case DenialDraining:
		return "leaving"
	case DenialDeadline:
		return "deadline"
	case DenialVoid:
		return "void"
	case DenialUnreachable:
		return "unreachable"
	case DenialStarted:
		return "started"
	default:
		return "none"
	}
}

// phase is the state of a dispatch id in this incarnation.
type phase int

const (
	phaseUnknown phase = iota
	phaseVoid
	phaseStarted
	phaseEnded
)

type idState struct {
	phase phase
	since event.Time
}

// Guard decides which offers reach the endpoint. It is not safe for concurrent
// use.
type Guard struct {
	incarnation event.Incarnation
	epoch       event.Epoch
	draining    bool
	requests    map[event.DispatchID]idState
	running     int
	lastSweep   event.Time
}

// NewGuard returns the guard of one incarnation of a slot.
func NewGuard(incarnation event.Incarnation) *Guard {
	return &Guard{incarnation: incarnation, requests: make(map[event.DispatchID]idState)}
}

// ObserveEpoch records the epoch of a pool owner. Offers of older epochs are denied
// from now on.
func (g *Guard) ObserveEpoch(e event.Epoch) { g.epoch = max(g.epoch, e) }

// StartDraining denies all new offers from now on.
func (g *Guard) StartDraining() { g.draining = true }

// IsDraining reports whether new offers are denied.
func (g *Guard) IsDraining() bool { return g.draining }

// Running returns the number of requests that were accepted and have not ended.
func (g *Guard) Running() int { return g.running }

// Offer accepts or denies an offer. Every denial but DenialStarted and
// DenialIncarnation makes the id void.
func (g *Guard) Offer(now event.Time, o Offer) Denial {
	g.ObserveEpoch(o.Epoch)
	d := g.check(o)
	switch d {
	case DenialNone:
		g.requests[o.ID] = idState{phase: phaseStarted, since: now}
		g.running++
	case DenialStarted, DenialIncarnation:
	default:
		g.requests[o.ID] = idState{phase: phaseVoid, since: now}
	}
	return d
}

func (g *Guard) check(o Offer) Denial {
	switch g.requests[o.ID].phase {
	case phaseVoid:
		return DenialVoid
	case phaseStarted, phaseEnded:
		return DenialStarted
	}
	switch {
	case o.Incarnation != g.incarnation:
		return DenialIncarnation
	case o.Epoch < g.epoch:
		return DenialEpoch
	case g.draining:
		return DenialDraining
	case o.Deadline <= 0:
		return DenialDeadline
	}
	return DenialNone
}

// Void ensures that id never starts in this incarnation. It reports false if the id
// has started, or if the call is about another incarnation, of which nothing is known
// here.
func (g *Guard) Void(now event.Time, id event.DispatchID, incarnation event.Incarnation) bool {
	if incarnation != g.incarnation {
		return false
	}
	switch g.requests[id].phase {
	case phaseStarted, phaseEnded:
		return false
	}
	g.requests[id] = idState{phase: phaseVoid, since: now}
	return true
}

// End records that a started request no longer uses the endpoint.
func (g *Guard) End(now event.Time, id event.DispatchID) {
	if g.requests[id].phase != phaseStarted {
		return
	}
	g.requests[id] = idState{phase: phaseEnded, since: now}
	g.running--
}

// Adopt records that an id was started by an earlier incarnation and is still
// running. It reports false if this incarnation has a record of the id already.
func (g *Guard) Adopt(now event.Time, id event.DispatchID) bool {
	if g.requests[id].phase != phaseUnknown {
		return false
	}
	g.requests[id] = idState{phase: phaseStarted, since: now}
	g.running++
	return true
}

// RevertStart undoes the start of a request that never reached the endpoint. Its id
// becomes void.
func (g *Guard) RevertStart(now event.Time, id event.DispatchID) {
	g.End(now, id)
	g.requests[id] = idState{phase: phaseVoid, since: now}
}

// Sweep removes the ids that ended or were voided longer than idRetention ago.
func (g *Guard) Sweep(now event.Time) {
	if now.Sub(g.lastSweep) < idRetention/10 {
		return
	}
	g.lastSweep = now
	for id, m := range g.requests {
		if m.phase != phaseStarted && now.Sub(m.since) > idRetention {
			delete(g.requests, id)
		}
	}
}
