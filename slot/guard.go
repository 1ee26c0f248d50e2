// SPDX-License-Identifier: MIT

package slot

import (
	"lynxramp.org/event"
)

// memoryBound is how long an id is remembered after its request ended. No
// message can be older: entries give a request up long before.
const memoryBound = 15 * 60 * event.Second

// Offer is a request that an entry wants dispatched.
type Offer struct {
	ID          event.DispatchID
	Incarnation event.Incarnation // of the slot it is meant for
	Epoch       event.Epoch       // of the scheduler that granted it
	Deadline    event.Duration    // time left
}

// Denial says why an offer was not taken. After it the id will never run in
// this incarnation.
type Denial int

// The denials of an offer.
const (
	// DenialNone is the zero value: the offer is taken.
	DenialNone Denial = iota
	// DenialIncarnation: the offer was meant for another life of the slot.
	DenialIncarnation
	// DenialEpoch: a newer scheduler owns the pool.
	DenialEpoch
	// DenialLeaving: the endpoint takes no new work.
	DenialLeaving
	// DenialDeadline: there is no time left.
	DenialDeadline
	// DenialVoid: the id was declared void before.
	DenialVoid
	// DenialUnreachable: the endpoint could not be reached, now or lately.
	DenialUnreachable
	// DenialStarted: the id was dispatched before. It is no proof of anything
	// but that.
	DenialStarted
)

// String returns the denial as logs and answers have it.
func (d Denial) String() string {
	switch d {
	case DenialIncarnation:
		return "incarnation"
	case DenialEpoch:
		return "epoch"
	case DenialLeaving:
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

// phase is how far a request id has come in this incarnation.
type phase int

const (
	phaseUnknown phase = iota
	phaseVoid
	phaseStarted
	phaseEnded
)

type memory struct {
	phase phase
	since event.Time
}

// Guard decides which offers reach the endpoint. It is not safe for concurrent
// use.
type Guard struct {
	incarnation event.Incarnation
	epoch       event.Epoch
	leaving     bool
	requests    map[event.DispatchID]memory
	running     int
	swept       event.Time
}

// NewGuard returns the guard of one life of a slot.
func NewGuard(life event.Incarnation) *Guard {
	return &Guard{incarnation: life, requests: make(map[event.DispatchID]memory)}
}

// SeeEpoch takes note of a pool owner's epoch. Offers of older ones are denied
// from now on.
func (g *Guard) SeeEpoch(e event.Epoch) { g.epoch = max(g.epoch, e) }

// Leave denies all new offers from now on.
func (g *Guard) Leave() { g.leaving = true }

// Leaving reports whether new offers are denied.
func (g *Guard) Leaving() bool { return g.leaving }

// Running returns how many requests were taken and have not ended.
func (g *Guard) Running() int { return g.running }

// Offer takes or denies an offer. Every denial but DenialStarted makes the id
// void.
func (g *Guard) Offer(now event.Time, o Offer) Denial {
	g.SeeEpoch(o.Epoch)
	d := g.judge(o)
	switch d {
	case DenialNone:
		g.requests[o.ID] = memory{phase: phaseStarted, since: now}
		g.running++
	case DenialStarted, DenialIncarnation:
	default:
		g.requests[o.ID] = memory{phase: phaseVoid, since: now}
	}
	return d
}

func (g *Guard) judge(o Offer) Denial {
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
	case g.leaving:
		return DenialLeaving
	case o.Deadline <= 0:
		return DenialDeadline
	}
	return DenialNone
}

// Void makes sure that id does not start in this incarnation from now on. It
// reports false when the id has started, or when life is another incarnation,
// about which nothing is known here.
func (g *Guard) Void(now event.Time, id event.DispatchID, life event.Incarnation) bool {
	if life != g.incarnation {
		return false
	}
	switch g.requests[id].phase {
	case phaseStarted, phaseEnded:
		return false
	}
	g.requests[id] = memory{phase: phaseVoid, since: now}
	return true
}

// End notes that a started request no longer uses the endpoint.
func (g *Guard) End(now event.Time, id event.DispatchID) {
	if g.requests[id].phase != phaseStarted {
		return
	}
	g.requests[id] = memory{phase: phaseEnded, since: now}
	g.running--
}

// Adopt notes that an id was started in an earlier life and runs on. It reports
// false if this life has decided on it already.
func (g *Guard) Adopt(now event.Time, id event.DispatchID) bool {
	if g.requests[id].phase != phaseUnknown {
		return false
	}
	g.requests[id] = memory{phase: phaseStarted, since: now}
	g.running++
	return true
}

// Unstart takes back a started request that never reached the endpoint. Its id
// is void.
func (g *Guard) Unstart(now event.Time, id event.DispatchID) {
	g.End(now, id)
	g.requests[id] = memory{phase: phaseVoid, since: now}
}

// Sweep forgets what ended or was voided long ago.
func (g *Guard) Sweep(now event.Time) {
	if now.Sub(g.swept) < memoryBound/10 {
		return
	}
	g.swept = now
	for id, m := range g.requests {
		if m.phase != phaseStarted && now.Sub(m.since) > memoryBound {
			delete(g.requests, id)
		}
	}
}
