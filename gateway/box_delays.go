// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/event"
	"lynxramp.org/overload"
)

// Times of the measurement of a box's delays.
const (
	// delayInterval is how often delays are measured.
	delayInterval = 100 * time.Millisecond
	// acknowledgementPoll is how often sends are checked while some are watched.
	acknowledgementPoll = 10 * time.Millisecond
	// delayLogInterval is the least time between two log lines about delays.
	delayLogInterval = time.Second
	// loggedDelay is the least delay that is logged.
	loggedDelay = 100 * event.Millisecond
)

// boxDelays are how long requests last waited for the box itself, and what it depends on.
type boxDelays struct {
	runQueue        atomic.Int64 // event.Duration
	acknowledgement atomic.Int64 // event.Duration; of sends to endpoints
	acknowledgedAt  event.Time   // when acknowledgement was measured
}

// acknowledgementValidity is how long a measured acknowledgement counts if nothing more is sent.
const acknowledgementValidity = event.Second

// measureDelays measures the box's delays until ctx ends.
func (g *Gateway) measureDelays(ctx context.Context) {
	ticker := time.NewTicker(acknowledgementPoll)
	defer ticker.Stop()
	var runQueue overload.RunQueue
	var measured, logged time.Time
	isPolling := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		watches := g.upstream.acknowledgements.Poll()
		now := time.Now()
		if now.Sub(measured) >= delayInterval {
			measured = now
			g.updateDelays(runQueue.Delay())
			if now.Sub(logged) >= delayLogInterval && g.logDelays() {
				logged = now
			}
		}
		if watches != isPolling {
			isPolling = watches
			ticker.Reset(pollInterval(watches))
		}
	}
}

// pollInterval returns how often delays are checked, depending on whether sends are watched.
func pollInterval(watches bool) time.Duration {
	if watches {
		return acknowledgementPoll
	}
	return delayInterval
}

func (g *Gateway) updateDelays(runQueue event.Duration) {
	d := &g.delays
	now := g.agent.clock.Now()
	d.runQueue.Store(int64(runQueue))
	if median, ok := g.upstream.acknowledgements.Median(); ok {
		d.acknowledgement.Store(int64(median))
		d.acknowledgedAt = now
	} else if now.Sub(d.acknowledgedAt) > acknowledgementValidity {
		d.acknowledgement.Store(0)
	}
}

// logDelays logs the delays if one of them is long. It reports whether it did.
func (g *Gateway) logDelays() bool {
	runQueue, acknowledgement := event.Duration(g.delays.runQueue.Load()), event.Duration(g.delays.acknowledgement.Load())
	owner, hasOwner := g.agent.OwnerRoundTrip()
	if max(runQueue, acknowledgement, owner) < loggedDelay {
		return false
	}
	g.log.Warn("requests wait for the box", zap.Duration("run_queue", runQueue), zap.Duration("acknowledgement", acknowledgement),
		zap.Duration("owner_round_trip", owner), zap.Bool("has_owner", hasOwner), zap.Int64("requests", g.inFlight.Load()),
		zap.Int64("streams", g.streams.Load()), zap.Uint64("begun", g.requestCount.Load()), zap.Int("endpoint_connections", g.upstream.connections()))
	return true
}
