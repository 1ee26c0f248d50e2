// SPDX-License-Identifier: MIT

package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// Limits of the log lines about requests. In a burst hundreds of requests are refused each second, and every
// failed one should have a line.
const (
	// failedLines is the number of lines a second with all steps of failed and late requests.
	failedLines = 30
	// briefLines is the number of further failed and late requests a second that are logged by their
	// last step only: some seven times the load of one of 30 entries under a burst.
	briefLines = 200
	// sampleDivisor selects one in this many successful requests, whose steps are all logged. They are
	// selected by ID, the same fraction under any load.
	sampleDivisor = 32
	// sampledLines is the number of lines a second of sampled successful requests.
	sampledLines = 60
	// feedbackLines is the number of lines a second about endpoints' feedback.
	feedbackLines = 20
	// loadLines is the number of lines a second about invalid load reports.
	loadLines = 2
	// refusedLines is the number of lines a second about responses that exceed a limit.
	refusedLines = 20
)

// The steps of a request, as log messages.
const (
	stepAdmitted   = "admitted"
	stepResumption = "caller resumes a stream"
	stepGranted    = "granted"
	stepRefused    = "refused"
	stepDispatched = "dispatched"
	stepFeedback   = "endpoint feedback received"
	stepFailed     = "attempt failed"
	stepRetried    = "retried"
	stepResumed    = "resumed"
	stepCancelled  = "cancelled"
	stepCut        = "stream cut"
	stepEnded      = "ended"
)

// step is one step of a request with its details.
type step struct {
	name   string
	at     time.Time
	fields []zap.Field
}

// requestRecord keeps the steps of a request until its end, when it is known whether to log them.
type requestRecord struct {
	steps  []step
	failed bool
}

// addStep records a step.
func (c *call) addStep(name string, fields ...zap.Field) {
	c.record.steps = append(c.record.steps, step{name: name, at: time.Now(), fields: fields})
}

// logSteps logs the request, one line a step: all steps of sampled successful requests and, within the limit,
// of failed or late ones, and the last step of the remaining failed or late ones.
func (c *call) logSteps() {
	g, now := c.gateway, time.Now()
	if !c.record.failed {
		if isSampled(c.callerID) && g.sampledLimiter.Allow(now, len(c.record.steps)) {
			c.writeSteps(c.record.steps)
		}
		return
	}
	if g.failedLimiter.Allow(now, len(c.record.steps)) {
		c.writeSteps(c.record.steps)
		return
	}
	if steps := c.record.steps; len(steps) > 0 && g.briefLimiter.Allow(now, 1) {
		c.writeSteps(steps[len(steps)-1:])
	}
}

// isSampled reports whether the request with an ID is logged even if it succeeds.
func isSampled(id string) bool { return xxhash.Sum64String(id)%sampleDivisor == 0 }

func (c *call) writeSteps(steps []step) {
	log := c.gateway.log.With(zap.String("request", c.callerID), zap.String("id", string(c.id)))
	for _, s := range steps {
		log.Info(s.name, append(s.fields, zap.Time("at", s.at), zap.Duration("after", s.at.Sub(c.arrived)))...)
	}
}

// logSuppressed logs how many lines were suppressed, and how many failed requests have no line at all.
func (g *Gateway) logSuppressed() {
	failed, sampled, unlogged, feedback, cut := g.failedLimiter.TakeDropped(), g.sampledLimiter.TakeDropped(), g.briefLimiter.TakeDropped(), g.feedbackLimiter.TakeDropped(), g.cutLimiter.TakeDropped()
	load, refused := g.loadLimiter.TakeDropped(), g.refusedLimiter.TakeDropped()
	if failed+sampled+unlogged+feedback+cut+load+refused > 0 {
		g.log.Info("log lines suppressed", zap.Uint64("of_failed", failed), zap.Uint64("of_others", sampled), zap.Uint64("failed_without_a_line", unlogged),
			zap.Uint64("of_what_endpoints_ask", feedback), zap.Uint64("of_cut_callers", cut), zap.Uint64("of_load_reports", load), zap.Uint64("of_refused_responses", refused))
	}
}
