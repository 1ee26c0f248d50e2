// SPDX-License-Identifier: MIT

package gateway

import (
	"lynxramp.org/backpressure"
	"lynxramp.org/event"
	"lynxramp.org/level"
)

// This file is the agent's side of what endpoints ask for: what owners are told of it and tell.

// toldMost bounds what a new owner is told at once: 16 kB.
const toldMost = 400

// gateSweep is how often what is known of endpoints that are gone is looked for.
const gateSweep = 5 * event.Second

// permit returns what a grant rests on.
func (a *OwnerClient) permit(g *event.Granted, alone bool) backpressure.Permit {
	switch {
	case g.Paced:
		return backpressure.PermitPaced
	case !alone && a.reads < level.Feedback:
		return backpressure.PermitLegacy
	default:
		return backpressure.PermitNoLimit
	}
}

// Gate returns what stands before every request that the entry sends. Any goroutine may use it.
func (a *OwnerClient) Gate() *backpressure.Gate { return &a.gate }

// Heard takes what an endpoint asked for in an answer, or what a grant's owner did not know.
func (a *OwnerClient) Heard(now event.Time, h backpressure.Report) {
	a.heard(now, h)
	a.settle(now)
}

// heard takes what an endpoint asked for in an answer, or what a grant's owner did not know.
func (a *OwnerClient) heard(now event.Time, h backpressure.Report) {
	if a.owned && a.reads >= level.Feedback {
		a.batch.Heard = append(a.batch.Heard, h)
	}
	if a.alone != nil {
		a.alone.ObserveFeedback(now, a.config.Entry, &h, &a.effects)
	}
}

// tellAsked tells a new owner what was heard lately.
func (a *OwnerClient) tellAsked(now event.Time) {
	if a.reads >= level.Feedback {
		a.batch.Heard = a.gate.RecentReports(now, toldMost)
	}
}

// seeAsked takes what an owner believes that endpoints ask for.
func (a *OwnerClient) seeAsked(now event.Time, list []backpressure.State) {
	for _, s := range list {
		a.gate.Apply(now, s)
	}
}

// sweepGate forgets what endpoints asked for that are gone.
func (a *OwnerClient) sweepGate(now event.Time) {
	if now < a.sweepAt {
		return
	}
	a.sweepAt = now.Add(gateSweep)
	a.gate.Sweep(now, func(id event.EndpointID) bool {
		_, ok := a.endpoints[id]
		return ok
	})
}
