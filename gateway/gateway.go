// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/backpressure"
	"lynxramp.org/event"
	"lynxramp.org/internal/logx"
	"lynxramp.org/poison"
	"lynxramp.org/routing"
)

// Bounds of what an entry holds.
const (
	maxInFlight = 2000 // requests, where descriptors do not bound them first
	// descriptorsPerRequest is what a request takes of descriptors: its caller's connection
	// and its endpoint's. spareDescriptors are for all else.
	descriptorsPerRequest = 2
	reservedDescriptors   = 400
	// retryAfterNoConfig is what a caller is told who comes while the entry knows no
	// configuration.
	retryAfterNoConfig = 1500 * event.Millisecond
	retryAfterFull     = event.Second
	// retryAfterDraining is what a caller is told whom another entry can serve at once.
	retryAfterDraining = 50 * event.Millisecond
	sweepInterval      = time.Second
)

// Config is what a Gateway needs.
type Config struct {
	Agent *Agent
	Names Names
	// Word reads what an endpoint asks for in an answer; its error names what can't be read. Without it none
	// asks for anything.
	Word func(status int, h http.Header) (backpressure.Word, error)
	// HeldBytes bounds the request bodies that are held at once.
	HeldBytes int64
	// Descriptors is how many the process may have; 0 does not bound what is held.
	Descriptors int
	Log         *zap.Logger
	Entry       event.BoxID
	DataCentre  string // where the entry is; empty if it does not matter
	Life        uint64
}

// Gateway serves callers. It is an http.Handler.
type Gateway struct {
	config        Config
	agent         *Agent
	log           *zap.Logger
	upstream      *upstream
	maxTimeouts   *maxTimeouts
	inFlightLimit int64        // requests
	inFlight      atomic.Int64 // requests
	streams       atomic.Int64 // of these
	bodyBytes     atomic.Int64 // of their bodies
	// bodyIdleTimeout is how long no byte of a body may come.
	bodyIdleTimeout time.Duration
	// callerWriteTimeout is how long a caller may take no byte of its answer.
	callerWriteTimeout time.Duration
	requestCount       atomic.Uint64
	draining           atomic.Bool
	refusesStreams     atomic.Bool // streams are not taken any more
	meters             meters

	failedBudget, briefBudget, sampledBudget, feedbackBudget *logx.Budget
}

// New returns a gateway; Run keeps it tidy.
func New(c Config) *Gateway {
	g := &Gateway{config: c, agent: c.Agent, log: c.Log, upstream: newUpstream(), maxTimeouts: newMaxTimeouts(), inFlightLimit: inFlightLimit(c.Descriptors), bodyIdleTimeout: bodyIdleTimeout, callerWriteTimeout: callerWriteTimeout}
	g.upstream.maxConnections = MayConnect(c.Descriptors)
	g.meters = newMeters(g)
	g.failedBudget, g.briefBudget, g.sampledBudget = logx.NewBudget(failedLines), logx.NewBudget(briefLines), logx.NewBudget(sampledLines)
	g.feedbackBudget = logx.NewBudget(feedbackLines)
	return g
}

// inFlightLimit returns how many requests may be held with so many descriptors.
func inFlightLimit(descriptors int) int64 {
	if descriptors == 0 {
		return maxInFlight
	}
	return int64(min(maxInFlight, MayConnect(descriptors)))
}

// MayConnect returns how many connections callers may have to a process with so many
// descriptors, and as many more it may have to endpoints; 0 is without a bound.
func MayConnect(descriptors int) int {
	if descriptors == 0 {
		return 0
	}
	return max(1, (descriptors-reservedDescriptors)/descriptorsPerRequest)
}

// Run drops connections that are not used until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.upstream.sweep()
			g.maxTimeouts.sweep(time.Now())
			g.logSuppressed()
		}
	}
}

// Ready reports whether new callers may come.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.agent.Table() != nil }

// IdleTimeout returns how long a caller's connection may rest; 0 is without a limit.
func (g *Gateway) IdleTimeout() time.Duration {
	if t := g.agent.LastTable(); t != nil {
		return t.Limits.IdleTimeout
	}
	return 0
}

// Stop says that the process will end: Ready is false from now on.
func (g *Gateway) Stop() { g.draining.Store(true) }

// RefuseStreams says that the process will end sooner than a stream may.
func (g *Gateway) RefuseStreams() { g.refusesStreams.Store(true) }

// Held returns how many requests are under way, and how many of them are streams.
func (g *Gateway) Held() (all, streams int) { return int(g.inFlight.Load()), int(g.streams.Load()) }

// call is one request from its arrival to its last byte.
type call struct {
	gateway         *Gateway
	w               http.ResponseWriter
	r               *http.Request
	table           *routing.Table
	route           *routing.Route
	team            *routing.Team
	service         string
	id              event.RequestID // ours
	callerID        string
	body            []byte
	fingerprint     poison.Print // tells that two calls are of the same request
	promptTokens    int          // tokens
	maxOutputTokens int          // tokens that may be generated at the most
	arrived         time.Time
	arrivedClock    event.Time    // arrived, by the agent's clock
	timeout         time.Duration // how long it may take in all
	attempts        int           // endpoints that the request was sent to
	tried           []event.EndpointID
	wasGranted      bool // it was granted an endpoint before
	wasRefused      bool // its caller was refused before
	// mayHaveRun is set once an endpoint had the request and did not say that it has
	// not run it.
	mayHaveRun bool
	cooldown   event.Span // when some endpoint takes its requests again, as last told; 0 for now
	record     requestRecord

	// Of a stream that has headSent:
	headSent    bool
	lastEventID string
	eventsSent  int
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer g.inFlight.Add(-1)
	if g.inFlight.Add(1) > g.inFlightLimit {
		writeError(w, http.StatusServiceUnavailable, retryAfterFull, "too many requests are held")
		return
	}
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	caller := newCallerWriter(w, g.callerWriteTimeout)
	defer caller.extendDeadline() // for what the server writes after the handler
	c := &call{gateway: g, w: caller, r: r, arrived: time.Now(), arrivedClock: g.agent.clock.Now(), callerID: r.Header.Get(g.config.Names.RequestID)}
	c.id = event.RequestID(fmt.Sprintf("%s-%x-%x", g.config.Entry, g.config.Life&0xffff, g.requestCount.Add(1)))
	c.removeReservedHeaders()
	defer c.logSteps()
	defer c.releaseBody()
	if !c.admit() {
		return
	}
	if c.route.Kind == routing.KindStream {
		g.streams.Add(1)
		defer g.streams.Add(-1)
		if g.refusesStreams.Load() {
			c.respondError(http.StatusServiceUnavailable, retryAfterDraining, "the entry is about to end")
			return
		}
	}
	c.run()
}

// age returns how long ago the request arrived, and left how long it may still take. Both count the time
// for which the computer was suspended, which a deadline by package time would not: endpoints would be given
// more time than the caller waits.
func (c *call) age() time.Duration       { return c.gateway.agent.clock.Now().Sub(c.arrivedClock) }
func (c *call) remaining() time.Duration { return c.timeout - c.age() }

// checkDeadline returns why the call must not go on; nil if it may.
func (c *call) checkDeadline(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if c.remaining() <= 0 {
		return context.DeadlineExceeded
	}
	return nil
}

// removeReservedHeaders takes off what the system alone may tell endpoints, so that nothing that
// copies the request's headers can pass it on. It counts names, never values.
func (c *call) removeReservedHeaders() {
	for _, name := range c.gateway.config.Names.Reserved {
		if _, ok := c.r.Header[http.CanonicalHeaderKey(name)]; ok {
			c.r.Header.Del(name)
			c.gateway.meters.reservedHeaders(name).Inc()
		}
	}
}

// admit finds what the request is and reads it whole. It answers by itself what
// cannot be served.
func (c *call) admit() bool {
	g := c.gateway
	if c.table = g.agent.AwaitTable(c.r.Context()); c.table == nil {
		c.respondError(http.StatusServiceUnavailable, retryAfterNoConfig, "no configuration is known to be the newest")
		return false
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	if c.route = c.table.Match(c.r.Host, path); c.route == nil {
		c.respondError(http.StatusNotFound, 0, "no route")
		return false
	}
	if !c.authenticate() {
		c.respondError(http.StatusUnauthorized, 0, "unknown key")
		return false
	}
	c.service = c.route.Pick(rand.Float64())
	c.timeout = c.route.Timeout
	if ms, err := strconv.ParseFloat(c.r.Header.Get(g.config.Names.Deadline), 64); err == nil && ms > 0 {
		c.timeout = time.Duration(min(float64(c.timeout), ms*float64(time.Millisecond)))
		c.wasRefused = g.maxTimeouts.observe(c.arrived, c.route.Name, c.timeout)
	}
	if !c.readBody() {
		return false
	}
	c.promptTokens, c.maxOutputTokens = c.declaredTokens()
	c.addStep(stepAdmitted, zap.String("route", c.route.Name), zap.String("service", c.service), zap.String("team", c.teamName()),
		zap.Stringer("print", c.fingerprint), zap.Int("rank", c.rank()), zap.Int("prompt_tokens", c.promptTokens), zap.Int("output_tokens", c.maxOutputTokens), zap.Int("guessed_tokens", c.expectedOutputTokens()),
		zap.Duration("left", c.remaining()), zap.Uint64("version", c.table.Version))
	return true
}

// teamName returns the name of the request's team; empty without one.
func (c *call) teamName() string {
	if c.team == nil {
		return ""
	}
	return c.team.Name
}

// version returns the version of the configuration that the request is judged by.
func (c *call) version() uint64 {
	if c.table == nil {
		return 0
	}
	return c.table.Version
}

// authenticate finds the team that holds the request's key. Public routes need none.
func (c *call) authenticate() bool {
	if c.route.Public || len(c.table.Teams) == 0 {
		return true
	}
	scheme, key, ok := strings.Cut(c.r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, c.gateway.config.Names.KeyScheme) {
		return false
	}
	c.team = c.table.Holder(strings.TrimSpace(key))
	return c.team != nil
}

// isStillAllowed reports whether the configuration that is now known to be in force
// lets the request go to an endpoint: its key may have been taken away while it
// waited, and its route may be gone.
func (c *call) isStillAllowed() bool {
	table := c.gateway.agent.Table()
	if table == nil {
		return false
	}
	if table == c.table {
		return true
	}
	c.table = table
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	route := table.Match(c.r.Host, path)
	if route == nil || !splitIncludes(route, c.service) {
		return false
	}
	c.route = route
	return c.authenticate()
}

func splitIncludes(route *routing.Route, service string) bool {
	for _, s := range route.Split {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// respondError answers with a status of our own. A stream that has begun has its status:
// it is cut off instead, so that it does not look whole.
func (c *call) respondError(status int, retryAfter event.Span, why string) {
	if c.headSent {
		c.abortResponse(why, nil)
	}
	c.gateway.meters.countResponse(status, c.rankLabel())
	c.record.failed = true
	c.addStep(stepEnded, zap.Int("status", status), zap.String("why", why), zap.Int("attempts", c.attempts),
		zap.Duration("retry_after", retryAfter), zap.Uint64("version", c.version()))
	writeError(c.w, status, retryAfter, why)
}

func writeError(w http.ResponseWriter, status int, retryAfter event.Span, why string) {
	h := w.Header()
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(why)+1))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(why + "\n")) // a caller that is gone needs no answer
}
