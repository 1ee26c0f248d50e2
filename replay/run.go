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

// Times of the modelled system.
const (
	hop         = event.Millisecond // between boxes, one way
	reportEvery = 250 * event.Millisecond
	tickEvery   = 50 * event.Millisecond
	ownerGap    = event.Second // without a scheduler, when one is replaced
	entry       = event.BoxID("entry")
	warmUp      = 3 * event.Second // before the first request
)

// Policy is a way of deciding. sched.State is one.
type Policy interface {
	Step(now event.Time, e event.Event, out *event.Effects)
}

// NewPolicy makes a policy that owns the pool from now on.
type NewPolicy func(now event.Time, p event.Pool) Policy

// request is a trace's request on its way.
type request struct {
	trace.Request
	ticket   event.Ticket
	blocks   []uint64 // of the prompt
	arrived  event.Time
	endpoint *server // where it runs
	last     event.Time
	ended    bool
	ran      bool
}

// server is an endpoint and its slot.
type server struct {
	trace.Endpoint
	id      event.EndpointID
	model   *fake.Model
	meter   meter.Meter
	running map[event.RequestID]*request
	leaving bool
	loads   []pastLoad
	wakeAt  event.Time
}

type pastLoad struct {
	at      event.Time
	waiting int
}

// run is a replay under way.
type run struct {
	trace    trace.Trace
	make     NewPolicy
	policy   Policy // nil while there is none
	pool     event.Pool
	now      event.Time
	queue    timeline
	planned  int
	servers  []*server
	byID     map[event.EndpointID]*server
	requests map[event.RequestID]*request
	open     int // requests that have not ended
	effects  event.Effects
	result   Result
	blocks   map[uint64]struct{} // that were ever computed
}

// Run replays a trace under a policy.
func Run(t trace.Trace, make_ NewPolicy) Result {
	r := &run{
		trace:    t,
		make:     make_,
		byID:     make(map[event.EndpointID]*server),
		requests: make(map[event.RequestID]*request),
		blocks:   make(map[uint64]struct{}),
		result:   Result{Trace: t.Header.Name, Ranks: make(map[int]*RankResult)},
	}
	r.prepare()
	for len(r.queue) > 0 && r.open > 0 {
		next := heap.Pop(&r.queue).(moment)
		r.now = next.at
		next.do()
	}
	r.finish()
	return r.result
}

func (r *run) prepare() {
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
		r.open++
		r.at(event.Time(warmUp).Add(event.Duration(q.At)*event.Millisecond), func() { r.arrive(q) })
	}
	for _, f := range r.trace.Faults {
		r.at(event.Time(warmUp).Add(event.Duration(f.At)*event.Millisecond), func() { r.fault(f) })
	}
}

// at plans something.
func (r *run) at(t event.Time, do func()) {
	r.planned++
	heap.Push(&r.queue, moment{at: t, number: r.planned, do: do})
}

// later plans something after a span.
func (r *run) later(s event.Duration, do func()) { r.at(r.now.Add(s), do) }

// tell hands an event to the policy and carries out what follows.
func (r *run) tell(e event.Event) {
	if r.policy == nil {
		return
	}
	r.effects.Reset()
	r.policy.Step(r.now, e, &r.effects)
	for _, g := range slices.Clone(r.effects.Grants) {
		r.later(hop, func() { r.dispatch(g) })
	}
	for _, f := range slices.Clone(r.effects.Refusals) {
		r.later(hop, func() { r.refused(f) })
	}
}

func (r *run) tick() {
	r.tell(&event.EntryHeartbeat{Entry: entry})
	r.tell(&event.Tick{})
	r.later(tickEvery, r.tick)
}

func (r *run) arrive(q trace.Request) {
	one := &request{Request: q, arrived: r.now, blocks: q.Blocks()}
	one.ticket = event.Ticket{
		ID: event.RequestID(q.ID), Team: q.Team, Rank: q.Rank, Pool: r.pool.Name,
		PromptTokens: q.PromptTokens(), OutputTokens: q.Output, Prefix: engine.SampleHashes(one.blocks),
		Deadline: event.Duration(q.Deadline) * event.Millisecond,
	}
	r.requests[one.ticket.ID] = one
	r.result.rank(q.Rank).Offered++
	r.later(hop, func() { r.tell(&event.Submitted{Entry: entry, Ticket: one.ticket}) })
	r.later(one.ticket.Deadline, func() { r.hangUp(one) })
}

func (r *run) dispatch(g event.Granted) {
	q := r.requests[g.ID]
	s := r.byID[g.Endpoint]
	if q.ended || q.endpoint != nil {
		return
	}
	if s.leaving {
		r.later(hop, func() {
			r.tell(&event.Finished{ID: g.ID, Pool: r.pool.Name, Void: true})
			r.tell(&event.Submitted{Entry: entry, Ticket: q.ticket})
		})
		return
	}
	q.endpoint = s
	q.ran = true
	s.running[g.ID] = q
	s.model.Submit(r.now, fake.Job{
		ID: q.ID, PromptTokens: q.ticket.PromptTokens, OutputTokens: q.Output, Priority: q.Rank, Prefix: q.blocks,
	})
	for _, b := range q.blocks {
		r.blocks[b] = struct{}{}
	}
	r.wake(s)
}

// wake plans the model's next change.
func (r *run) wake(s *server) {
	next, ok := s.model.Next()
	if !ok || next == s.wakeAt {
		return
	}
	s.wakeAt = next
	r.at(next, func() { r.advance(s) })
}

func (r *run) advance(s *server) {
	for _, o := range s.model.Advance(r.now, nil) {
		q := r.requests[event.RequestID(o.ID)]
		if q.last != 0 {
			s.meter.Observe(r.now, 1, r.now.Sub(q.last))
		}
		q.last = r.now
		if o.Done {
			r.done(s, q)
		}
	}
	r.wake(s)
}

func (r *run) done(s *server, q *request) {
	delete(s.running, q.ticket.ID)
	if q.ended {
		return
	}
	r.end(q)
	r.result.rank(q.Rank).InTime++
	r.later(hop, func() { r.tell(&event.Finished{ID: q.ticket.ID, Pool: r.pool.Name, Tokens: q.Output}) })
}

func (r *run) end(q *request) {
	q.ended = true
	r.open--
}

// hangUp is a caller's end of patience.
func (r *run) hangUp(q *request) {
	if q.ended {
		return
	}
	r.end(q)
	r.result.rank(q.Rank).TimedOut++
	s := q.endpoint
	if s == nil {
		r.later(hop, func() { r.tell(&event.Withdrawn{Entry: entry, ID: q.ticket.ID, Pool: r.pool.Name}) })
		return
	}
	r.later(2*hop, func() {
		s.model.Cancel(q.ID)
		delete(s.running, q.ticket.ID)
	})
	r.later(hop, func() { r.tell(&event.Finished{ID: q.ticket.ID, Pool: r.pool.Name, Failed: true}) })
}

func (r *run) refused(f event.Refused) {
	q := r.requests[f.ID]
	if q.ended || q.endpoint != nil {
		return
	}
	r.end(q)
	r.result.rank(q.Rank).Refused++
	if f.Reason != event.ReasonShed {
		return
	}
	// Promise: nothing of a lower tier is kept.
	for _, other := range r.requests {
		if !other.ended && other.endpoint == nil && other.Rank < q.Rank && r.now.Sub(other.arrived) > 4*hop && r.waits(other) {
			r.result.TierViolations++
			return
		}
	}
}

// waits reports whether the policy keeps a request waiting, for those that can
// tell.
func (r *run) waits(q *request) bool {
	p, ok := r.policy.(interface{ Waits(id event.RequestID) bool })
	return ok && p.Waits(q.ticket.ID)
}

func (r *run) report(s *server) {
	s.loads = append(s.loads, pastLoad{at: r.now, waiting: s.model.Load().Waiting + s.model.Load().Running})
	lag := event.Duration(r.trace.Header.LoadLagMillis) * event.Millisecond
	for len(s.loads) > 1 && r.now.Sub(s.loads[1].at) >= lag {
		s.loads = s.loads[1:]
	}
	rep := event.Report{
		Endpoint: s.id, Pool: r.pool.Name, Address: string(s.id), Incarnation: 1, Draining: s.leaving,
		QueueLength: s.loads[0].waiting, LoadAge: r.now.Sub(s.loads[0].at), TokenGap: s.meter.TokenGap(r.now),
	}
	for id := range s.running {
		rep.Running = append(rep.Running, id.Dispatch(0))
	}
	slices.Sort(rep.Running)
	r.later(hop, func() { r.tell(&event.SlotReported{Report: rep}) })
	r.later(reportEvery, func() { r.report(s) })
}

func (r *run) fault(f trace.Fault) {
	if f.NewOwner {
		r.policy = nil
		r.later(ownerGap, r.replaceOwner)
		return
	}
	s := r.byID[event.EndpointID(f.Endpoint)]
	if f.Slowdown > 0 {
		s.model.SetSlowdown(f.Slowdown)
	}
	s.leaving = s.leaving || f.Leaving
}

// replaceOwner starts a scheduler that knows nothing; the entry registers again
// what waits.
func (r *run) replaceOwner() {
	r.policy = r.make(r.now, r.pool)
	for _, q := range r.trace.Requests {
		one := r.requests[event.RequestID(q.ID)]
		if one == nil || one.ended || one.endpoint != nil {
			continue
		}
		k := one.ticket
		k.Waited = r.now.Sub(one.arrived)
		k.Deadline -= k.Waited
		r.tell(&event.Submitted{Entry: entry, Ticket: k})
	}
}

// finish adds up what the engines did.
func (r *run) finish() {
	useful := len(r.blocks) * engine.BlockTokens
	for _, q := range r.requests {
		if q.ran && q.ended {
			useful += q.ticket.PromptTokens - len(q.blocks)*engine.BlockTokens
		}
	}
	for _, s := range r.servers {
		t := s.model.Totals()
		r.result.Prefilled += t.Prefilled
		r.result.Thrown += t.Wasted
	}
	r.result.Repeated = max(0, r.result.Prefilled-useful)
}
