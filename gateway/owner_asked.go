// SPDX-License-Identifier: MIT

package gateway

import (
	"lynxramp.org/backpressure"
	"lynxramp.org/event"
	"lynxramp.org/level"
)

// This file exchanges the feedback of endpoints with owners.

// maxReportedFeedback limits the reports sent to a new owner at once: 16 kB.
const maxReportedFeedback = 400

// gateSweepInterval is the interval at which the feedback of removed endpoints is dropped.
const gateSweepInterval = 5 * event.Second

// permit returns what a grant allows where the endpoint limits its rate.
func (a *OwnerClient) permit(g *event.Granted, degraded bool) backpressure.Permit {
	switch {
	case g.Paced:
		return backpressure.PermitPaced
	case !degraded && a.ownerFormatVersion < level.Feedback:
		return backpressure.PermitLegacy
	default:
		return backpressure.PermitNoLimit
	}
}

// Gate returns the gate that checks each request before it is sent. It is safe for concurrent use.
func (a *OwnerClient) Gate() *backpressure.Gate { return &a.gate }

// ObserveFeedback records feedback from a response, or feedback that a grant's owner did not know.
func (a *OwnerClient) ObserveFeedback(now event.Time, h backpressure.Report) {
	a.observeFeedback(now, h)
	a.deliverDecisions(now)
}

func (a *OwnerClient) observeFeedback(now event.Time, h backpressure.Report) {
	if a.hasOwner && a.ownerFormatVersion >= level.Feedback {
		a.batch.Heard = append(a.batch.Heard, h)
	}
	if a.degraded != nil {
		a.degraded.ObserveFeedback(now, a.config.Entry, &h, &a.effects)
	}
}

// reportFeedback reports recently received feedback to a new owner.
func (a *OwnerClient) reportFeedback(now event.Time) {
	if a.ownerFormatVersion >= level.Feedback {
		a.batch.Heard = a.gate.RecentReports(now, maxReportedFeedback)
	}
}

// applyFeedbackStates applies the owner's state of the endpoints' feedback.
func (a *OwnerClient) applyFeedbackStates(now event.Time, list []backpressure.State) {
	for _, s := range list {
		a.gate.Apply(now, s)
	}
}

// sweepGate drops the feedback of removed endpoints.
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
