// SPDX-License-Identifier: MIT

package gateway

import (
	"lynxramp.org/backpressure"
	"lynxramp.org/event"
	"lynxramp.org/level"
)

// This file is the agent's side of what endpoints ask for: what owners are told of it and tell.

// maxReportedFeedback bounds what a new owner is told at once: 16 kB.
const maxReportedFeedback = 400

// gateSweepInterval is how often what is known of endpoints that are gone is looked for.
const gateSweepInterval = 5 * event.Second

// permit returns what a grant rests on.
func (a *OwnerClient) permit(g *event.Granted, alone bool) backpressure.Permit {
	switch {
	case g.Paced:
		return backpressure.PermitPaced
	case !alone && a.ownerLevel < level.Asked:
		return backpressure.PermitBlind
	default:
		return backpressure.PermitPlain
	}
}

// Gate returns what stands before every request that the entry sends. Any goroutine may use it.
func (a *OwnerClient) Gate() *backpressure.Gate { return &a.gate }

// Heard takes what an endpoint asked for in an answer, or what a grant's owner did not know.
func (a *OwnerClient) Heard(now event.Time, h backpressure.Heard) {
	a.observeFeedback(now, h)
	a.deliverDecisions(now)
}

// observeFeedback takes what an endpoint asked for in an answer, or what a grant's owner did not know.
func (a *OwnerClient) observeFeedback(now event.Time, h backpressure.Heard) {
	if a.hasOwner && a.ownerLevel >= level.Asked {
		a.batch.Heard = append(a.batch.Heard, h)
	}
	if a.degraded != nil {
		a.degraded.Hear(now, a.config.Entry, &h, &a.effects)
	}
}

// reportFeedback tells a new owner what was heard lately.
func (a *OwnerClient) reportFeedback(now event.Time) {
	if a.ownerLevel >= level.Asked {
		a.batch.Heard = a.gate.Own(now, maxReportedFeedback)
	}
}

// applyFeedbackStates takes what an owner believes that endpoints ask for.
func (a *OwnerClient) applyFeedbackStates(now event.Time, list []backpressure.State) {
	for _, s := range list {
		a.gate.Learn(now, s)
	}
}

// sweepGate forgets what endpoints asked for that are gone.
func (a *OwnerClient) sweepGate(now event.Time) {
	if now < a.nextGateSweep {
		return
	}
	a.nextGateSweep = now.Add(gateSweepInterval)
	a.gate.Sweep(now, func(id event.EndpointID) bool {
		_, ok := a.endpoints[id]
		return ok
	})
}
