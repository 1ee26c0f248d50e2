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
	"lynxramp.org/heldmem"
	"lynxramp.org/internal/logx"
	"lynxramp.org/overload"
	"lynxramp.org/poison"
	"lynxramp.org/routing"
)

// Limits on what an entry holds.
const (
	maxInFlight = 2000 // requests, if file descriptors and memory don't impose a lower limit
	// requestBytes is the memory of a request beside the account: stacks, buffers and heads of both connections, and what
	// it may hold of a response without the account. requestsShare is the part of the memory that all may take.
	requestBytes  = 48 << 10
	requestsShare = 0.4
	// descriptorsPerRequest counts the caller's connection and the endpoint's;
	// reservedDescriptors are for everything else.
	descriptorsPerRequest = 2
	reservedDescriptors   = 400
	// retryAfterNoConfig is the Retry-After while the entry has no valid configuration.
	retryAfterNoConfig = 1500 * event.Millisecond
	retryAfterFull     = event.Second
	// retryAfterDraining is the Retry-After if another entry can serve the request at once.
	retryAfterDraining = 50 * event.Millisecond
	sweepInterval      = time.Second
	// tooManyHeld is the response to a request beyond the limit of requests in flight.
	tooManyHeld = "too many requests are held"
	// maxCallerTimeoutMillis limits a caller's timeout, in milliseconds, to what a Duration can hold.
	maxCallerTimeoutMillis = 1e12
)

// Config configures a Gateway.
type Config struct {
	Agent   *Agent
	Headers HeaderNames
	// ParseFeedback reads the feedback in an endpoint's response; its error names the last header
	// that cannot be parsed. If it is nil, responses carry no feedback.
	ParseFeedback func(status int, h http.Header) (backpressure.Feedback, error)
	// ParseLoad reads the load report in an endpoint's response; false means that there is none. If
	// ParseLoad is nil, responses carry no reports.
	ParseLoad func(h http.Header) (backpressure.Load, bool, error)
	// MaxHeldBytes limits the total size of the request bodies held at once.
	MaxHeldBytes int64
	// HeldMemory turns on the account of held memory, which replaces MaxHeldBytes; nil is off.
	HeldMemory *HeldMemory
	// AccountBytes limits, without HeldMemory, the account of what is held of endpoints' responses, which may take three
	// quarters of it. 0 is 32 MiB.
	AccountBytes int64
	// MaxHead limits the heads of one response in bytes; 0 is 64 KiB.
	MaxHead int
	// Descriptors is the process's limit of file descriptors, and Memory that of its memory in bytes; 0 sets no limit from
	// them.
	Descriptors int
	Memory      int64
	// Listener accepts the callers' connections. It is limited while the box is overloaded, as Overload says; without
	// it, nothing is.
	Listener   *overload.Listener
	Overload   overload.Config
	Log        *zap.Logger
	Entry      event.BoxID
	DataCentre string // of the entry; empty if data centres don't matter
	Instance   uint64
}

// Gateway accepts callers' requests. It is an http.Handler; CallerContext is the ConnContext hook of its server.
type Gateway struct {
	config        Config
	agent         *Agent
	log           *zap.Logger
	upstream      *upstream
	inFlightLimit int64        // requests
	inFlight      atomic.Int64 // requests
	streams       atomic.Int64 // requests in flight whose route is a stream
	responses     atomic.Int64 // of endpoints that are being passed on
	bodyBytes     atomic.Int64 // of request bodies held
	// bodyIdleTimeout is the longest pause in receiving a request body.
	bodyIdleTimeout time.Duration
	// callerWriteTimeout is the longest time in which a caller may accept no byte of its response.
	callerWriteTimeout time.Duration
	requestCount       atomic.Uint64
	endedCount         atomic.Uint64   // requests
	phase              atomic.Int32    // DrainPhase
	stopAt             atomic.Int64    // event.Time at which a planned stop gives up the requests in flight
	stopped            context.Context // ends when the requests in flight are given up, by giveUpAll
	giveUpAll          context.CancelFunc
	late               atomic.Int64 // requests in flight that arrived in the phase Finishing or later
	calls              *callSet     // in flight
	meters             meters
	memory             *heldMemory // nil without the account of held memory
	account            *heldmem.Account
	delays             boxDelays
	arrivals           overload.Delays // of the first requests of callers' connections
	smallArrivals      overload.Delays // of those with a small body
	waits              overload.Delays // of these requests for the process

	// Limits of log lines, see record.go.
	failedLimiter, briefLimiter, sampledLimiter, feedbackLimiter, cutLimiter, loadLimiter, refusedLimiter *logx.RateLimiter
}

// New returns a gateway. Run closes its idle connections and logs what was suppressed.
func New(c Config) *Gateway {
	g := &Gateway{config: c, agent: c.Agent, log: c.Log, calls: newCallSet(), upstream: newUpstream(), inFlightLimit: inFlightLimit(c.Descriptors, c.Memory), bodyIdleTimeout: bodyIdleTimeout, callerWriteTimeout: callerWriteTimeout}
	g.stopped, g.giveUpAll = context.WithCancel(context.Background())
	g.upstream.maxConnections = MaxConnections(c.Descriptors)
	g.delays.limiter, g.delays.leastRoundTrip = overload.NewLimiter(c.Overload), overload.NewLeastDelay()
	g.delays.limit.Store(noLimit())
	if c.MaxHead > 0 {
		g.upstream.maxHead = c.MaxHead
	}
	g.memory = newHeldMemory(c.HeldMemory)
	g.account = newAccount(c, g.memory)
	g.upstream.memory = g.memory
	g.meters = newMeters(g)
	g.failedLimiter, g.briefLimiter, g.sampledLimiter = logx.NewRateLimiter(failedLines), logx.NewRateLimiter(briefLines), logx.NewRateLimiter(sampledLines)
	g.feedbackLimiter, g.cutLimiter, g.loadLimiter = logx.NewRateLimiter(feedbackLines), logx.NewRateLimiter(cutLines), logx.NewRateLimiter(loadLines)
	g.refusedLimiter = logx.NewRateLimiter(refusedLines)
	return g
}

// inFlightLimit returns the limit of requests in flight for a number of file descriptors and bytes of memory.
func inFlightLimit(descriptors int, memory int64) int64 {
	limit := int64(maxInFlight)
	if descriptors > 0 {
		limit = min(limit, int64(MaxConnections(descriptors)))
	}
	if memory > 0 {
		limit = min(limit, max(1, int64(requestsShare*float64(memory))/requestBytes))
	}
	return limit
}

// MaxConnections returns how many connections from callers a process with a number of file
// descriptors may have, which is also the limit of its connections to endpoints; 0 is no limit.
func MaxConnections(descriptors int) int {
	if descriptors == 0 {
		return 0
	}
	return max(1, (descriptors-reservedDescriptors)/descriptorsPerRequest)
}

// Run closes unused connections periodically and measures the box's delays until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	go g.measureDelays(ctx)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.upstream.sweep()
			g.reclaimMemory()
			g.logSuppressed()
		}
	}
}

// Ready reports whether the gateway accepts new callers.
func (g *Gateway) Ready() bool { return g.drainPhase() == NotDraining && g.agent.Table() != nil }

// IdleTimeout returns how long a caller's connection may be idle; 0 is no limit.
func (g *Gateway) IdleTimeout() time.Duration {
	if t := g.agent.LastTable(); t != nil {
		return t.Limits.IdleTimeout
	}
	return 0
}

// InFlight returns the number of requests in flight, and how many of them are streams.
func (g *Gateway) InFlight() (all, streams int) { return int(g.inFlight.Load()), int(g.streams.Load()) }

// call is one request from its arrival to its last byte.
type call struct {
	gateway         *Gateway
	w               *callerWriter
	r               *http.Request
	table           *routing.Table
	route           *routing.Route
	team            *routing.Team
	service         string
	id              event.RequestID // assigned by this entry
	callerID        string
	body            []byte
	fingerprint     poison.Fingerprint // equal for two sends of the same request
	parts           []string           // IDs of the parts of the prompt that other requests may have
	partKeys        []poison.Fingerprint
	promptTokens    int
	maxOutputTokens int // upper bound of the tokens to generate
	arrived         time.Time
	arrivedClock    event.Time    // arrival by the agent's clock
	timeout         time.Duration // total time allowed
	callerTimeout   time.Duration // as the caller gave it; 0 if it gave none
	attempts        int           // how often it was sent to an endpoint
	tried           []event.EndpointID
	wasGranted      bool // an endpoint was granted before
	// mayHaveRun is set once an endpoint received the request and did not state that it did not
	// run it.
	mayHaveRun bool
	cooldown   event.Duration // Retry-After of a refusal because of cooldowns; 0 if none
	record     requestRecord
	awaited    callAwaited

	stream *StreamRequest // nil if it can't be resumed
	// isBound is set once the first event arrived, if the version of its endpoint is known: only endpoints of
	// boundVersion may continue the stream.
	isBound      bool
	boundVersion string

	// Once the head of a response was sent:
	headSent   bool
	relay      *relay // nil without the account of held memory
	relayError error  // of passing the response on
	// Bytes that the account holds for the body, and for heads, events and whole bodies of responses.
	bodyMemory, headBytes, eventBytes, responseBytes int64

	lastEventID string
	eventsSent  int
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer g.inFlight.Add(-1)
	if g.inFlight.Add(1) > g.inFlightLimit {
		g.refuseFull(w, r)
		return
	}
	defer g.endedCount.Add(1)
	if g.drainPhase() != NotDraining || g.refusesConnections() {
		w.Header().Set("Connection", "close")
	}
	if g.drainPhase() >= Finishing {
		g.late.Add(1)
		defer g.late.Add(-1)
	}
	caller := newCallerWriter(w, g.callerWriteTimeout)
	caller.isClosing = func() bool { return g.drainPhase() != NotDraining }
	defer caller.extendDeadline() // covers what net/http writes after the handler returns
	c := &call{gateway: g, w: caller, r: r, arrived: time.Now(), arrivedClock: g.agent.clock.Now(), callerID: r.Header.Get(g.config.Headers.RequestID)}
	c.id = event.RequestID(fmt.Sprintf("%s-%x-%x", g.config.Entry, g.config.Instance&0xffff, g.requestCount.Add(1)))
	g.calls.add(c)
	defer g.calls.remove(c)
	c.removeReservedHeaders()
	defer c.logSteps()
	defer c.releaseBody()
	defer c.releaseReceived()
	c.newRelay()
	defer c.closeRelay()
	if !c.admit() {
		return
	}
	if c.route.Kind == routing.KindStream {
		g.streams.Add(1)
		defer g.streams.Add(-1)
	}
	c.run()
}

// refuseFull refuses a request because the limit of requests in flight is reached.
func (g *Gateway) refuseFull(w http.ResponseWriter, r *http.Request) {
	g.meters.fullRefusals().Inc()
	if g.briefLimiter.Allow(time.Now(), 1) {
		g.log.Info(stepEnded, zap.String("request", r.Header.Get(g.config.Headers.RequestID)), zap.Int("status", http.StatusServiceUnavailable),
			zap.String("why", tooManyHeld), zap.Int64("limit", g.inFlightLimit))
	}
	writeError(w, http.StatusServiceUnavailable, retryAfterFull, tooManyHeld)
}

// age returns the time since the request arrived, remaining the time until its deadline. Both include
// time in which the machine was suspended. Deadlines of package time don't, and would give endpoints
// more time than the caller waits.
func (c *call) age() time.Duration       { return c.gateway.agent.clock.Now().Sub(c.arrivedClock) }
func (c *call) remaining() time.Duration { return c.timeout - c.age() }

// checkDeadline returns an error if the caller disconnected or the deadline has passed.
func (c *call) checkDeadline(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if c.remaining() <= 0 {
		return context.DeadlineExceeded
	}
	return nil
}

// removeReservedHeaders deletes the headers that only the system may send to endpoints, so that no copy
// of the request's headers forwards them. It counts them by name and records no values.
func (c *call) removeReservedHeaders() {
	for _, name := range c.gateway.config.Headers.Reserved {
		if _, ok := c.r.Header[http.CanonicalHeaderKey(name)]; ok {
			c.r.Header.Del(name)
			c.gateway.meters.reservedHeaders(name).Inc()
		}
	}
}

// admit matches the request to a route and a team and reads its body. It responds itself if the request
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
	if ms, err := strconv.ParseFloat(c.r.Header.Get(g.config.Headers.Deadline), 64); err == nil && ms > 0 {
		c.callerTimeout = time.Duration(min(ms, maxCallerTimeoutMillis) * float64(time.Millisecond))
		c.timeout = min(c.timeout, c.callerTimeout)
	}
	if !c.fitsStop() {
		c.refuseForStop()
		return false
	}
	if !c.readBody() {
		return false
	}
	c.measureArrival()
	c.promptTokens, c.maxOutputTokens = c.declaredTokens()
	c.parts = sharedParts(c.r.Header.Values(g.config.Headers.PromptParts))
	for _, id := range c.parts {
		c.partKeys = append(c.partKeys, poison.Part(c.service, id))
	}
	c.addStep(stepAdmitted, zap.String("route", c.route.Name), zap.String("service", c.service), zap.String("team", c.teamName()),
		zap.Stringer("print", c.fingerprint), zap.Int("rank", c.rank()), zap.Int("prompt_tokens", c.promptTokens), zap.Int("output_tokens", c.maxOutputTokens), zap.Int("guessed_tokens", c.expectedOutputTokens()),
		zap.Strings("parts", c.parts), zap.Stringers("part_prints", c.partKeys), zap.Duration("left", c.remaining()), zap.Uint64("version", c.table.Version))
	c.stream = c.newStreamRequest()
	return true
}

// teamName returns the name of the request's team, or "" if it has none.
func (c *call) teamName() string {
	if c.team == nil {
		return ""
	}
	return c.team.Name
}

// version returns the version of the configuration used for the request.
func (c *call) version() uint64 {
	if c.table == nil {
		return 0
	}
	return c.table.Version
}

// authenticate finds the team that owns the request's key. Public routes need no key.
func (c *call) authenticate() bool {
	if c.route.Public || len(c.table.Teams) == 0 {
		return true
	}
	scheme, key, ok := strings.Cut(c.r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, c.gateway.config.Headers.KeyScheme) {
		return false
	}
	c.team = c.table.TeamByKey(strings.TrimSpace(key))
	return c.team != nil
}

// isStillAllowed reports whether the current configuration still lets the request go to an endpoint: its
// key may have been revoked or its route removed while it waited.
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

// respondError responds with a status of the entry's own. If the head of a response was sent, it aborts
// the connection instead, so that the response does not look complete.
func (c *call) respondError(status int, retryAfter event.Duration, why string) {
	if c.headSent {
		c.abortResponse(why, nil)
	}
	c.gateway.meters.countResponse(status, c.rankLabel())
	c.record.failed = true
	c.addStep(stepEnded, zap.Int("status", status), zap.String("why", why), zap.Int("attempts", c.attempts),
		zap.Duration("retry_after", retryAfter), zap.Uint64("version", c.version()))
	writeError(c.w, status, retryAfter, why)
}

func writeError(w http.ResponseWriter, status int, retryAfter event.Duration, why string) {
	h := w.Header()
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(why)+1))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(why + "\n")) // the caller may have disconnected
}
