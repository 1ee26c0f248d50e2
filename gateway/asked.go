// SPDX-License-Identifier: MIT

package gateway

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lynxramp.org/backpressure"
	"lynxramp.org/internal/logx"
)

// This file handles the feedback of endpoints in their responses.

// receiveFeedback records the feedback in a response. A misdirected response comes from another endpoint
// than the one called, so its feedback is ignored.
func (c *call) receiveFeedback(a *attempt, r *http.Response) {
	g := c.gateway
	if g.config.ParseFeedback == nil || r.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	f, err := g.config.ParseFeedback(r.StatusCode, r.Header)
	if err != nil {
		g.meters.feedback(feedbackInvalid).Inc()
		if g.feedbackLimiter.Allow(time.Now(), 1) {
			g.log.Warn("invalid feedback in endpoint response; ignoring the invalid header", zap.String("endpoint", string(a.decision.Endpoint)),
				zap.String("request", c.callerID), logx.Err(err))
		}
	}
	endpoint := a.decision.Endpoint
	if !f.Restricts() && !g.agent.client.gate.IsLimited(endpoint) {
		return
	}
	now := g.agent.clock.Now()
	keptByOwner := !a.decision.Degraded && a.decision.Permit != backpressure.PermitLegacy
	isNew := g.agent.client.gate.Observe(now, now.Add(-time.Since(a.sent)), endpoint, f, keptByOwner)
	g.agent.ObserveFeedback(backpressure.Report{Endpoint: endpoint, Request: c.id, Word: f})
	g.countFeedback(f)
	fields := append(feedbackFields(f), zap.String("endpoint", string(endpoint)), zap.Int("answered", r.StatusCode))
	if f.Restricts() {
		c.addStep(stepFeedback, fields...)
	}
	if isNew && g.feedbackLimiter.Allow(time.Now(), 1) {
		g.log.With(zap.String("request", c.callerID)).Info(stepFeedback, fields...)
	}
}

// checkGate returns why a grant must not be used: the endpoint's feedback forbids it and the grant was made
// without knowing this feedback. It returns NotStopped if the grant may be used.
func (c *call) checkGate(d Decision) backpressure.StopReason {
	gate := &c.gateway.agent.client.gate
	if !gate.IsTracking() {
		return backpressure.NotStopped
	}
	return gate.Check(c.gateway.agent.clock.Now(), d.Endpoint, d.Permit)
}

// isStopped reports whether a grant must not be used, by the endpoint's feedback or a roll-out, and records why.
func (c *call) isStopped(a *attempt) bool {
	if err := c.gateway.agent.client.CheckRestriction(a.decision); err != nil {
		c.reportRestricted(a, err)
		return true
	}
	if why := c.checkGate(a.decision); why != backpressure.NotStopped {
		c.reportStopped(a, why)
		return true
	}
	return false
}

// reportStopped records that a grant is not used and reports the feedback that forbids it to the
// scheduler that granted it.
func (c *call) reportStopped(a *attempt, why backpressure.StopReason) {
	agent := c.gateway.agent
	a.outcome, a.notTried = outcomeStopped, true
	a.err = errors.Errorf("grant not used because of endpoint feedback: %s", why)
	c.gateway.meters.stoppedGrants(why).Inc()
	agent.ObserveFeedback(agent.client.gate.LastReport(agent.clock.Now(), a.decision.Endpoint))
}

func (g *Gateway) countFeedback(f backpressure.Feedback) {
	if f.Limited {
		g.meters.feedback(feedbackLimit).Inc()
	}
	if f.Rest > 0 {
		g.meters.feedback(feedbackCooldown).Inc()
	}
	if f.Leaving {
		g.meters.feedback(feedbackDraining).Inc()
	}
}

func feedbackFields(f backpressure.Feedback) []zap.Field {
	var fields []zap.Field
	if f.Limited {
		fields = append(fields, zap.Float64("limit_per_s", f.Rate))
	}
	if f.Rest > 0 {
		fields = append(fields, zap.Duration("rest", f.Rest))
	}
	if f.Leaving {
		fields = append(fields, zap.Bool("leaving", true))
	}
	return fields
}
