// SPDX-License-Identifier: MIT

package sched

import (
	"math/rand/v2"
	"slices"
	"strings"

	"lynxramp.org/event"
)

// Timeouts and bounds of the scheduler.
const (
	// ReportTimeout is how long an endpoint may be granted requests after its
	// slot's last report.
	ReportTimeout = 2500 * event.Millisecond
	// EntryTimeout is how long an entry may be unreachable before its waiting
	// requests are dropped.
	EntryTimeout = 5 * event.Second
	// SettleTime is how long a new owner sheds nothing, while entries and slots
	// register with it.
	SettleTime = 2 * event.Second
	// MissingGrantGrace is how long a grant may be missing from its slot's
	// reports before it is treated as ended.
	MissingGrantGrace = 2 * event.Second
	// EndpointBackoff is how long an endpoint that did not accept a request, and
	// did not ask for a cooldown, is granted no other.
	EndpointBackoff = 300 * event.Millisecond
	// MinRetryAfter and MaxRetryAfter bound the Retry-After of refusals.
	MinRetryAfter = event.Second
	MaxRetryAfter = 60 * event.Second
)

// sizePenalty is how many seconds a request is moved back in its team's queue
// per second of its estimated work.
const sizePenalty = 8.0

// Weights of the placement cost: run time counts little while the request meets
// its deadline, and lateness counts much.
const (
	timeWeight     = 0.05
	latePenalty    = 10.0
	startMargin    = 1.3 // required ratio of the time left to the estimated time when a request is granted
	estimateMargin = 1.3 // safety factor of estimates
)

// maxSkipped bounds how many requests are skipped in one step, and
// skipScanBudget how many endpoints are scanned for them: in a large pool
// endpoints are freed often, so skipping gains less.
const (
	maxSkipped     = 16
	skipScanBudget = 512
)

// holderWaitTime is how long a request may wait for a full endpoint that has
// its prompt cached, and holderMinSaving the least cost this must save, in
// seconds.
const (
	holderWaitTime  = 2 * event.Second
	holderMinSaving = 0.1
)

// reserveTime is how long capacity is reserved for a rank after its last
// request.
const reserveTime = 5 * event.Second

// grant is a request granted to an endpoint that has not ended.
type grant struct {
	endpoint        *endpoint
	entry           event.BoxID
	at              event.Time
	attempt         int
	team            string
	rank            int
	originalRank    int // rank it was submitted with
	service         string
	requestedOutput int // output tokens that the caller asked for
	incarnation     event.Incarnation
	tokenless       bool    // request without tokens
	prefillTokens   int     // prompt tokens that are not cached
	prefillWork     float64 // work of its prefill, in seconds at speed 1
	firstPrefill    bool    // no other prefill was pending when it was granted
	adopted         bool    // reported by an entry: it may have begun earlier
	expectedWork    float64 // at speed 1, in seconds
	paced           bool    // granted after the endpoint first set a rate limit
	hasResponded    bool    // its response began, or it ended
	slowdown        slowdownSpan
}

// State is the scheduler of one pool. It is not safe for concurrent use.
type State struct {
	pool              event.Pool
	started           event.Time
	random            *rand.Rand
	queue             queue
	endpoints         []*endpoint
	byID              map[event.EndpointID]*endpoint
	grants            map[event.RequestID]*grant
	entries           map[event.BoxID]event.Time
	arrivals          uint64
	grantRate         throughput
	skipped           []*ticket // requests skipped in the current step
	views             []view    // of endpoints, in the same order
	prefill           prefillFit
	maxSpeed          float64 // of available endpoints; 0 if there is none
	capacityUnits     int     // sum over available endpoints
	cooldownEndpoints int     // number of endpoints with cooldowns
	slowedEndpoints   int     // number of endpoints that are slowed by their reports
	slowdownLog       slowdownLog
	transit           transit
	limitShare        float64     // share of the endpoints' rate limits that this pool may spend
	runTime           meanRunTime // over all requests
	meanWork          float64     // of submitted requests, in seconds at speed 1; 0 before the first
	prefix            prefixIndex
	outputLengths     map[string]*lengthRatio // by service
	refused           map[Group]int           // since this owner started
	classes           classes
	drainingHosts     map[string]bool // IP addresses, by the platform's list
	topRank           int             // highest recent rank
	topRankAt         event.Time      // when it was last submitted
	canaryAllowance   int             // requests that may be granted to endpoints in canary mode
	restricted        int             // endpoints in another mode than event.ModeNormal
}

// New returns the scheduler of a pool. It takes ownership of the pool's
// settings.
func New(now event.Time, pool event.Pool, seed uint64) *State {
	s := &State{
		started:       now,
		random:        rand.New(rand.NewPCG(seed, 0)),
		queue:         newQueue(),
		byID:          make(map[event.EndpointID]*endpoint),
		grants:        make(map[event.RequestID]*grant),
		entries:       make(map[event.BoxID]event.Time),
		prefix:        prefixIndex{holders: make(map[uint64][]*endpoint)},
		outputLengths: make(map[string]*lengthRatio),
		refused:       make(map[Group]int),
		classes:       make(classes),
		limitShare:    1,
	}
	s.setPool(now, pool)
	return s
}

// Step applies one event and appends the resulting effects to out.
func (s *State) Step(now event.Time, e event.Event, out *event.Effects) {
	switch e := e.(type) {
	case *event.Submitted:
		s.entries[e.Entry] = now
		s.submit(now, e, out)
	case *event.Withdrawn:
		s.withdraw(now, e)
	case *event.Begun:
		s.recordBegun(now, e)
	case *event.Finished:
		s.finish(now, e)
	case *event.EntryHeartbeat:
		s.entries[e.Entry] = now
		return
	case *event.SlotReported:
		s.applyReport(now, e.Report)
	case *event.PoolChanged:
		s.setPool(now, e.Pool)
	case *event.Adopted:
		s.entries[e.Entry] = now
		s.adopt(now, e)
	case *event.EntryRemoved:
		s.removeEntry(now, e.Entry)
	case *event.EndpointUpdated:
		s.updateEndpoint(now, e)
	case *event.CooldownRequested:
		s.startCooldown(now, e)
	case *event.LimitShareChanged:
		s.SetLimitShare(now, e.Share)
	case *event.CanaryAllowanceChanged:
		if !s.setCanaryAllowance(e.Count) {
			return
		}
	case *event.EndpointRemoved:
		s.removeEndpoint(now, e.ID)
	case *event.DrainListUpdated:
		s.drainingHosts = e.Draining
		s.updatePlatformDraining()
		s.refreshViews(now)
	case *event.Tick:
		s.refreshViews(now)
		s.dropStaleEntries(now, out)
	}
	s.refuseExpired(now, out)
	s.schedule(now, out)
	s.shedOverflow(now, out)
	if s.pool.ExpectedWork {
		s.reviewWaiting(now, e, out)
		return
	}
	s.refuseOverdue(now, e, out)
}

func (s *State) setPool(now event.Time, p event.Pool) {
	p.ExpectedWork = p.ExpectedWork || p.ExpectedWorkIfSlowed && s.pool.ExpectedWork
	s.pool = p
	s.queue.byWork = p.ExpectedWork
	for id, e := range s.byID {
		if p.Discovered {
			break
		}
		if !slices.ContainsFunc(p.Endpoints, func(c event.Endpoint) bool { return c.ID == id }) {
			e.Concurrency = 0
		}
	}
	for _, c := range p.Endpoints {
		s.ensureEndpoint(c.ID).Endpoint = c
	}
	s.sortEndpoints(now)
}

// ensureEndpoint returns an endpoint by ID, adding it if it is unknown. It
// appends in constant time instead of sorting: a new owner must add thousands
// of endpoints within its lease. 3,000 take 2 ms, and 240 ms if each is sorted
// into its place.
func (s *State) ensureEndpoint(id event.EndpointID) *endpoint {
	e, ok := s.byID[id]
	if !ok {
		e = &endpoint{grants: make(map[event.RequestID]*grant), index: len(s.endpoints)}
		s.byID[id] = e
		s.endpoints = append(s.endpoints, e)
		s.views = append(s.views, view{})
	}
	return e
}

// dropEndpoint removes an endpoint. The last one is moved to its index.
func (s *State) dropEndpoint(e *endpoint) {
	s.subtractView(&s.views[e.index])
	last := len(s.endpoints) - 1
	s.endpoints[e.index] = s.endpoints[last]
	s.endpoints[e.index].index = e.index
	s.views[e.index] = s.views[last]
	s.endpoints[last] = nil
	s.endpoints, s.views = s.endpoints[:last], s.views[:last]
	delete(s.byID, e.ID)
}

// sortEndpoints sorts endpoints and views by endpoint ID.
func (s *State) sortEndpoints(now event.Time) {
	slices.SortFunc(s.endpoints, func(a, b *endpoint) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	clear(s.views)
	s.capacityUnits, s.cooldownEndpoints, s.slowedEndpoints = 0, 0, 0
	for i, e := range s.endpoints {
		e.index = i
	}
	s.refreshViews(now)
}

func (s *State) submit(now event.Time, e *event.Submitted, out *event.Effects) {
	id := e.Ticket.ID
	if g, ok := s.grants[id]; ok {
		// The entry registers again because it has not seen the grant.
		out.Grants = append(out.Grants, g.effect(id))
		return
	}
	if _, ok := s.queue.byID[id]; ok {
		return
	}
	s.arrivals++
	s.observeRank(now, e.Ticket.Rank)
	k := &ticket{
		Ticket:   e.Ticket,
		entry:    e.Entry,
		arrived:  now,
		deadline: now.Add(e.Ticket.Deadline),
		seq:      s.arrivals,
	}
	k.expectedTokens = s.outputLength(k.Service).estimate(k.OutputTokens)
	k.class = s.classes.forRank(k.Rank)
	k.runTime = s.estimateRunTime(k)
	k.precedence = s.precedence(k)
	if s.pool.Discovered {
		k.Rank = s.promote(now, k)
	}
	k.orderTime = now.Add(-e.Ticket.Waited)
	if k.Target == 0 {
		k.orderTime = k.orderTime.Add(event.Duration(sizePenalty * referenceWork(k) * float64(event.Second)))
	}
	if s.pool.ExpectedWork {
		s.orderByWork(now, k)
	}
	s.queue.add(k)
}

// precedence returns the initial precedence of a request.
func (s *State) precedence(k *ticket) precedence {
	switch {
	case s.pool.LeastOutstanding:
		return precedenceOnTime
	case k.Placed:
		return precedenceResumed
	case k.Returned:
		return precedenceLate
	default:
		return precedenceOnTime
	}
}

// observeRank updates the highest recent rank.
func (s *State) observeRank(now event.Time, rank int) {
	if rank >= s.topRank || now.Sub(s.topRankAt) >= reserveTime {
		s.topRank = rank
		s.topRankAt = now
	}
}

// referenceWork returns the estimated run time of k on the reference engine, in
// seconds.
func referenceWork(k *ticket) float64 {
	if k.OutputTokens == 0 {
		return callWork
	}
	return float64(k.PromptTokens)/referencePrefill + float64(k.expectedTokens)*referenceTokenGap.Seconds()
}

// withdraw removes a request. If it was granted, the entry withdrew it before
// it saw the grant and never offered it.
func (s *State) withdraw(now event.Time, e *event.Withdrawn) {
	if k, ok := s.queue.byID[e.ID]; ok {
		s.queue.remove(k)
	}
	if g, ok := s.grants[e.ID]; ok {
		g.refundRateLimit()
	}
	s.release(now, e.ID)
}

// addGrant records a grant.
func (s *State) addGrant(id event.RequestID, g *grant) {
	s.grants[id] = g
	g.endpoint.grants[id] = g
	g.endpoint.inflight++
	g.endpoint.slowdown.countGrant()
	g.startSlowdown(g.at)
}

// finish ends a grant and updates the estimates. An endpoint that did not
// accept the request is granted no other during EndpointBackoff, unless it asked
// for a cooldown: that one is for the entry alone, and says how long it lasts.
func (s *State) finish(now event.Time, e *event.Finished) {
	if g, ok := s.grants[e.ID]; ok {
		switch {
		case e.Unused:
			g.refundRateLimit()
		case e.Void && now >= g.endpoint.cooldowns[g.entry]:
			g.endpoint.backoffUntil = now.Add(EndpointBackoff)
		}
		if !e.Failed && !e.Void {
			s.outputLength(g.service).observe(e.Tokens, g.requestedOutput)
		}
		s.applySlowdown(now, g, e.Slowdown, e.SlowdownAge, e.FirstAfter > 0)
		s.observeTimes(now, g, e)
	}
	s.release(now, e.ID)
}

// release removes a grant.
func (s *State) release(now event.Time, id event.RequestID) {
	g, ok := s.grants[id]
	if !ok {
		return
	}
	g.endpoint.inflight--
	g.endpoint.prefillQueue.remove(now, g)
	delete(g.endpoint.grants, id)
	delete(s.grants, id)
	s.refreshView(now, g.endpoint)
}

// applyReport applies a slot's report on its endpoint and reconciles the grants
// with it.
func (s *State) applyReport(now event.Time, r event.Report) {
	e, ok := s.byID[r.Endpoint]
	if !ok {
		return
	}
	restarted := e.hasReport && e.report.Incarnation != r.Incarnation
	e.report = r
	e.platformDraining = s.drainingHosts[event.Host(r.Address)]
	e.lastReport = now
	e.hasReport = true
	running := make(map[event.RequestID]struct{}, len(r.Running))
	for _, d := range r.Running {
		id := d.Request()
		running[id] = struct{}{}
		if _, ok := s.grants[id]; !ok {
			s.addGrant(id, &grant{endpoint: e, at: now, incarnation: r.Incarnation, attempt: d.Attempt()})
		}
	}
	for id, g := range e.grants {
		_, runs := running[id]
		stale := restarted && g.incarnation != r.Incarnation
		if stale || (!runs && now.Sub(g.at) > MissingGrantGrace) {
			s.release(now, id)
		}
	}
	s.refreshView(now, e)
	if e.isAvailable(now) {
		s.maxSpeed = max(s.maxSpeed, e.presentSpeed(now))
	}
}

// updatePlatformDraining marks the endpoints on boxes that the platform lists
// as draining.
func (s *State) updatePlatformDraining() {
	for _, e := range s.endpoints {
		e.platformDraining = s.drainingHosts[event.Host(e.report.Address)]
	}
}

func (s *State) dropStaleEntries(now event.Time, out *event.Effects) {
	for id, lastSeen := range s.entries {
		if now.Sub(lastSeen) <= EntryTimeout {
			continue
		}
		delete(s.entries, id)
		first := len(out.Dropped)
		for _, k := range s.queue.byID {
			if k.entry == id {
				s.queue.remove(k)
				out.Dropped = append(out.Dropped, k.ID)
			}
		}
		slices.Sort(out.Dropped[first:])
	}
}
