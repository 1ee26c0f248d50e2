// SPDX-License-Identifier: MIT

package sched

import (
	"math/rand/v2"
	"slices"
	"strings"

	"lynxramp.org/event"
)

// Bounds of the scheduler's patience.
const (
	// ReportTimeout is how long an endpoint is granted work after its slot was
	// last heard.
	ReportTimeout = 2500 * event.Millisecond
	// EntryTimeout is how long an entry may be silent before its waiting requests
	// are dropped.
	EntryTimeout = 5 * event.Second
	// SettleTime is how long a new owner sheds nothing.
	SettleTime = 2 * event.Second
	// MissingGrantGrace is how long a grant may be missing from its slot's reports
	// before it is taken as ended.
	MissingGrantGrace = 2 * event.Second
	// EndpointBackoff is how long an endpoint that did not take a request gets no other.
	EndpointBackoff = 300 * event.Millisecond
	// MinRetryAfter and MaxRetryAfter bound what a refused caller is told.
	MinRetryAfter = event.Second
	MaxRetryAfter = 60 * event.Second
)

// sizePenalty is the place a request loses in its team's queue for each second
// of its estimated work.
const sizePenalty = 8.0

// What a placement costs: its time counts little while it ends well before the
// deadline, and much beyond that.
const (
	timeWeight  = 0.05
	latePenalty = 10.0
	startMargin = 1.3 // to be started, a request must have so much more time than estimated
	estimateMargin      = 1.3 // an estimate may be so much too short
)

// maxSkipped bounds how many requests are passed over in one step, and skipScanBudget
// how many endpoints are looked at for them: in a large pool some endpoint comes
// free all the time, and there is less to gain.
const (
	maxSkipped   = 16
	skipScanBudget = 512
)

// holderWaitTime is how long a request is passed over for the sake of a full endpoint
// that holds its prompt, and holderMinSaving what that must save, in seconds.
const (
	holderWaitTime = 2 * event.Second
	holderMinSaving = 0.1
)

// reserveTime is how long room is kept for a tier after its last request.
const reserveTime = 5 * event.Second

// rateWindow is the time over which the drain rate is averaged.
const rateWindow = 5 * event.Second

// grant is a request that was given to an endpoint and has not ended.
type grant struct {
	endpoint *endpoint
	entry    event.BoxID
	at       event.Time
	attempt  int
	team     string
	rank     int
	originalRank    int // the rank that it came with
	service  string
	maxOutput   int // tokens asked for
	incarnation     event.Incarnation
	tokenless     bool    // without tokens
	prefillTokens   int     // tokens to be read
	prefillWork     float64 // work of reading them, seconds at speed 1
	firstPrefill    bool    // no other prompt was to be read before it
	adopted  bool    // by an entry's word: it may have begun earlier
	paced    bool    // by one who knows of the endpoint's limits
}

// State is the scheduler of one pool. It is not safe for concurrent use.
type State struct {
	pool      event.Pool
	started   event.Time
	random    *rand.Rand
	queue     queue
	endpoints []*endpoint
	byID      map[event.EndpointID]*endpoint
	grants    map[event.RequestID]*grant
	entries   map[event.BoxID]event.Time
	arrivals  uint64
	grantRate     throughput
	skipped    []*ticket // of the step under way
	views     []view    // of the endpoints, in their order
	prefill   prefillFit
	maxSpeed   float64 // speed of the fastest that serves, 0 if none does
	capacity    int     // of all that serve, in thousandths
	cooldownEndpoints   int     // endpoints that want nothing of some entries
	limitShare      float64 // of endpoints' limits that this pool spends
	runTime      meanRunTime // of places, by all requests
	meanWork  float64 // of requests, in seconds at speed 1; 0 until one came
	prefix    prefixIndex
	outputLengths   map[string]*outputLength // by service
	refused   map[Group]int            // since this owner began
	classes   classes
	drainingHosts   map[string]bool // IP numbers, by the platform's list
	topRank       int             // the highest rank that came lately
	topRankAt   event.Time      // when it came
}

// New returns the scheduler of pool, which owns it from now on.
func New(now event.Time, pool event.Pool, seed uint64) *State {
	s := &State{
		started: now,
		random:  rand.New(rand.NewPCG(seed, 0)),
		queue:   newQueue(),
		byID:    make(map[event.EndpointID]*endpoint),
		grants:  make(map[event.RequestID]*grant),
		entries: make(map[event.BoxID]event.Time),
		prefix:  prefixIndex{holders: make(map[uint64][]*endpoint)},
		outputLengths: make(map[string]*outputLength),
		refused: make(map[Group]int),
		classes: make(classes),
		limitShare:    1,
	}
	s.setPool(now, pool)
	return s
}

// Step takes one event and adds to out what follows from it.
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
	case *event.EntrySeen:
		s.entries[e.Entry] = now
		return
	case *event.SlotReported:
		s.applyReport(now, e.Report)
	case *event.PoolChanged:
		s.setPool(now, e.Pool)
	case *event.Adopted:
		s.entries[e.Entry] = now
		s.adopt(now, e)
	case *event.EntryGone:
		s.removeEntry(now, e.Entry)
	case *event.EndpointSeen:
		s.updateEndpoint(now, e)
	case *event.Rested:
		s.startCooldown(now, e)
	case *event.PartChanged:
		s.SetPart(now, e.Part)
	case *event.EndpointGone:
		s.removeEndpoint(now, e.ID)
	case *event.PlatformListed:
		s.drainingHosts = e.Leaving
		s.updatePlatformDraining()
		s.refreshViews(now)
	case *event.Tick:
		s.refreshViews(now)
		s.dropStaleEntries(now, out)
	}
	s.refuseExpired(now, out)
	s.schedule(now, out)
	s.shedOverflow(now, out)
	s.refuseOverdue(now, e, out)
}

// Waiting returns how many requests wait.
func (s *State) Waiting() int { return s.queue.len() }

// Running returns how many requests are granted and have not ended.
func (s *State) Running() int { return len(s.grants) }

func (s *State) setPool(now event.Time, p event.Pool) {
	s.pool = p
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

// ensureEndpoint returns an ensureEndpoint by its name. One that was not known gets the last view, in
// constant time: an owner that begins must take up thousands within its lease. 3,000 take
// 2 ms this way and 240 ms where each is sorted into its place (best of five, one core).
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

// dropEndpoint takes an endpoint away; the last one takes its place among the views.
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

// sortEndpoints puts the views in the order of the endpoints' names.
func (s *State) sortEndpoints(now event.Time) {
	slices.SortFunc(s.endpoints, func(a, b *endpoint) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	clear(s.views)
	s.capacity, s.cooldownEndpoints = 0, 0
	for i, e := range s.endpoints {
		e.index = i
	}
	s.refreshViews(now)
}

func (s *State) submit(now event.Time, e *event.Submitted, out *event.Effects) {
	id := e.Ticket.ID
	if g, ok := s.grants[id]; ok {
		// The entry registers again: it has not seen the grant.
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
		seq:   s.arrivals,
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
		k.orderTime = k.orderTime.Add(event.Span(sizePenalty * referenceWork(k) * float64(event.Second)))
	}
	s.queue.add(k)
}

// precedence returns where among its rank a request waits.
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

// observeRank takes note of the highest tier that came lately.
func (s *State) observeRank(now event.Time, rank int) {
	if rank >= s.topRank || now.Sub(s.topRankAt) >= reserveTime {
		s.topRank = rank
		s.topRankAt = now
	}
}

// referenceWork is the estimated length of k in seconds on the reference engine.
func referenceWork(k *ticket) float64 {
	if k.OutputTokens == 0 {
		return callWork
	}
	return float64(k.PromptTokens)/referencePrefill + float64(k.expectedTokens)*referenceTokenGap.Seconds()
}

// withdraw forgets a request. If it was granted, the entry withdrew it before
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

// addGrant enters a grant in the books.
func (s *State) addGrant(id event.RequestID, g *grant) {
	s.grants[id] = g
	g.endpoint.grants[id] = g
	g.endpoint.inflight++
}

// finish ends a grant. An endpoint that did not take the request is left alone
// for a while.
func (s *State) finish(now event.Time, e *event.Finished) {
	if g, ok := s.grants[e.ID]; ok {
		if e.Unused {
			g.refundRateLimit()
		} else if e.Void {
			g.endpoint.backoffUntil = now.Add(EndpointBackoff)
		}
		if !e.Failed && !e.Void {
			s.outputLength(g.service).observe(e.Tokens, g.maxOutput)
		}
		s.observeSpeed(now, g, e)
		if !e.Void {
			s.classes.forRank(g.originalRank).runTime.observe(now.Sub(g.at))
			s.runTime.observe(now.Sub(g.at))
		}
	}
	s.release(now, e.ID)
}

// release ends a grant.
func (s *State) release(now event.Time, id event.RequestID) {
	g, ok := s.grants[id]
	if !ok {
		return
	}
	g.endpoint.inflight--
	g.endpoint.prefills.remove(now, g)
	delete(g.endpoint.grants, id)
	delete(s.grants, id)
	s.refreshView(now, g.endpoint)
}

// applyReport takes a slot's word on its endpoint and corrects the grants by it.
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
		old := restarted && g.incarnation != r.Incarnation
		if old || (!runs && now.Sub(g.at) > MissingGrantGrace) {
			s.release(now, id)
		}
	}
	s.refreshView(now, e)
	if e.isAvailable(now) {
		s.maxSpeed = max(s.maxSpeed, e.speed())
	}
}

// updatePlatformDraining notes which endpoints stand on boxes that are leaving.
func (s *State) updatePlatformDraining() {
	for _, e := range s.endpoints {
		e.platformDraining = s.drainingHosts[event.Host(e.report.Address)]
	}
}

func (s *State) dropStaleEntries(now event.Time, out *event.Effects) {
	for id, heard := range s.entries {
		if now.Sub(heard) <= EntryTimeout {
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

// throughput averages how much of something goes in a second. The zero value is
// ready.
type throughput struct {
	last event.Time
	rate float64 // a second
}

func (d *throughput) add(now event.Time, amount float64) {
	gap := now.Sub(d.last).Seconds()
	d.last = now
	keep := max(0, 1-gap/rateWindow.Seconds())
	d.rate = d.rate*keep + amount/rateWindow.Seconds()
}

func (d *throughput) perSecond(now event.Time) float64 {
	return d.rate * max(0, 1-now.Sub(d.last).Seconds()/rateWindow.Seconds())
}

// EndpointStatus is what operators are told of an endpoint.
type EndpointStatus struct {
	ID      event.EndpointID
	Running int
	// Serves is set while it may be granted work.
	Serves bool
}

// Endpoints returns the status of all endpoints, by name.
func (s *State) Endpoints(now event.Time) []EndpointStatus {
	list := make([]EndpointStatus, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		list = append(list, EndpointStatus{ID: e.ID, Running: e.inflight, Serves: e.isAvailable(now) && e.Concurrency > 0})
	}
	slices.SortFunc(list, func(a, b EndpointStatus) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// Waits reports whether a request waits here.
func (s *State) Waits(id event.RequestID) bool {
	_, ok := s.queue.byID[id]
	return ok
}
