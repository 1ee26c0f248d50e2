// SPDX-License-Identifier: MIT

package fleet

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/gateway"
	"lynxramp.org/internal/logx"
	"lynxramp.org/overload"
)

const (
	// acceptTime is how long an entry that stops accepts all requests, as load balancers still send callers to it: one
	// that asks each second whether it is ready takes it out after two failures.
	acceptTime = 2500 * time.Millisecond
	// acceptShare limits acceptTime to a part of the stop timeout.
	acceptShare = 1.0 / 3
	// exitTime is how long before the stop timeout the requests in flight are given up, at most exitShare of the timeout.
	// It is for their last responses and the end of the process.
	exitTime  = time.Second
	exitShare = 1.0 / 8
	// drainPoll is how often an entry checks what is in flight.
	drainPoll = 20 * time.Millisecond
)

// drainTimes are moments of a planned stop, since its beginning.
type drainTimes struct {
	accept time.Duration // end of the time in which all requests are accepted
	giveUp time.Duration // when requests in flight are given up
	end    time.Duration // when connections are closed, whatever is in flight
}

func newDrainTimes(timeout time.Duration) drainTimes {
	exit := min(exitTime, time.Duration(exitShare*float64(timeout)))
	return drainTimes{
		accept: min(acceptTime, time.Duration(acceptShare*float64(timeout))),
		giveUp: timeout - exit,
		end:    timeout - exit/2,
	}
}

// drain is a planned stop of an entry.
type drain struct {
	gateway  *gateway.Gateway
	listener *overload.Listener
	callers  *http.Server
	conns    *callerConns
	times    drainTimes
	log      *zap.Logger
	began    time.Time
}

// run shuts the entry down. The readiness check fails at once, while requests are still accepted. Then only those are that
// end in time, as long as earlier ones are in flight, and then none. It returns when nothing is in flight, or after it
// has given up what is.
func (d *drain) run() {
	d.began = time.Now()
	d.gateway.StartDraining(d.times.giveUp)
	d.logPhase(gateway.Accepting)
	time.Sleep(d.times.accept)
	d.enter(gateway.Finishing)
	d.wait(d.times.giveUp, func() bool { return d.gateway.AcceptedInFlight() == 0 })
	d.enter(gateway.Refusing)
	d.listener.Refuse()
	isDone := func() bool { return d.conns.closeUnused() == 0 && !d.listener.HasPending() }
	if !d.wait(d.times.giveUp, isDone) {
		d.enter(gateway.Stopped)
		d.wait(d.times.end, isDone)
	}
	connections := d.conns.closeUnused()
	all, streams := d.gateway.InFlight()
	d.gateway.ReportClosed()
	err := d.callers.Close()
	d.log.Info("callers' server closed", zap.Int("held", all), zap.Int("streams", streams), zap.Int("connections", connections), zap.Duration("after", time.Since(d.began)), logx.Err(err))
}

// wait waits until done, or until a time since the beginning; it returns whether it is done.
func (d *drain) wait(until time.Duration, done func() bool) bool {
	for time.Since(d.began) < until {
		if done() {
			return true
		}
		time.Sleep(min(drainPoll, max(0, until-time.Since(d.began))))
	}
	return done()
}

func (d *drain) enter(p gateway.DrainPhase) {
	d.gateway.SetDrainPhase(p)
	d.logPhase(p)
}

func (d *drain) logPhase(p gateway.DrainPhase) {
	all, streams := d.gateway.InFlight()
	d.log.Info("stops", zap.Stringer("phase", p), zap.Int("held", all), zap.Int("streams", streams), zap.Duration("after", time.Since(d.began)))
}
