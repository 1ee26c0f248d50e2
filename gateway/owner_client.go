// SPDX-License-Identifier: MIT

package gateway

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"

	"go.uber.org/zap"

	"lynxramp.org/admission"
	"lynxramp.org/backpressure"
	"lynxramp.org/budget"
	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/message"
	"lynxramp.org/poison"
	"lynxramp.org/routing"
)

// Times of an owner client.
const (
	pingInterval = 200 * event.Millisecond
	// degradedDelay is how long an entry is without an owner before it decides by
	// itself.
	degradedDelay = 100 * event.Millisecond
	redialDelay   = 60 * event.Millisecond
	// ownerTimeout is how long an owner may leave an entry without an answer before the
	// entry takes it for lost: two of its questions and some.
	ownerTimeout = 500 * event.Millisecond
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
	// Permit is what the grant rests on where the endpoint names a limit.
	Permit backpressure.Permit
	// Alone says that the entry decided without an owner.
	Alone bool
	// Inputs are what decided.
	Inputs event.Inputs
}

// ClientConfig says who an entry is and whom it asks.
type ClientConfig struct {
	Entry event.BoxID
	Life  uint64
	// Control has link addresses of control boxes, perhaps old ones.
	Control []string
	Limits  admission.Limits
	// Fresh is how long the configuration counts after it was known to be the
	// newest.
	Fresh event.Span
	// Decode reads a configuration as its operator sent it: owners below level.Parts send it so.
	Decode func([]byte) (*routing.Table, error)
	Log    *zap.Logger
}

// LinkID names a connection to a control box; 0 is none.
type LinkID uint64

// ClientEffects is what an OwnerClient asks the world to do, in the order of each list.
type ClientEffects struct {
	// Dial is the address of a control box to connect to; empty for none.
	Dial   string
	Sends  []LinkSend
	Closes []LinkID
}

// LinkSend is a message for a connection.
type LinkSend struct {
	Link    LinkID
	Message *message.Envelope
}

// OwnerClient is the entry's side of the decisions: it finds the owner, asks it, and
// decides by itself while there is none. It is a reducer and not safe for concurrent
// use, but for what is atomic.
type OwnerClient struct {
	config           ClientConfig
	log              *zap.Logger
	table            atomic.Pointer[routing.Table]
	validUntil       atomic.Int64  // event.Time until which the table may be used
	entryCount       atomic.Int64  // entries that share endpoints
	announcedVersion atomic.Uint64 // the newest version that an owner told of
	nodeBytes        atomic.Int64  // bytes of configurations' nodes that came
	hasTable         chan struct{} // closed when a configuration is in force for the first time
	// confirmations are words of owners on versions that are not in force yet.
	confirmations []versionConfirmation

	link          LinkID
	address       string // of the control box behind link
	hasOwner      bool   // the other side of link said that it is the owner
	dialing       bool
	dialAt        event.Time
	ownerLostAt   event.Time
	lastPing      event.Time
	lastPong      event.Time
	receivedBytes int64    // bytes that came on the present link, as last looked at
	controlBoxes  []string // known control boxes
	leaderHint    string   // the leader, as last told
	nextTry       int
	waiting       map[event.RequestID]*waiter
	running       map[event.RequestID]*message.Running
	endpoints     map[event.EndpointID]message.Endpoint
	revision      uint64 // of the registry, as endpoints has it
	// listed are the endpoints that an owner has named since it began to list all; nil while
	// none does.
	listed        map[event.EndpointID]bool
	leases        budget.Allowances     // what may be spent without an owner
	unreported    []event.RequestID     // requests that ran when the session began, not told yet
	unsubmitted   []*waiter             // that waited when the owner was found, not submitted to it yet
	unsavedEnds   []unsavedEnd          // that the log may not have
	lastEndNumber uint64                // number of the last one
	succeeded     map[poison.Print]bool // requests that ended well without an owner
	// suspects are the requests that must not run without an owner, by the last one's word.
	suspects []poison.Print
	fetch    configFetch
	degraded *admission.State // nil while there is an owner
	// degradedPoison is what alone knows of requests that end endpoints.
	degradedPoison *poison.Book
	// gate has what endpoints ask for, for the calls too.
	gate          backpressure.Gate
	nextGateSweep event.Time  // of gate
	ownerLevel    level.Level // what the owner reads
	batch         message.Batch
	effects       event.Effects
	out           ClientEffects
}

// waiter is a request without a decision.
type waiter struct {
	submission message.Submission
	arrived    event.Time
	decision   chan<- Decision
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

// NewOwnerClient returns a client that knows no owner yet.
func NewOwnerClient(c ClientConfig) *OwnerClient {
	a := &OwnerClient{
		config:       c,
		log:          c.Log,
		controlBoxes: slices.Clone(c.Control),
		waiting:      make(map[event.RequestID]*waiter),
		running:      make(map[event.RequestID]*message.Running),
		endpoints:    make(map[event.EndpointID]message.Endpoint),
		hasTable:     make(chan struct{}),
		nextTry:      int(c.Life % uint64(len(c.Control)+1)),
		fetch:        configFetch{window: maxWindow},
	}
	a.entryCount.Store(1)
	return a
}

// Table returns the configuration that requests are served by at now; nil while there
// is none, or while it is not known to be the newest. Any goroutine may call it.
func (a *OwnerClient) Table(now event.Time) *routing.Table {
	if int64(now) >= a.validUntil.Load() {
		return nil
	}
	return a.table.Load()
}

// Owned reports whether an owner decides for this entry.
func (a *OwnerClient) Owned() bool { return a.hasOwner }

// Take returns what the world is to do about all that happened since the last call.
func (a *OwnerClient) Take() ClientEffects {
	a.flush()
	out := a.out
	a.out = ClientEffects{}
	return out
}

// Submit registers a request. Its decision goes to the channel, which must have room
// for it.
func (a *OwnerClient) Submit(now event.Time, m message.Submission, decision chan<- Decision) {
	a.submit(now, &waiter{submission: m, arrived: now, decision: decision})
	a.deliverDecisions(now)
}

// Withdraw takes a request back whose decision is not awaited any more.
func (a *OwnerClient) Withdraw(now event.Time, id event.RequestID) {
	a.withdraw(now, id)
	a.deliverDecisions(now)
}

// Begin says that a granted request's answer has begun.
func (a *OwnerClient) Begin(now event.Time, b event.Begun) {
	a.begin(now, b)
	a.deliverDecisions(now)
}

// Finish says that a granted request does not use its endpoint any more.
func (a *OwnerClient) Finish(now event.Time, f message.Finish) {
	a.finish(now, f)
	a.deliverDecisions(now)
}

func (a *OwnerClient) submit(now event.Time, w *waiter) {
	id := w.submission.Ticket.ID
	a.waiting[id] = w
	switch {
	case a.hasOwner:
		a.batch.Submit = append(a.batch.Submit, w.submission)
	case a.degraded != nil:
		a.degraded.Submit(now, a.config.Entry, &w.submission, &a.effects)
	}
}

func (a *OwnerClient) withdraw(now event.Time, id event.RequestID) {
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
	case a.hasOwner:
		a.batch.Withdraw = append(a.batch.Withdraw, withdrawal)
	case a.degraded != nil:
		a.degraded.Withdraw(now, a.config.Entry, withdrawal, &a.effects)
	}
}

func (a *OwnerClient) begin(now event.Time, b event.Begun) {
	if a.hasOwner {
		a.batch.Begun = append(a.batch.Begun, b)
	}
	if a.degraded != nil {
		a.degraded.Begin(now, &b, &a.effects)
	}
}

func (a *OwnerClient) finish(now event.Time, f message.Finish) {
	delete(a.running, f.ID)
	if a.link != 0 {
		a.batch.Finish = append(a.batch.Finish, f)
	}
	if !a.hasOwner {
		a.recordSuccess(&f)
	}
	if a.degraded != nil {
		a.degraded.Finish(now, &f, &a.effects)
	}
}

// deliverDecisions hands on what was decided here alone.
func (a *OwnerClient) deliverDecisions(now event.Time) {
	for len(a.effects.Grants)+len(a.effects.Refusals) > 0 {
		grants, refusals := a.effects.Grants, a.effects.Refusals
		a.effects = event.Effects{}
		a.applyDecisions(now, grants, refusals, true)
	}
}

// applyDecisions tells the waiting requests what was applyDecisions.
func (a *OwnerClient) applyDecisions(now event.Time, grants []event.Granted, refusals []event.Refused, alone bool) {
	for _, g := range grants {
		w, ok := a.waiting[g.ID]
		if !ok {
			a.returnGrant(now, g)
			continue
		}
		delete(a.waiting, g.ID)
		a.running[g.ID] = &message.Running{Ticket: w.submission.Ticket, Endpoint: g.Endpoint, Print: w.submission.Print}
		w.decision <- Decision{Granted: true, Endpoint: g.Endpoint, Address: g.Address, Fresh: g.Fresh, Permit: a.permit(&g, alone), Alone: alone, Inputs: g.Inputs}
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

// returnGrant gives back a grant that nobody waits for.
func (a *OwnerClient) returnGrant(now event.Time, g event.Granted) {
	if _, ok := a.running[g.ID]; ok {
		return
	}
	e, ok := a.endpoints[g.Endpoint]
	if !ok {
		return
	}
	a.finish(now, message.Finish{Finished: event.Finished{ID: g.ID, Pool: e.Service, Void: true, Unused: true}, Endpoint: g.Endpoint, Unsent: true})
}

func (a *OwnerClient) send(m *message.Envelope) {
	a.out.Sends = append(a.out.Sends, LinkSend{a.link, m})
}

// flush sends what was gathered.
func (a *OwnerClient) flush() {
	if len(a.batch.Submit)+len(a.batch.Withdraw)+len(a.batch.Begun)+len(a.batch.Finish)+len(a.batch.Ends)+len(a.batch.Well)+len(a.batch.Heard) == 0 {
		return
	}
	if a.link != 0 {
		batch := a.batch
		a.send(&message.Envelope{Batch: &batch})
	}
	a.batch = message.Batch{}
}

// Tick tells the client that time passed.
func (a *OwnerClient) Tick(now event.Time) {
	switch {
	case a.link != 0:
		a.checkOwner(now)
	case !a.dialing && now >= a.dialAt:
		a.dial()
	}
	if !a.hasOwner && a.degraded == nil && now.Sub(a.ownerLostAt) > degradedDelay && a.table.Load() != nil {
		a.enterDegraded(now)
	}
	if a.degraded != nil {
		a.degraded.EntrySeen(now, a.config.Entry, &a.effects)
		a.degraded.Tick(now, &a.effects)
		a.logSuspicions()
	}
	a.sweepGate(now)
	a.deliverDecisions(now)
}

// waitingByArrival returns what waits, in the order of arrival.
func (a *OwnerClient) waitingByArrival() []*waiter {
	return slices.SortedFunc(maps.Values(a.waiting), func(v, w *waiter) int {
		return cmp.Or(cmp.Compare(v.arrived, w.arrived), cmp.Compare(v.submission.Ticket.ID, w.submission.Ticket.ID))
	})
}

// enterDegraded begins to decide without an owner.
func (a *OwnerClient) enterDegraded(now event.Time) {
	entries := int(a.entryCount.Load())
	a.degradedPoison = poison.NewAlone(a.suspects)
	a.degraded = admission.New(a.config.Limits, a.config.Life, &a.leases, a.degradedPoison)
	a.degraded.SetPart(now, 1/float64(entries), &a.effects)
	a.degraded.SetTable(now, a.table.Load())
	for _, id := range slices.Sorted(maps.Keys(a.endpoints)) {
		e := a.endpoints[id]
		e.Slots = max(1, (e.Slots+entries-1)/entries)
		a.degraded.SetEndpoint(now, e, &a.effects)
	}
	for _, s := range a.gate.States() {
		a.degraded.Learn(now, s, &a.effects)
	}
	for _, h := range a.gate.Rests(now) {
		a.degraded.Hear(now, a.config.Entry, &h, &a.effects)
	}
	for _, one := range a.unsavedEnds {
		a.degraded.Ended(now, []poison.End{one.end}, &a.effects)
	}
	for _, r := range a.running {
		a.degraded.Adopt(now, a.config.Entry, *r, &a.effects)
	}
	for _, w := range a.waitingByArrival() {
		m := w.resubmission(now)
		a.degraded.Submit(now, a.config.Entry, &m, &a.effects)
	}
	a.log.Warn("decides without an owner", zap.Int("entries", entries), zap.Int("waiting", len(a.waiting)), zap.Int("running", len(a.running)))
}
