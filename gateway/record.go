// SPDX-License-Identifier: MIT

package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// Lines that an entry writes about requests. The load that they answer is a burst in which
// hundreds a second are refused: whoever counts from the log must find each of these.
const (
	// failedLines is how many a second tell all steps of requests that failed or were late.
	failedLines = 30
	// briefLines is how many such requests a second beyond these have one line, their last
	// step: some seven times the 30 requests a second that each of 30 entries was asked under
	// a burst.
	briefLines = 200
	// sampleDivisor is the part of the requests that did well, as a divisor, that have all their
	// steps written: chosen by their ids, the same part under any load.
	sampleDivisor = 32
	// sampledLines bounds these, in lines a second.
	sampledLines = 60
	// feedbackLines bounds the lines a second about what endpoints ask for.
	feedbackLines = 20
)

// The steps of a request's life as the log has them.
const (
	stepAdmitted   = "admitted"
	stepGranted    = "granted"
	stepRefused    = "refused"
	stepDispatched = "dispatched"
	stepFeedback   = "endpoint asks"
	stepFailed     = "attempt failed"
	stepRetried    = "repeated"
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

// requestRecord keeps the decisions on a request until its end: only then is it known
// whether they are worth their lines.
type requestRecord struct {
	steps  []step
	failed bool
}

// addStep keeps a decision.
func (c *call) addStep(name string, fields ...zap.Field) {
	c.record.steps = append(c.record.steps, step{name: name, at: time.Now(), fields: fields})
}

// logSteps writes what was decided on the request: all steps, a line each, of some of those
// that did well and of as many as there is room for of the others, and the last one of the rest.
func (c *call) logSteps() {
	g, now := c.gateway, time.Now()
	if !c.record.failed {
		if isSampled(c.callerID) && g.sampledBudget.Allow(now, len(c.record.steps)) {
			c.writeSteps(c.record.steps)
		}
		return
	}
	if g.failedBudget.Allow(now, len(c.record.steps)) {
		c.writeSteps(c.record.steps)
		return
	}
	if steps := c.record.steps; len(steps) > 0 && g.briefBudget.Allow(now, 1) {
		c.writeSteps(steps[len(steps)-1:])
	}
}

// isSampled reports whether the request of an id is of the part whose lines are written though
// it did well.
func isSampled(id string) bool { return xxhash.Sum64String(id)%sampleDivisor == 0 }

func (c *call) writeSteps(steps []step) {
	log := c.gateway.log.With(zap.String("request", c.callerID), zap.String("id", string(c.id)))
	for _, s := range steps {
		log.Info(s.name, append(s.fields, zap.Time("at", s.at), zap.Duration("after", s.at.Sub(c.arrived)))...)
	}
}

// logSuppressed writes how many lines about requests were left out, and how many requests that
// failed have no line at all.
func (g *Gateway) logSuppressed() {
	failed, well, unnamed, words := g.failedBudget.TakeLeftOut(), g.sampledBudget.TakeLeftOut(), g.briefBudget.TakeLeftOut(), g.feedbackBudget.TakeLeftOut()
	if failed+well+unnamed+words > 0 {
		g.log.Info("lines left out", zap.Uint64("of_failed", failed), zap.Uint64("of_others", well), zap.Uint64("failed_without_a_line", unnamed),
			zap.Uint64("of_what_endpoints_ask", words))
	}
}
