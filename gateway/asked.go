// SPDX-License-Identifier: MIT

package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/backpressure"
	"lynxramp.org/internal/logx"
)

// This file is how a call takes what an endpoint asks for in its answer.

// hear takes what an endpoint asks for. The words on an answer of another endpoint than the one that was called
// are of nobody.
func (c *call) hear(a *attempt, r *http.Response) {
	g := c.gateway
	if g.config.Word == nil || r.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	w, err := g.config.Word(r.StatusCode, r.Header)
	if err != nil {
		g.meters.asked("unread")
		if g.wordBudget.Allow(time.Now(), 1) {
			g.log.Warn("what an endpoint asks for can't be read", zap.String("endpoint", string(a.decision.Endpoint)),
				zap.String("request", c.callerID), logx.Err(err))
		}
	}
	if !w.Asks() {
		return
	}
	g.countWord(w)
	fields := append(wordFields(w), zap.String("endpoint", string(a.decision.Endpoint)), zap.Int("answered", r.StatusCode))
	c.note(stepAsked, fields...)
	if g.wordBudget.Allow(time.Now(), 1) {
		g.log.With(zap.String("request", c.callerID)).Info(stepAsked, fields...)
	}
}

func (g *Gateway) countWord(w backpressure.Word) {
	if w.Limited {
		g.meters.asked("limit")
	}
	if w.Rest > 0 {
		g.meters.asked("rest")
	}
	if w.Leaving {
		g.meters.asked("leaving")
	}
}

func wordFields(w backpressure.Word) []zap.Field {
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
