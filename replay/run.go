// SPDX-License-Identifier: MIT

package replay

import (
	"container/heap"
	"slices"

	"lynxramp.org/engine"
	"lynxramp.org/engine/fake"
	"lynxramp.org/event"
	"lynxramp.org/meter"
	"lynxramp.org/trace"
)

// Parameters of the simulated system.
const (
	networkDelay   = event.Millisecond // one way, between boxes
	reportInterval = 250 * event.Millisecond
	tickInterval   = 50 * event.Millisecond
	ownerGap       = event.Second // time without a scheduler during a replacement
	entryID        = event.BoxID("entry")
	warmUp         = 3 * event.Second // before the first request
)

// Policy is a scheduling policy, such as sched.State.
type Policy interface {
	Step(now event.Time, e event.Event, out *event.Effects)
}

// PolicyFactory returns a policy that schedules the pool from now on and starts without requests.
type PolicyFactory func(now event.Time, p event.Pool) Policy

// request is a simulated request of the trace.
type request struct {
	trace.Request
	ticket     event.Ticket
	blocks     []uint64 // prefix blocks of the prompt
	arrived    event.Time
	endpoint   *server // where it was dispatched; nil before
	lastToken  event.Time
	finished   bool
	dispatched bool
}

// server is an endpoint with its slot.
type server struct {
	trace.Endpoint
	id          event.EndpointID
	model       *fake.Model
	meter       meter.Meter
	running     map[event.RequestID]*request
	draining    bool
	loadHistory []loadSample
	nextChange  event.Time // time of the last scheduled call of advance
}

// loadSample is the number of requests at a server at one time.
type loadSample struct {
	at          event.Time
	queueLength int
}

// simulation is the state of a replay.
type simulation struct {
	trace      trace.Trace
	make       PolicyFactory
	policy     Policy // nil while the scheduler is replaced
	pool       event.Pool
	now        event.Time
	queue      eventQueue
	scheduled  int // number of events scheduled so far
	servers    []*server
	byID       map[event.EndpointID]*server
	requests   map[event.RequestID]*request
	unfinished int // requests without an outcome
	effects    event.Effects
	result     Result
	blocks     map[uint64]struct{} // prefix blocks of all dispatched requests
}

// Run replays a trace under a policy.
func Run(t trace.Trace, newPolicy PolicyFactory) Result {
	r := &simulation{
		trace:    t,
		make:     newPolicy,
		byID:     make(map[event.EndpointID]*server),
		requests: make(map[event.RequestID]*request),
		blocks:   make(map[uint64]struct{}),
		result:   Result{Trace: t.Header.Name, Ranks: make(map[int]*RankResult)},
	}
	r.prepare()
	for len(r.queue) > 0 && r.unfinished > 0 {
		next := heap.Pop(&r.queue).(scheduledEvent)
		r.now = next.at
		next.do()
	}
	r.finish()
	return r.result
}

func (r *simulation) prepare() {
	h := r.trace.Header
	r.pool = event.Pool{Name: h.Pool, MaxWaiting: h.MaxWaiting, PrefillWeight: h.PrefillWeight}
	for _, e := range h.Endpoints {
		p := fake.DefaultProfile().Scaled(e.Speed)
		p.MaxBatch = e.Concurrency
		p.CacheBlocks = e.CacheBlocks
		s := &server{Endpoint: e, id: event.EndpointID(e.Name), model: fake.NewModel(p), running: make(map[event.RequestID]*request)}
		r.servers = append(r.servers, s)
		r.byID[s.id] = s
		r.pool.Endpoints = append(r.pool.Endpoints, event.Endpoint{ID: s.id, Concurrency: e.Concurrency, Speed: e.Speed})
	}
	r.policy = r.make(0, r.pool)
	for i, s := range r.servers {
		r.at(event.Time(i)*event.Time(event.Millisecond), func() { r.report(s) })
	}
	r.at(0, r.tick)
	for _, q := range r.trace.Requests {
		r.unfinished++
		r.at(event.Time(warmUp).Add(event.Duration(q.At)*event.Millisecond), func() { r.arrive(q) })
	}
	for _, f := range r.trace.Faults {
		r.at(event.Time(warmUp).Add(event.Duration(f.At)*event.Millisecond), func() { r.applyFault(f) })
	}
}

// at schedules do to run at a time.
func (r *simulation) at(t event.Time, do func()) {
	r.scheduled++
	heap.Push(&r.queue, scheduledEvent{at: t, sequence: r.scheduled, do: do})
}

// after schedules do to run after a delay.
func (r *simulation) after(d event.Duration, do func()) { r.at(r.now.Add(d), do) }

// step passes an event to the policy and schedules the resulting grants and refusals.
func (r *simulation) step(e event.Event) {
	if r.policy == nil {
		return
	}
	r.effects.Reset()
	r.policy.Step(r.now, e, &r.effects)
	for _, g := range slices.Clone(r.effects.Grants) {
		r.after(networkDelay, func() { r.dispatch(g) })
	}
	for _, f := range slices.Clone(r.effects.Refusals) {
		r.after(networkDelay, func() { r.refused(f) })
	}
}

func (r *simulation) tick() {
	r.step(&event.EntryHeartbeat{Entry: entryID})
	r.step(&event.Tick{})
	r.after(tickInterval, r.tick)
}

func (r *simulation) arrive(q trace.Request) {
	simulated := &request{Request: q, arrived: r.now, blocks: q.Blocks()}
	simulated.ticket = event.Ticket{
		ID: event.RequestID(q.ID), Team: q.Team, Rank: q.Rank, Pool: r.pool.Name,
		PromptTokens: q.PromptTokens(), OutputTokens: q.Output, Prefix: engine.SampleHashes(simulated.blocks),
		Deadline: event.Duration(q.Deadline) * event.Millisecond,
	}
	r.requests[simulated.ticket.ID] = simulated
	r.result.rankResult(q.Rank).Offered++
	r.after(networkDelay, func() { r.step(&event.Submitted{Entry: entryID, Ticket: simulated.ticket}) })
	r.after(simulated.ticket.Deadline, func() { r.disconnect(simulated) })
}

// dispatch sends a granted request to its endpoint. A draining endpoint denies it, and the
// entry submits it again.
func (r *simulation) dispatch(g event.Granted) {
	q := r.requests[g.ID]
	s := r.byID[g.Endpoint]
	if q.finished || q.endpoint != nil {
		return
	}
	if s.draining {
		r.after(networkDelay, func() {
			r.step(&event.Finished{ID: g.ID, Pool: r.pool.Name, Void: true})
			r.step(&event.Submitted{Entry: entryID, Ticket: q.ticket})
		})
		return
	}
	q.endpoint = s
	q.dispatched = true
	s.running[g.ID] = q
	s.model.Submit(r.now, fake.Job{
		ID: q.ID, PromptTokens: q.ticket.PromptTokens, OutputTokens: q.Output, Priority: q.Rank, Prefix: q.blocks,
	})
	for _, b := range q.blocks {
		r.blocks[b] = struct{}{}
	}
	r.scheduleAdvance(s)
}

// scheduleAdvance schedules advance at the next change of the server's model.
func (r *simulation) scheduleAdvance(s *server) {
	next, ok := s.model.Next()
	if !ok || next == s.nextChange {
		return
	}
	s.nextChange = next
	r.at(next, func() { r.advance(s) })
}

// advance processes the tokens that a server's model has produced up to now.
func (r *simulation) advance(s *server) {
	for _, o := range s.model.Advance(r.now, nil) {
		q := r.requests[event.RequestID(o.ID)]
		if q.lastToken != 0 {
			s.meter.Observe(r.now, 1, r.now.Sub(q.lastToken))
		}
		q.lastToken = r.now
		if o.Done {
			r.complete(s, q)
		}
	}
	r.scheduleAdvance(s)
}

func (r *simulation) complete(s *server, q *request) {
	delete(s.running, q.ticket.ID)
	if q.finished {
		return
	}
	r.end(q)
	r.result.rankResult(q.Rank).InTime++
	r.after(networkDelay, func() { r.step(&event.Finished{ID: q.ticket.ID, Pool: r.pool.Name, Tokens: q.Output}) })
}

func (r *simulation) end(q *request) {
	q.finished = true
	r.unfinished--
}

// disconnect ends a request whose caller reached its deadline.
func (r *simulation) disconnect(q *request) {
	if q.finished {
		return
	}
	r.end(q)
	r.result.rankResult(q.Rank).TimedOut++
	s := q.endpoint
	if s == nil {
		r.after(networkDelay, func() { r.step(&event.Withdrawn{Entry: entryID, ID: q.ticket.ID, Pool: r.pool.Name}) })
		return
	}
	r.after(2*networkDelay, func() {
		s.model.Cancel(q.ID)
		delete(s.running, q.ticket.ID)
	})
	r.after(networkDelay, func() { r.step(&event.Finished{ID: q.ticket.ID, Pool: r.pool.Name, Failed: true}) })
}

// refused records a refusal and, if the request was shed, checks the order of tiers.
func (r *simulation) refused(f event.Refused) {
	q := r.requests[f.ID]
	if q.finished || q.endpoint != nil {
		return
	}
	r.end(q)
	r.result.rankResult(q.Rank).Refused++
	if f.Reason != event.ReasonShed {
		return
	}
	// Invariant: when a request is shed, no request of a lower tier is queued.
	for _, other := range r.requests {
		if !other.finished && other.endpoint == nil && other.Rank < q.Rank && r.now.Sub(other.arrived) > 4*networkDelay && r.isWaiting(other) {
			r.result.TierViolations++
			return
		}
	}
}

// isWaiting reports whether the policy has a request queued; false for policies without
// the method Waits.
func (r *simulation) isWaiting(q *request) bool {
	p, ok := r.policy.(interface{ Waits(id event.RequestID) bool })
	return ok && p.Waits(q.ticket.ID)
}

// report sends a slot's report, with the load of LoadLagMillis ago, and schedules the next.
func (r *simulation) report(s *server) {
	s.loadHistory = append(s.loadHistory, loadSample{at: r.now, queueLength: s.model.Load().Waiting + s.model.Load().Running})
	lag := event.Duration(r.trace.Header.LoadLagMillis) * event.Millisecond
	for len(s.loadHistory) > 1 && r.now.Sub(s.loadHistory[1].at) >= lag {
		s.loadHistory = s.loadHistory[1:]
	}
	rep := event.Report{
		Endpoint: s.id, Pool: r.pool.Name, Address: string(s.id), Incarnation: 1, Draining: s.draining,
		QueueLength: s.loadHistory[0].queueLength, LoadAge: r.now.Sub(s.loadHistory[0].at), TokenGap: s.meter.TokenGap(r.now),
	}
	for id := range s.running {
		rep.Running = append(rep.Running, id.Dispatch(0))
	}
	slices.Sort(rep.Running)
	r.after(networkDelay, func() { r.step(&event.SlotReported{Report: rep}) })
	r.after(reportInterval, func() { r.report(s) })
}

func (r *simulation) applyFault(f trace.Fault) {
	if f.NewOwner {
		r.policy = nil
		r.after(ownerGap, r.replaceOwner)
		return
	}
	s := r.byID[event.EndpointID(f.Endpoint)]
	if f.Slowdown > 0 {
		s.model.SetSlowdown(f.Slowdown)
	}
	s.draining = s.draining || f.Draining
}

// replaceOwner starts a scheduler without state; the entry submits the queued requests
// again.
func (r *simulation) replaceOwner() {
	r.policy = r.make(r.now, r.pool)
	for _, q := range r.trace.Requests {
		simulated := r.requests[event.RequestID(q.ID)]
		if simulated == nil || simulated.finished || simulated.endpoint != nil {
			continue
		}
		resubmitted := simulated.ticket
		resubmitted.Waited = r.now.Sub(simulated.arrived)
		resubmitted.Deadline -= resubmitted.Waited
		r.step(&event.Submitted{Entry: entryID, Ticket: resubmitted})
	}
}

// finish sums the engines' counters. Each prefix block is useful once; computing it again
// counts as recomputed.
func (r *simulation) finish() {
	useful := len(r.blocks) * engine.BlockTokens
	for _, q := range r.requests {
		if q.dispatched && q.finished {
			useful += q.ticket.PromptTokens - len(q.blocks)*engine.BlockTokens
		}
	}
	for _, s := range r.servers {
		t := s.model.Totals()
		r.result.Prefilled += t.Prefilled
		r.result.Discarded += t.Wasted
	}
	r.result.Recomputed = max(0, r.result.Prefilled-useful)
}
