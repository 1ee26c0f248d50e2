// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/admission"
	"lynxramp.org/event"
	"lynxramp.org/link"
	"lynxramp.org/message"
	"lynxramp.org/routing"
)

// Times of an agent.
const (
	agentTick = 50 * time.Millisecond
	pingEvery = 200 * event.Millisecond
	// aloneAfter is how long an entry is without an owner before it decides by
	// itself.
	aloneAfter = 100 * event.Millisecond
	redialWait = 60 * event.Millisecond
	// startPatience is how long requests wait in a process that has just started
	// and knows no configuration yet.
	startPatience = 2 * event.Second
	inputDepth    = 4096
	// maxBatch is how many requests' news go in one message.
	maxBatch = 256
)

// Decision is what became of a submission.
type Decision struct {
	Granted    bool
	Endpoint   event.EndpointID
	Address    string
	Reason     event.Reason
	RetryAfter event.Span
	// Fresh asks for a new connection to the endpoint.
	Fresh bool
	// Alone says that the entry decided without an owner.
	Alone bool
	// Inputs are what decided.
	Inputs event.Inputs
}

// AgentConfig says who an agent is and whom it asks.
type AgentConfig struct {
	Entry event.BoxID
	Life  uint64
	// Control has link addresses of control boxes, perhaps old ones.
	Control []string
	Limits  admission.Limits
	// Fresh is how long the configuration counts after it was known to be the
	// newest.
	Fresh  event.Span
	Decode func([]byte) (*routing.Table, error)
	Log    *zap.Logger
}

// Agent is the entry's side of the decisions. Its loop owns all that is not
// atomic.
type Agent struct {
	config AgentConfig
	log    *zap.Logger
	clock  event.Clock
	input  chan any
	table  atomic.Pointer[routing.Table]
	fresh  atomic.Int64  // event.Time until which the table may be used
	pace   atomic.Int64  // entries that share quotas
	known  chan struct{} // closed when a configuration is in force for the first time

	conn        *link.Conn[message.Envelope]
	owned       bool // the other side of conn said that it is the owner
	dialing     bool
	dialAt      event.Time
	lostAt      event.Time
	pinged      event.Time
	ponged      event.Time
	members     []string // known control boxes
	hint        string   // the leader, as last told
	nextTry     int
	waiting     map[event.RequestID]*waiter
	running     map[event.RequestID]*message.Running
	endpoints   map[event.EndpointID]message.Endpoint
	ledger      *admission.State    // what was spent here, for the next owner
	ledgerAlone *admission.State    // the part of it that no owner granted
	alone       *admission.State    // nil while there is an owner
	tight       []message.Allowance // quotas, as last told by an owner
	tightAt     event.Time
	batch       message.Batch
	effects     event.Effects
}

// waiter is a request without a decision.
type waiter struct {
	submission message.Submission
	arrived    event.Time
	decision   chan Decision
}

// resubmission returns the submission as it is for who decides from now on.
func (w *waiter) resubmission(now event.Time) message.Submission {
	m := w.submission
	waited := now.Sub(w.arrived)
	m.Ticket.Waited += waited
	m.Ticket.Deadline -= waited
	m.Ticket.Target = max(event.Millisecond, m.Ticket.Target-waited)
	return m
}

// The inputs of the loop.
type (
	submitted struct{ w *waiter }
	withdrawn struct{ id event.RequestID }
	begun     struct{ b event.Begun }
	finished  struct{ f message.Finish }
	dialed    struct {
		conn    *link.Conn[message.Envelope]
		address string
		err     error
	}
	received struct {
		conn *link.Conn[message.Envelope]
		m    *message.Envelope
	}
	lost struct {
		conn *link.Conn[message.Envelope]
		err  error
	}
	reseeded struct{ control []string }
)

// NewAgent returns an agent; Run starts it.
func NewAgent(c AgentConfig) *Agent {
	a := &Agent{
		config:      c,
		log:         c.Log,
		clock:       event.NewClock(),
		input:       make(chan any, inputDepth),
		members:     slices.Clone(c.Control),
		waiting:     make(map[event.RequestID]*waiter),
		running:     make(map[event.RequestID]*message.Running),
		endpoints:   make(map[event.EndpointID]message.Endpoint),
		known:       make(chan struct{}),
		ledger:      admission.New(c.Limits, c.Life),
		ledgerAlone: admission.New(c.Limits, c.Life),
		nextTry:     rand.IntN(len(c.Control) + 1),
	}
	a.pace.Store(1)
	return a
}

// Table returns the configuration that requests are served by; nil while there is
// none, or while it is not known to be the newest.
func (a *Agent) Table() *routing.Table {
	if int64(a.clock.Now()) >= a.fresh.Load() {
		return nil
	}
	return a.table.Load()
}

// AwaitTable returns the configuration like Table. In a process that has just
// started and knows none yet, it waits for the first one, for startPatience at the
// most.
func (a *Agent) AwaitTable(ctx context.Context) *routing.Table {
	if t := a.Table(); t != nil || a.clock.Now() > event.Time(startPatience) {
		return t
	}
	timer := time.NewTimer(startPatience)
	defer timer.Stop()
	select {
	case <-a.known:
	case <-timer.C:
	case <-ctx.Done():
	}
	return a.Table()
}

// Submit registers a request. Its decision comes on the channel.
func (a *Agent) Submit(m message.Submission) <-chan Decision {
	w := &waiter{submission: m, arrived: a.clock.Now(), decision: make(chan Decision, 1)}
	a.input <- submitted{w}
	return w.decision
}

// Withdraw takes a request back whose decision is not awaited any more.
func (a *Agent) Withdraw(id event.RequestID) { a.input <- withdrawn{id} }

// Begin says that a granted request's answer has begun.
func (a *Agent) Begin(b event.Begun) { a.input <- begun{b} }

// Finish says that a granted request does not use its endpoint any more.
func (a *Agent) Finish(f message.Finish) { a.input <- finished{f} }

// SetControl takes other addresses of control boxes.
func (a *Agent) SetControl(control []string) { a.input <- reseeded{control} }

// Run serves until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	ticker := time.NewTicker(agentTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			if a.conn != nil {
				a.conn.Close()
			}
			return
		case in := <-a.input:
			a.take(in)
			for range min(len(a.input), maxBatch) {
				a.take(<-a.input)
			}
		case <-ticker.C:
			a.tick()
		}
		a.flush()
	}
}

func (a *Agent) take(in any) {
	now := a.clock.Now()
	switch in := in.(type) {
	case submitted:
		a.submit(now, in.w)
	case withdrawn:
		a.withdraw(now, in.id)
	case begun:
		a.begin(now, in.b)
	case finished:
		a.finish(now, in.f)
	case dialed:
		a.dialed(now, in)
	case received:
		if in.conn == a.conn {
			a.receive(now, in.m)
		}
	case lost:
		if in.conn == a.conn {
			a.lose(now, "connection ended", in.err)
		}
	case reseeded:
		a.know(in.control)
	}
	a.settle(now)
}

func (a *Agent) submit(now event.Time, w *waiter) {
	id := w.submission.Ticket.ID
	a.waiting[id] = w
	switch {
	case a.owned:
		a.batch.Submit = append(a.batch.Submit, w.submission)
	case a.alone != nil:
		a.alone.Submit(now, a.config.Entry, &w.submission, &a.effects)
	}
}

func (a *Agent) withdraw(now event.Time, id event.RequestID) {
	w, ok := a.waiting[id]
	if !ok {
		// It was granted in the meantime and is not used.
		if r, runs := a.running[id]; runs {
			a.finish(now, message.Finish{
				Finished: event.Finished{ID: id, Pool: r.Ticket.Service, Void: true, Unused: true},
				Endpoint: r.Endpoint, Unsent: true,
			})
		}
		return
	}
	delete(a.waiting, id)
	withdrawal := message.Withdrawal{ID: id, Service: w.submission.Ticket.Service}
	switch {
	case a.owned:
		a.batch.Withdraw = append(a.batch.Withdraw, withdrawal)
	case a.alone != nil:
		a.alone.Withdraw(now, a.config.Entry, withdrawal, &a.effects)
	}
}

func (a *Agent) begin(now event.Time, b event.Begun) {
	if a.owned {
		a.batch.Begun = append(a.batch.Begun, b)
	}
	if a.alone != nil {
		a.alone.Begin(now, &b, &a.effects)
	}
}

func (a *Agent) finish(now event.Time, f message.Finish) {
	delete(a.running, f.ID)
	if a.conn != nil {
		a.batch.Finish = append(a.batch.Finish, f)
	}
	if a.alone != nil {
		a.alone.Finish(now, &f, &a.effects)
	}
}

// settle hands on what was decided here alone.
func (a *Agent) settle(now event.Time) {
	for len(a.effects.Grants)+len(a.effects.Refusals) > 0 {
		grants, refusals := a.effects.Grants, a.effects.Refusals
		a.effects = event.Effects{}
		a.decided(now, grants, refusals, true)
	}
}

// decided tells the waiting requests what was decided.
func (a *Agent) decided(now event.Time, grants []event.Granted, refusals []event.Refused, alone bool) {
	for _, g := range grants {
		w, ok := a.waiting[g.ID]
		if !ok {
			a.refuseGrant(now, g)
			continue
		}
		delete(a.waiting, g.ID)
		a.running[g.ID] = &message.Running{Ticket: w.submission.Ticket, Endpoint: g.Endpoint}
		a.ledger.Note(now, &w.submission)
		if alone {
			a.ledgerAlone.Note(now, &w.submission)
		}
		w.decision <- Decision{Granted: true, Endpoint: g.Endpoint, Address: g.Address, Fresh: g.Fresh, Alone: alone, Inputs: g.Inputs}
	}
	for _, r := range refusals {
		w, ok := a.waiting[r.ID]
		if !ok {
			continue
		}
		delete(a.waiting, r.ID)
		w.decision <- Decision{Reason: r.Reason, RetryAfter: r.RetryAfter, Alone: alone, Inputs: r.Inputs}
	}
}

// refuseGrant gives back a grant that nobody waits for.
func (a *Agent) refuseGrant(now event.Time, g event.Granted) {
	if _, ok := a.running[g.ID]; ok {
		return
	}
	e, ok := a.endpoints[g.Endpoint]
	if !ok {
		return
	}
	a.finish(now, message.Finish{Finished: event.Finished{ID: g.ID, Pool: e.Service, Void: true, Unused: true}, Endpoint: g.Endpoint, Unsent: true})
}

// flush sends what was gathered.
func (a *Agent) flush() {
	if len(a.batch.Submit)+len(a.batch.Withdraw)+len(a.batch.Begun)+len(a.batch.Finish) == 0 {
		return
	}
	if a.conn != nil {
		batch := a.batch
		a.conn.Send(&message.Envelope{Batch: &batch})
	}
	a.batch = message.Batch{}
}

func (a *Agent) tick() {
	now := a.clock.Now()
	switch {
	case a.conn != nil:
		a.keepOwner(now)
	case !a.dialing && now >= a.dialAt:
		a.dial()
	}
	if !a.owned && a.alone == nil && now.Sub(a.lostAt) > aloneAfter && a.table.Load() != nil {
		a.goAlone(now)
	}
	if a.alone != nil {
		a.alone.EntrySeen(now, a.config.Entry, &a.effects)
		a.alone.Tick(now, &a.effects)
	}
	a.settle(now)
}

// goAlone begins to decide without an owner.
func (a *Agent) goAlone(now event.Time) {
	entries := int(a.pace.Load())
	a.alone = admission.New(a.config.Limits, a.config.Life)
	a.alone.SetTable(now, a.table.Load())
	a.alone.SetShare(1 / float64(entries))
	a.alone.Take(now, a.ledger.Report(now), a.config.Limits.QuotaWindow)
	a.alone.SetAllowances(a.tight, a.tightAt)
	for _, e := range a.endpoints {
		e.Slots = max(1, (e.Slots+entries-1)/entries)
		a.alone.SetEndpoint(now, e, &a.effects)
	}
	for _, r := range a.running {
		a.alone.Adopt(now, a.config.Entry, *r, &a.effects)
	}
	for _, w := range a.waiting {
		m := w.resubmission(now)
		a.alone.Submit(now, a.config.Entry, &m, &a.effects)
	}
	a.log.Warn("decides without an owner", zap.Int("entries", entries), zap.Int("waiting", len(a.waiting)), zap.Int("running", len(a.running)))
}
