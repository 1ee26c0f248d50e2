// SPDX-License-Identifier: MIT

package gateway

import (
	"net/http"
	"time"

	"lynxramp.org/event"
)

// DrainPhase is how far a planned stop has come.
type DrainPhase int32

// The phases, in order.
const (
	// NotDraining: the gateway serves.
	NotDraining DrainPhase = iota
	// Accepting: it isn't ready, but load balancers still send callers, whose requests are accepted. Their deadlines end
	// with the stop.
	Accepting
	// Finishing: only requests are accepted whose deadlines end before the stop does.
	Finishing
	// Refusing: no requests are accepted.
	Refusing
	// Stopped: the requests in flight are given up.
	Stopped
)

// String returns the phase as used in logs.
func (p DrainPhase) String() string {
	return [...]string{"serving", "accepting", "finishing", "refusing", "stopped"}[p]
}

// StartDraining makes Ready false and has callers' connections closed after their responses. The requests in flight will
// be given up after timeout, which is told to those that arrive from now on.
func (g *Gateway) StartDraining(timeout time.Duration) {
	g.stopAt.Store(int64(g.agent.clock.Now().Add(timeout)))
	g.phase.Store(int32(Accepting))
}

// SetDrainPhase moves on to a later phase of the stop. Stopped gives up the requests in flight: those that no endpoint
// has are answered, the others end as if their time were up. Complete responses are handed over to the kernel.
func (g *Gateway) SetDrainPhase(p DrainPhase) {
	g.phase.Store(int32(p))
	if p == Stopped {
		g.endInFlight()
	}
}

func (g *Gateway) drainPhase() DrainPhase { return DrainPhase(g.phase.Load()) }

// AcceptedInFlight returns the number of requests in flight that arrived before the phase Finishing.
func (g *Gateway) AcceptedInFlight() int { return int(g.inFlight.Load() - g.late.Load()) }

// hasStopped reports whether the requests in flight are given up.
func (g *Gateway) hasStopped() bool { return g.stopped.Err() != nil }

// fitsStop limits the call's time to that of a planned stop. It returns false for a request that must be refused, as it
// might not end in time.
func (c *call) fitsStop() bool {
	phase := c.gateway.drainPhase()
	if phase == NotDraining {
		return true
	}
	left := event.Time(c.gateway.stopAt.Load()).Sub(c.arrivedClock)
	if phase >= Refusing || phase == Finishing && c.timeout > left {
		return false
	}
	c.timeout = min(c.timeout, max(left, time.Millisecond))
	return true
}

// refuseForStop refuses a request because of a planned stop. Its caller finds another entry at once.
func (c *call) refuseForStop() {
	c.gateway.meters.stopRefusals().Inc()
	c.respondError(http.StatusServiceUnavailable, retryAfterDraining, "the entry is shutting down")
}
