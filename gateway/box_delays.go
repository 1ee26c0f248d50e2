// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"math"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/event"
	"lynxramp.org/overload"
)

// Times of the measurement of a box's delays.
const (
	// delayInterval is how often delays are measured.
	delayInterval = 100 * time.Millisecond
	// limitedInterval is how often they are measured while there is a limit.
	limitedInterval = 50 * time.Millisecond
	// acknowledgementPoll is how often sends are checked while some are watched.
	acknowledgementPoll = 10 * time.Millisecond
	// delayValidity is how long a measured delay counts if there are no new samples, and waitValidity how long a wait of
	// callers' requests does. A single pause of the process delays all that came in it.
	delayValidity = event.Second
	waitValidity  = event.Duration(delayInterval) * 3 / 2
	// smallRequest is the size of a body, in bytes, that arrives at once unless its caller or the link is slow.
	smallRequest = 16 << 10
	// delayLogInterval is the least time between two log lines about delays.
	delayLogInterval = time.Second
	// loggedDelay is the least delay that is logged.
	loggedDelay = 100 * event.Millisecond
)

// boxDelays are how long requests last waited for the box itself, and the limit that follows from it.
type boxDelays struct {
	runQueue   atomic.Int64  // event.Duration
	send       measuredDelay // until bytes sent to endpoints are acknowledged
	connection measuredDelay // until a connection is made
	arrival    measuredDelay // from the acceptance of a caller's connection to the end of its first request
	// commonArrival is what the arrivals of small requests have in common.
	commonArrival measuredDelay
	wait          measuredDelay // from the time when the kernel received a caller's first request until it is handled

	probe controlProbe
	// leastRoundTrip is that of the owner, which may be far away.
	leastRoundTrip overload.LeastDelay

	limiter *overload.Limiter
	limit   atomic.Pointer[overload.Limit] // in force
	// Counts at the last measurement.
	begun, ended uint64 // requests
	accepted     uint64 // connections
}

// measuredDelay is the last median of a delay's samples, or what they have in common.
type measuredDelay struct {
	last atomic.Int64 // event.Duration; 0 if unknown
	at   event.Time   // of the measurement
}

// update takes the median of new samples if there are enough.
func (d *measuredDelay) update(now event.Time, samples *overload.Delays, validity event.Duration) {
	if median, ok := samples.Median(); ok {
		d.last.Store(int64(median))
		d.at = now
	} else if now.Sub(d.at) > validity {
		d.last.Store(0)
	}
}

// updateCommon takes what new samples have in common if there are enough. Samples that are too few for longer than validity are
// discarded.
func (d *measuredDelay) updateCommon(now event.Time, samples *overload.Delays, validity event.Duration) {
	if common, ok := samples.Common(); ok {
		d.last.Store(int64(common))
		d.at = now
	} else if now.Sub(d.at) > validity {
		d.last.Store(0)
		d.at = now
		samples.Discard()
	}
}

func (d *measuredDelay) value() event.Duration { return event.Duration(d.last.Load()) }

// path returns how long the path to endpoints and callers takes, whatever their processes do.
func (d *boxDelays) path() event.Duration {
	return max(d.send.value(), d.connection.value(), d.arrival.value())
}

// measureDelays measures the box's delays, and limits new connections by them, until ctx ends.
func (g *Gateway) measureDelays(ctx context.Context) {
	ticker := time.NewTicker(delayInterval)
	defer ticker.Stop()
	var runQueue overload.RunQueue
	var measured, logged time.Time
	wasWatching := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		isWatching := g.upstream.acknowledgements.Poll()
		if isWatching != wasWatching {
			wasWatching = isWatching
			ticker.Reset(g.pollInterval(isWatching))
		}
		now := time.Now()
		if now.Sub(measured) < g.measureInterval() {
			continue
		}
		measured = now
		g.updateDelays(g.agent.clock.Now(), runQueue.Delay())
		if now.Sub(logged) >= delayLogInterval && g.logDelays() {
			logged = now
		}
	}
}

// pollInterval returns how often delays are checked, depending on whether sends are watched.
func (g *Gateway) pollInterval(isWatching bool) time.Duration {
	if isWatching {
		return acknowledgementPoll
	}
	return limitedInterval
}

// measureInterval returns how often delays are measured.
func (g *Gateway) measureInterval() time.Duration {
	if g.refusesConnections() {
		return limitedInterval
	}
	return delayInterval
}

// updateDelays applies what was measured since the last call.
func (g *Gateway) updateDelays(now event.Time, runQueue event.Duration) {
	d := &g.delays
	d.runQueue.Store(int64(runQueue))
	d.send.update(now, &g.upstream.acknowledgements.Delays, delayValidity)
	d.connection.update(now, &g.upstream.connecting, delayValidity)
	d.arrival.update(now, &g.arrivals, delayValidity)
	d.commonArrival.updateCommon(now, &g.smallArrivals, delayValidity)
	d.wait.update(now, &g.waits, waitValidity)
	if g.config.Listener != nil {
		g.limitConnections(now)
	}
}

// limitConnections limits new connections while the box is overloaded.
func (g *Gateway) limitConnections(now event.Time) {
	d, listener := &g.delays, g.config.Listener
	begun, ended, accepted := g.requestCount.Load(), g.endedCount.Load(), listener.Accepted()
	sample := overload.Sample{
		RunQueue: event.Duration(d.runQueue.Load()), Wait: d.wait.value(), Path: d.path(), Arrival: d.commonArrival.value(),
		Begun: int(begun - d.begun), Ended: int(ended - d.ended), IsReached: listener.Reached(),
	}
	sample.Responses = int(g.responses.Load())
	sample.OwnerRoundTrip, sample.HasOwner = g.agent.OwnerRoundTrip()
	if sample.HasOwner && g.isSuspicious(now, sample.OwnerRoundTrip) {
		sample.Path = max(sample.Path, d.probe.delay(now))
		d.probe.start(now, g.agent)
	}
	limit := d.limiter.Step(now, sample)
	listener.SetLimit(limit.PerSecond, limit.IsPaused)
	g.agent.client.pingOften.Store(limit.IsReached)
	// Requests on connections that callers have kept count as well.
	listener.Spend(sample.Begun - int(accepted-d.accepted))
	d.begun, d.ended, d.accepted = begun, ended, accepted
	if previous := d.limit.Swap(&limit); previous.IsLimited() != limit.IsLimited() {
		g.log.Warn("limit of new connections changed", append(g.delayFields(), zap.Bool("limited", limit.IsLimited()),
			zap.Stringer("reason", limit.Reason), zap.Duration("delay", limit.Delay), zap.Int("begun", sample.Begun))...)
	}
}

// isSuspicious reports whether the owner takes so much longer than usual to answer that the probe has to tell why. Without
// an overload the probe is needed only near the delay that begins one.
func (g *Gateway) isSuspicious(now event.Time, roundTrip event.Duration) bool {
	extra := roundTrip - g.delays.leastRoundTrip.Update(now, roundTrip)
	if g.refusesConnections() {
		return extra > g.config.Overload.Delay/10
	}
	return extra > g.config.Overload.Delay/2
}

// delayFields returns the delays and the limit as log fields.
func (g *Gateway) delayFields() []zap.Field {
	d := &g.delays
	owner, hasOwner := g.agent.OwnerRoundTrip()
	limit := d.limit.Load()
	fields := []zap.Field{
		zap.Duration("run_queue", event.Duration(d.runQueue.Load())), zap.Duration("wait", d.wait.value()), zap.Duration("send", d.send.value()),
		zap.Duration("connection", d.connection.value()), zap.Duration("arrival", d.arrival.value()), zap.Duration("common_arrival", d.commonArrival.value()),
		zap.Duration("owner_round_trip", owner), zap.Bool("has_owner", hasOwner),
		zap.Int64("requests", g.inFlight.Load()), zap.Int64("streams", g.streams.Load()), zap.Int64("responses", g.responses.Load()),
		zap.Float64("limit_per_second", perSecond(*limit)), zap.Bool("paused", limit.IsPaused),
	}
	if g.config.Listener != nil {
		fields = append(fields, zap.Uint64("closures", g.config.Listener.Closures()))
	}
	return fields
}

// perSecond returns a limit for logs and metrics, which have no infinity; 0 without a limit.
func perSecond(l overload.Limit) float64 {
	if !l.IsLimited() {
		return 0
	}
	return l.PerSecond
}

// noLimit returns the limit of a box that is not overloaded.
func noLimit() *overload.Limit { return &overload.Limit{PerSecond: math.Inf(1)} }

// refusesConnections reports whether new connections were refused lately.
func (g *Gateway) refusesConnections() bool { return g.delays.limit.Load().IsReached }

// isDelaying reports whether the box itself may have delayed the requests that end now.
func (g *Gateway) isDelaying() bool { return g.delays.limit.Load().IsDelaying }

// logDelays logs the delays if one of them is long. It reports whether it did.
func (g *Gateway) logDelays() bool {
	owner, _ := g.agent.OwnerRoundTrip()
	if max(event.Duration(g.delays.runQueue.Load()), g.delays.wait.value(), g.delays.path(), owner) < loggedDelay && !g.refusesConnections() {
		return false
	}
	g.log.Warn("requests wait for the box", g.delayFields()...)
	return true
}

// callerConn is a caller's connection.
type callerConn struct {
	conn       net.Conn
	acceptedAt time.Time
	hasBegun   atomic.Bool // its first request has arrived
}

// callerConnKey is the key of a callerConn in the contexts of a connection's requests.
type callerConnKey struct{}

// CallerContext makes a caller's connection known to its requests, and bounds its buffers where the gateway accounts for
// held memory. It is the ConnContext hook of the callers' http.Server.
func (g *Gateway) CallerContext(ctx context.Context, c net.Conn) context.Context {
	if g.memory != nil {
		ctx = ConnContext(ctx, c)
	}
	return context.WithValue(ctx, callerConnKey{}, &callerConn{conn: c, acceptedAt: time.Now()})
}

// measureArrival measures how long the first request of a connection took to arrive, and how long it has waited since.
func (c *call) measureArrival() {
	conn, ok := c.r.Context().Value(callerConnKey{}).(*callerConn)
	if !ok || !conn.hasBegun.CompareAndSwap(false, true) {
		return
	}
	arrival := time.Since(conn.acceptedAt)
	c.gateway.arrivals.Add(arrival)
	if size := c.r.ContentLength; size >= 0 && size <= smallRequest {
		c.gateway.smallArrivals.Add(arrival)
	}
	socket, ok := conn.conn.(syscall.Conn)
	if !ok {
		return
	}
	if wait, ok := overload.SinceReceived(socket); ok {
		c.gateway.waits.Add(wait)
	}
}
