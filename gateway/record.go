// SPDX-License-Identifier: MIT

package gateway

import (
	"time"

	"go.uber.org/zap"

	"lynxramp.org/internal/logx"
)

// Lines a second that an entry writes about requests. Those that failed or were
// late are kept before those that did well.
const (
	failedLines = 30
	wellLines   = 6
)

// The steps of a request's life as the log has them.
const (
	stepAdmitted   = "admitted"
	stepGranted    = "granted"
	stepRefused    = "refused"
	stepDispatched = "dispatched"
	stepFailed     = "attempt failed"
	stepRepeated   = "repeated"
	stepResumed    = "resumed"
	stepCancelled  = "cancelled"
	stepCut        = "stream cut"
	stepEnded      = "ended"
)

// step is a decision on a request with what decided it.
type step struct {
	name   string
	at     time.Time
	fields []zap.Field
}

// record keeps the decisions on a request until its end: only then is it known
// whether they are worth their lines.
type record struct {
	steps  []step
	failed bool
}

// note keeps a decision.
func (c *call) note(name string, fields ...zap.Field) {
	c.record.steps = append(c.record.steps, step{name: name, at: time.Now(), fields: fields})
}

// writeRecord writes what was decided on the request, a line each, if the budget
// allows all of them.
func (c *call) writeRecord() {
	g := c.gateway
	budget := g.wellBudget
	if c.record.failed {
		budget = g.failedBudget
	}
	if !budget.Allow(time.Now(), len(c.record.steps)) {
		return
	}
	log := g.log.With(zap.String("request", c.callerID), zap.String("id", string(c.id)))
	for _, s := range c.record.steps {
		log.Info(s.name, append(s.fields, zap.Time("at", s.at), zap.Duration("after", s.at.Sub(c.arrived)))...)
	}
}

// tellLeftOut writes how many lines about requests were left out.
func (g *Gateway) tellLeftOut() {
	failed, well := g.failedBudget.TakeLeftOut(), g.wellBudget.TakeLeftOut()
	if failed+well > 0 {
		g.log.Info("lines left out", zap.Uint64("of_failed", failed), zap.Uint64("of_others", well))
	}
}

func newBudgets() (failed, well *logx.Budget) {
	return logx.NewBudget(failedLines), logx.NewBudget(wellLines)
}
