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

// This file is how a call takes what an endpoint asks for in its answer.

// hear takes what an endpoint asks for. The words on an answer of another endpoint than the one that was called
// are of nobody.
func (c *call) hear(a *attempt, r *http.Response) (w backpressure.Feedback) {
	g := c.gateway
	if g.config.Word == nil || r.StatusCode == http.StatusMisdirectedRequest {
		return w
	}
	w, err := g.config.Word(r.StatusCode, r.Header)
	if err != nil {
		g.meters.asked(wordUnread).Inc()
		if g.wordBudget.Allow(time.Now(), 1) {
			g.log.Warn("what an endpoint asks for can't be read", zap.String("endpoint", string(a.decision.Endpoint)),
				zap.String("request", c.callerID), logx.Err(err))
		}
	}
	endpoint := a.decision.Endpoint
	if !w.Restricts() && !g.agent.client.gate.IsLimited(endpoint) {
		return w
	}
	now := g.agent.clock.Now()
	isKept := !a.decision.Alone && a.decision.Permit != backpressure.PermitLegacy
	isNew := g.agent.client.gate.Observe(now, now.Add(-time.Since(a.sent)), endpoint, w, isKept)
	g.agent.Heard(backpressure.Report{Endpoint: endpoint, Request: c.id, Word: w})
	g.countWord(w)
	fields := append(wordFields(w), zap.String("endpoint", string(endpoint)), zap.Int("answered", r.StatusCode))
	if w.Restricts() {
		c.note(stepAsked, fields...)
	}
	if isNew && g.wordBudget.Allow(time.Now(), 1) {
		g.log.With(zap.String("request", c.callerID)).Info(stepAsked, fields...)
	}
	return w
}

// stops reports whether a grant must not be used, and why: the endpoint asked for less than whoever gave it knew.
func (c *call) stops(d Decision) backpressure.StopReason {
	gate := &c.gateway.agent.client.gate
	if !gate.IsTracking() {
		return backpressure.NotStopped
	}
	return gate.Check(c.gateway.agent.clock.Now(), d.Endpoint, d.Permit)
}

// stopped takes note that a grant is not used, and tells who gave it why.
func (c *call) stopped(a *attempt, why backpressure.StopReason) {
	agent := c.gateway.agent
	a.outcome, a.untried = outcomeStopped, true
	a.err = errors.Errorf("stopped by what the endpoint asks for: %s", why)
	c.gateway.meters.stopped(why).Inc()
	agent.Heard(agent.client.gate.LastReport(agent.clock.Now(), a.decision.Endpoint))
}

func (g *Gateway) countWord(w backpressure.Feedback) {
	if w.Limited {
		g.meters.asked(wordLimit).Inc()
	}
	if w.Rest > 0 {
		g.meters.asked(wordRest).Inc()
	}
	if w.Leaving {
		g.meters.asked(wordLeaving).Inc()
	}
}

func wordFields(w backpressure.Feedback) []zap.Field {
	var fields []zap.Field
	if w.Limited {
		fields = append(fields, zap.Float64("limit_per_s", w.Rate))
	}
	if w.Rest > 0 {
		fields = append(fields, zap.Duration("rest", w.Rest))
	}
	if w.Leaving {
		fields = append(fields, zap.Bool("leaving", true))
	}
	return fields
}
