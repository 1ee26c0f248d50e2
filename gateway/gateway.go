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
	maxHeld = 2000 // requests, where descriptors do not bound them first
	// heldDescriptors is what a request takes of descriptors: its caller's connection
	// and its endpoint's. spareDescriptors are for all else.
	heldDescriptors  = 2
	spareDescriptors = 400
	// retryUnready is what a caller is told who comes while the entry knows no
	// configuration.
	retryUnready = 1500 * event.Millisecond
	retryFull    = event.Second
	// retryElsewhere is what a caller is told whom another entry can serve at once.
	retryElsewhere = 50 * event.Millisecond
	sweepEvery     = time.Second
)

// Config is what a Gateway needs.
type Config struct {
	Agent *Agent
	Names Names
	// Word reads what an endpoint asks for in an answer; its error names what can't be read. Without it none
	// asks for anything.
	Word func(status int, h http.Header) (backpressure.Feedback, error)
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
	config   Config
	agent    *Agent
	log      *zap.Logger
	upstream *upstream
	longest  *longest
	mayHold  int64        // requests
	held     atomic.Int64 // requests
	streams  atomic.Int64 // of these
	bytes    atomic.Int64 // of their bodies
	// bodySilence is how long no byte of a body may come.
	bodySilence time.Duration
	// callerSilence is how long a caller may take no byte of its answer.
	callerSilence time.Duration
	count         atomic.Uint64
	stopping      atomic.Bool
	closing       atomic.Bool // streams are not taken any more
	meters        meters

	failedBudget, briefBudget, wellBudget, wordBudget *logx.Budget
}

// New returns a gateway; Run keeps it tidy.
func New(c Config) *Gateway {
	g := &Gateway{config: c, agent: c.Agent, log: c.Log, upstream: newUpstream(), longest: newLongest(), mayHold: mayHold(c.Descriptors), bodySilence: bodySilence, callerSilence: callerSilence}
	g.upstream.most = MayConnect(c.Descriptors)
	g.meters = newMeters(g)
	g.failedBudget, g.briefBudget, g.wellBudget = logx.NewBudget(failedLines), logx.NewBudget(briefLines), logx.NewBudget(wellLines)
	g.wordBudget = logx.NewBudget(wordLines)
	return g
}

// mayHold returns how many requests may be held with so many descriptors.
func mayHold(descriptors int) int64 {
	if descriptors == 0 {
		return maxHeld
	}
	return int64(min(maxHeld, MayConnect(descriptors)))
}

// MayConnect returns how many connections callers may have to a process with so many
// descriptors, and as many more it may have to endpoints; 0 is without a bound.
func MayConnect(descriptors int) int {
	if descriptors == 0 {
		return 0
	}
	return max(1, (descriptors-spareDescriptors)/heldDescriptors)
}

// Run drops connections that are not used until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.upstream.sweep()
			g.longest.sweep(time.Now())
			g.tellLeftOut()
		}
	}
}

// Ready reports whether new callers may come.
func (g *Gateway) Ready() bool { return !g.stopping.Load() && g.agent.Table() != nil }

// IdleTimeout returns how long a caller's connection may rest; 0 is without a limit.
func (g *Gateway) IdleTimeout() time.Duration {
	if t := g.agent.LastTable(); t != nil {
		return t.Limits.IdleTimeout
	}
	return 0
}

// Stop says that the process will end: Ready is false from now on.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// RefuseStreams says that the process will end sooner than a stream may.
func (g *Gateway) RefuseStreams() { g.closing.Store(true) }

// Held returns how many requests are under way, and how many of them are streams.
func (g *Gateway) Held() (all, streams int) { return int(g.held.Load()), int(g.streams.Load()) }

// call is one request from its arrival to its last byte.
type call struct {
	gateway  *Gateway
	w        http.ResponseWriter
	r        *http.Request
	table    *routing.Table
	route    *routing.Route
	team     *routing.Team
	service  string
	id       event.RequestID // ours
	callerID string
	body     []byte
	print    poison.Fingerprint // tells that two calls are of the same request
	prompt   int                // tokens
	output   int                // tokens that may be generated at the most
	arrived  time.Time
	came     event.Time    // arrived, by the agent's clock
	allowed  time.Duration // how long it may take in all
	attempts int           // endpoints that the request was sent to
	avoid    []event.EndpointID
	placed   bool // it was granted an endpoint before
	returned bool // its caller was refused before
	// mayHaveRun is set once an endpoint had the request and did not say that it has
	// not run it.
	mayHaveRun bool
	comeBack   event.Duration // when some endpoint takes its requests again, as last told; 0 for now
	record     record

	// Of a stream that has begun:
	begun     bool
	lastEvent string
	events    int
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer g.held.Add(-1)
	if g.held.Add(1) > g.mayHold {
		refuse(w, http.StatusServiceUnavailable, retryFull, "too many requests are held")
		return
	}
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	caller := newCallerWriter(w, g.callerSilence)
	defer caller.extend() // for what the server writes after the handler
	c := &call{gateway: g, w: caller, r: r, arrived: time.Now(), came: g.agent.clock.Now(), callerID: r.Header.Get(g.config.Names.RequestID)}
	c.id = event.RequestID(fmt.Sprintf("%s-%x-%x", g.config.Entry, g.config.Life&0xffff, g.count.Add(1)))
	c.dropReserved()
	defer c.writeRecord()
	defer c.dropBody()
	if !c.admit() {
		return
	}
	if c.route.Kind == routing.KindStream {
		g.streams.Add(1)
		defer g.streams.Add(-1)
		if g.closing.Load() {
			c.end(http.StatusServiceUnavailable, retryElsewhere, "the entry is about to end")
			return
		}
	}
	c.run()
}

// age returns how long ago the request arrived, and left how long it may still take. Both count the time
// for which the computer was suspended, which a deadline by package time would not: endpoints would be given
// more time than the caller waits.
func (c *call) age() time.Duration  { return c.gateway.agent.clock.Now().Sub(c.came) }
func (c *call) left() time.Duration { return c.allowed - c.age() }

// over returns why the call must not go on; nil if it may.
func (c *call) over(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if c.left() <= 0 {
		return context.DeadlineExceeded
	}
	return nil
}

// dropReserved takes off what the system alone may tell endpoints, so that nothing that
// copies the request's headers can pass it on. It counts names, never values.
func (c *call) dropReserved() {
	for _, name := range c.gateway.config.Names.Reserved {
		if _, ok := c.r.Header[http.CanonicalHeaderKey(name)]; ok {
			c.r.Header.Del(name)
			c.gateway.meters.reserved(name).Inc()
		}
	}
}

// admit finds what the request is and reads it whole. It answers by itself what
// cannot be served.
func (c *call) admit() bool {
	g := c.gateway
	if c.table = g.agent.AwaitTable(c.r.Context()); c.table == nil {
		c.end(http.StatusServiceUnavailable, retryUnready, "no configuration is known to be the newest")
		return false
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	if c.route = c.table.Match(c.r.Host, path); c.route == nil {
		c.end(http.StatusNotFound, 0, "no route")
		return false
	}
	if !c.identify() {
		c.end(http.StatusUnauthorized, 0, "unknown key")
		return false
	}
	c.service = c.route.Pick(rand.Float64())
	c.allowed = c.route.Timeout
	if ms, err := strconv.ParseFloat(c.r.Header.Get(g.config.Names.Deadline), 64); err == nil && ms > 0 {
		c.allowed = time.Duration(min(float64(c.allowed), ms*float64(time.Millisecond)))
		c.returned = g.longest.isShort(c.arrived, c.route.Name, c.allowed)
	}
	if !c.readBody() {
		return false
	}
	c.prompt, c.output = c.tokens()
	c.note(stepAdmitted, zap.String("route", c.route.Name), zap.String("service", c.service), zap.String("team", c.teamName()),
		zap.Stringer("print", c.print), zap.Int("rank", c.rank()), zap.Int("prompt_tokens", c.prompt), zap.Int("output_tokens", c.output), zap.Int("guessed_tokens", c.guess()),
		zap.Duration("left", c.left()), zap.Uint64("version", c.table.Version))
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

// identify finds the team that holds the request's key. Public routes need none.
func (c *call) identify() bool {
	if c.route.Public || len(c.table.Teams) == 0 {
		return true
	}
	scheme, key, ok := strings.Cut(c.r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, c.gateway.config.Names.KeyScheme) {
		return false
	}
	c.team = c.table.TeamByKey(strings.TrimSpace(key))
	return c.team != nil
}

// stillAllowed reports whether the configuration that is now known to be in force
// lets the request go to an endpoint: its key may have been taken away while it
// waited, and its route may be gone.
func (c *call) stillAllowed() bool {
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
	if route == nil || !allows(route, c.service) {
		return false
	}
	c.route = route
	return c.identify()
}

func allows(route *routing.Route, service string) bool {
	for _, s := range route.Split {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// end answers with a status of our own. A stream that has begun has its status:
// it is cut off instead, so that it does not look whole.
func (c *call) end(status int, retryAfter event.Duration, why string) {
	if c.begun {
		c.cut(why, nil)
	}
	c.gateway.meters.ended(status, c.rankLabel())
	c.record.failed = true
	c.note(stepEnded, zap.Int("status", status), zap.String("why", why), zap.Int("attempts", c.attempts),
		zap.Duration("retry_after", retryAfter), zap.Uint64("version", c.version()))
	refuse(c.w, status, retryAfter, why)
}

func refuse(w http.ResponseWriter, status int, retryAfter event.Duration, why string) {
	h := w.Header()
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(why)+1))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(why + "\n")) // a caller that is gone needs no answer
}
