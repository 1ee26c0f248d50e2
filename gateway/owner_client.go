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
	"lynxramp.org/internal/logx"
	"lynxramp.org/level"
	"lynxramp.org/message"
	"lynxramp.org/poison"
	"lynxramp.org/routing"
)

// Times of an OwnerClient.
const (
	pingInterval = 200 * event.Millisecond
	// shortPingInterval applies while new connections are limited by the round trip.
	shortPingInterval = 50 * event.Millisecond
	// degradedDelay is how long an entry is without an owner before it schedules by itself.
	degradedDelay = 100 * event.Millisecond
	redialDelay   = 60 * event.Millisecond
	// ownerTimeout is how long an owner may leave pings unanswered before the entry drops the
	// connection: longer than two pings.
	ownerTimeout = 500 * event.Millisecond
)

// Decision is the result of a submission.
type Decision struct {
	Granted  bool
	Endpoint event.EndpointID
	Address  string
	// Version is that of the endpoint if HasVersion is set.
	Version    string
	HasVersion bool
	Reason     event.Reason
	RetryAfter event.Duration
	// NewConnection requires a new connection to the endpoint.
	NewConnection bool
	// Permit is what the grant allows where the endpoint limits its rate.
	Permit backpressure.Permit
	// Degraded is set if the entry decided without an owner.
	Degraded bool
	// Inputs are the values that the decision was based on.
	Inputs event.Inputs
}

// ClientConfig configures an OwnerClient.
type ClientConfig struct {
	Entry    event.BoxID
	Instance uint64
	// ControlAddresses are link addresses of control boxes; some may be out of date.
	ControlAddresses []string
	Limits           admission.Limits
	// ConfigValidity is how long the configuration may be used after it was confirmed as the newest.
	ConfigValidity event.Duration
	// Decode parses a configuration in its operator's format, as owners below level.Chunked send it.
	Decode func([]byte) (*routing.Table, error)
	// LinkBytes limits the long messages that are being received from control boxes; 0 is 64 MiB.
	LinkBytes int64
	Log       *zap.Logger
}

// LinkID identifies a connection to a control box; 0 is none.
type LinkID uint64

// ClientEffects are the actions that an OwnerClient requests, each list in order.
type ClientEffects struct {
	// Dial is the address of a control box to connect to; empty for none.
	Dial   string
	Sends  []LinkSend
	Closes []LinkID
}

// LinkSend is a message to be sent on a connection.
type LinkSend struct {
	Link    LinkID
	Message *message.Envelope
}

// OwnerClient is the entry's client of the owner: it finds the owner, asks it for decisions, and decides by
// itself while there is none. It is a state machine without I/O. Only Table, Gate and the atomic fields may
// be used concurrently.
type OwnerClient struct {
	config           ClientConfig
	log              *zap.Logger
	table            atomic.Pointer[routing.Table]
	validUntil       atomic.Int64  // event.Time until which the table may be used
	entryCount       atomic.Int64  // entries that share the endpoints
	announcedVersion atomic.Uint64 // newest version that an owner announced
	nodeBytes        atomic.Int64  // bytes of configuration nodes received
	pingOften        atomic.Bool   // the round trip to the owner is of interest
	firstTable       chan struct{} // closed when a configuration is first in force
	roundTrip        roundTrip
	// confirmations are of versions that are not in force yet.
	confirmations []versionConfirmation

	link          LinkID
	address       string // of the control box at the other end of link
	hasOwner      bool   // the control box at the other end of link is the owner
	dialing       bool
	dialAt        event.Time
	ownerLostAt   event.Time
	lastPing      event.Time
	lastPong      event.Time
	receivedBytes int64    // on the current link, at the last tick
	controlBoxes  []string // link addresses
	leaderHint    string   // address of the leader from the last redirect
	nextTry       int      // index into controlBoxes of the next one to dial
	nextProbe     int      // index into controlBoxes of the last one whose path was measured
	waiting       map[event.RequestID]*waiter
	running       map[event.RequestID]*message.Running
	endpoints     map[event.EndpointID]message.Endpoint
	restrictions  restrictions
	versions      versionState
	revision      uint64 // of the registry that endpoints reflects
	// listed are the endpoints received of a complete list that is still being received; nil if there
	// is none.
	listed                map[event.EndpointID]bool
	leases                budget.Leases               // amounts that may be spent without an owner
	unreported            []event.RequestID           // running when the session started, not reported yet
	unsubmitted           []*waiter                   // waiting when the owner was found, not submitted to it yet
	unsavedTerminations   []unsavedTermination        // not known to be in the owner's log
	lastTerminationNumber uint64                      // number of the newest termination
	succeeded             map[poison.Fingerprint]bool // requests that succeeded without an owner
	// suspects are the requests that must not run without an owner, as the last owner sent them.
	suspects []poison.Fingerprint
	fetch    configFetch
	degraded *admission.State // scheduler of the entry itself; nil while there is an owner
	// degradedPoison tracks requests that terminate endpoints, for degraded.
	degradedPoison *poison.Tracker
	// gate has the endpoints' feedback. Calls use it concurrently.
	gate               backpressure.Gate
	nextGateSweep      event.Time   // time of the next sweep
	slowedEndpoints    atomic.Int64 // that are treated as slowed while degraded
	slowdownLimiter    *logx.RateLimiter
	ownerFormatVersion level.Level // highest format version that the owner supports
	batch              message.Batch
	effects            event.Effects
	out                ClientEffects
}

// waiter is a request that awaits its decision.
type waiter struct {
	submission message.Submission
	// stream identifies the request's stream; nil if it can't be resumed. sent is the submission as last sent.
	stream   *StreamRequest
	sent     message.Submission
	arrived  event.Time
	decision chan<- Decision
}

// resubmission returns the submission with its times reduced by the time already waited.
func (w *waiter) resubmission(now event.Time) message.Submission {
	m := w.submission
	m.Ticket = m.Ticket.AfterWait(now.Sub(w.arrived))
	return m
}

// NewOwnerClient returns a client that has no owner yet.
func NewOwnerClient(c ClientConfig) *OwnerClient {
	a := &OwnerClient{
		config:       c,
		log:          c.Log,
		controlBoxes: slices.Clone(c.ControlAddresses),
		waiting:      make(map[event.RequestID]*waiter),
		running:      make(map[event.RequestID]*message.Running),
		endpoints:    make(map[event.EndpointID]message.Endpoint),
		firstTable:   make(chan struct{}),
		versions:     newVersionState(),
		nextTry:      int(c.Instance % uint64(len(c.ControlAddresses)+1)),
		fetch:        configFetch{window: maxWindow},

		slowdownLimiter: logx.NewRateLimiter(slowdownLines),
	}
	a.entryCount.Store(1)
	return a
}

// Table returns the configuration in force, or nil if there is none or its validity has expired at now. It
// is safe for concurrent use.
func (a *OwnerClient) Table(now event.Time) *routing.Table {
	if int64(now) >= a.validUntil.Load() {
		return nil
	}
	return a.table.Load()
}

// HasOwner reports whether an owner decides for this entry.
func (a *OwnerClient) HasOwner() bool { return a.hasOwner }

// TakeEffects returns the actions requested since the last call.
func (a *OwnerClient) TakeEffects() ClientEffects {
	a.flush()
	out := a.out
	a.out = ClientEffects{}
	return out
}

// Submit submits a request. Its decision is sent to the channel, which must have free capacity.
func (a *OwnerClient) Submit(now event.Time, m message.Submission, decision chan<- Decision) {
	a.submit(now, &waiter{submission: m, arrived: now, decision: decision})
	a.deliverDecisions(now)
}

// SubmitStream submits a request whose stream may be resumed, or that resumes one.
func (a *OwnerClient) SubmitStream(now event.Time, m message.Submission, s *StreamRequest, decision chan<- Decision) {
	a.submit(now, &waiter{submission: m, stream: s, arrived: now, decision: decision})
	a.deliverDecisions(now)
}

// Withdraw withdraws a request whose decision is no longer awaited.
func (a *OwnerClient) Withdraw(now event.Time, id event.RequestID) {
	a.withdraw(now, id)
	a.deliverDecisions(now)
}

// Begin reports the beginning of the response to a granted request.
func (a *OwnerClient) Begin(now event.Time, b event.Begun) {
	a.begin(now, b)
	a.deliverDecisions(now)
}

// Finish reports that a granted request no longer uses its endpoint.
func (a *OwnerClient) Finish(now event.Time, f message.Finish) {
	a.finish(now, f)
	a.deliverDecisions(now)
}

func (a *OwnerClient) submit(now event.Time, w *waiter) {
	id := w.submission.Ticket.ID
	a.waiting[id] = w
	switch {
	case a.hasOwner:
		m, _ := a.prepare(now, w, w.submission)
		a.batch.Submit = append(a.batch.Submit, m)
	case a.degraded != nil:
		a.submitDegraded(now, w, w.submission)
	}
}

func (a *OwnerClient) withdraw(now event.Time, id event.RequestID) {
	w, ok := a.waiting[id]
	if !ok {
		// It was granted in the meantime; the grant is not used.
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
	a.streamBegun(now, b.ID)
	if r, ok := a.running[b.ID]; ok {
		r.Parts = nil
	}
	if a.hasOwner {
		a.batch.Begun = append(a.batch.Begun, b)
	}
	if a.degraded != nil {
		a.degraded.Begin(now, &b, &a.effects)
	}
}

func (a *OwnerClient) finish(now event.Time, f message.Finish) {
	delete(a.running, f.ID)
	delete(a.versions.running, f.ID)
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

// deliverDecisions delivers the decisions made while degraded. These may cause further ones.
func (a *OwnerClient) deliverDecisions(now event.Time) {
	for len(a.effects.Grants)+len(a.effects.Refusals) > 0 {
		grants, refusals := a.effects.Grants, a.effects.Refusals
		a.effects = event.Effects{}
		a.applyDecisions(now, grants, refusals, true)
	}
}

// applyDecisions sends decisions to the requests that wait for them.
func (a *OwnerClient) applyDecisions(now event.Time, grants []event.Granted, refusals []event.Refused, degraded bool) {
	for _, g := range grants {
		w, ok := a.waiting[g.ID]
		if !ok {
			a.returnGrant(now, g)
			continue
		}
		delete(a.waiting, g.ID)
		d := Decision{
			Granted: true, Endpoint: g.Endpoint, Address: g.Address, Version: a.endpoints[g.Endpoint].Version, NewConnection: g.Fresh,
			Permit: a.permit(&g, degraded), Degraded: degraded, Inputs: g.Inputs,
		}
		if w.stream != nil {
			r, ok := a.streamGranted(now, w, &g, degraded)
			if !ok {
				a.log.Warn("grant of a resumed stream not used: its endpoint may have another version", zap.String("id", string(g.ID)), zap.String("endpoint", string(g.Endpoint)),
					zap.String("endpoint_version", r.version), zap.String("stream_version", w.sent.Ticket.Version))
				a.finish(now, message.Finish{
					Finished: event.Finished{ID: g.ID, Pool: w.submission.Ticket.Service, Void: true, Unused: true}, Endpoint: g.Endpoint, Unsent: true,
				})
				w.decision <- Decision{Reason: event.ReasonStreamUnknown, RetryAfter: retryAfterNotRun, Degraded: degraded}
				continue
			}
			d.Version, d.HasVersion = r.version, r.hasVersion
		}
		a.running[g.ID] = &message.Running{Ticket: w.submission.Ticket, Endpoint: g.Endpoint, Print: w.submission.Print, Parts: w.submission.Parts}
		w.decision <- d
	}
	for _, r := range refusals {
		w, ok := a.waiting[r.ID]
		if !ok {
			continue
		}
		delete(a.waiting, r.ID)
		w.decision <- Decision{Reason: r.Reason, RetryAfter: r.RetryAfter, Degraded: degraded, Inputs: r.Inputs}
	}
}

// returnGrant returns a grant whose request no longer waits.
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

// flush sends the batch, if it has any content.
func (a *OwnerClient) flush() {
	a.flushStreams()
	if len(a.batch.Submit)+len(a.batch.Withdraw)+len(a.batch.Begun)+len(a.batch.Finish)+len(a.batch.Ends)+len(a.batch.Well)+len(a.batch.Heard)+len(a.batch.Streams) == 0 {
		return
	}
	if a.link != 0 {
		batch := a.batch
		a.send(&message.Envelope{Batch: &batch})
	}
	a.batch = message.Batch{}
}

// Tick advances time.
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
		a.degraded.EntryHeartbeat(now, a.config.Entry, &a.effects)
		a.degraded.Tick(now, &a.effects)
		a.logPoisonChanges()
		a.logSlowdowns(now)
	}
	a.sweepGate(now)
	a.tickStreams(now)
	a.deliverDecisions(now)
}

// waitingByArrival returns the waiting requests in order of arrival.
func (a *OwnerClient) waitingByArrival() []*waiter {
	return slices.SortedFunc(maps.Values(a.waiting), func(v, w *waiter) int {
		return cmp.Or(cmp.Compare(v.arrived, w.arrived), cmp.Compare(v.submission.Ticket.ID, w.submission.Ticket.ID))
	})
}

// enterDegraded starts to decide without an owner, from the state last received from one.
func (a *OwnerClient) enterDegraded(now event.Time) {
	entries := int(a.entryCount.Load())
	a.degradedPoison = poison.NewDegradedTracker(a.suspects)
	a.degraded = admission.New(a.config.Limits, a.config.Instance, &a.leases, a.degradedPoison)
	a.degraded.SetLimitShare(now, 1/float64(entries), &a.effects)
	a.degraded.SetTable(now, a.table.Load())
	for _, id := range slices.Sorted(maps.Keys(a.endpoints)) {
		e := a.endpoints[id]
		e.Slots = max(1, (e.Slots+entries-1)/entries)
		if a.restrictions.modeOf(e) != event.ModeNormal {
			e.Mode = event.ModeBlocked // only an owner may use a canary
		}
		a.degraded.SetEndpoint(now, e, &a.effects)
	}
	for _, s := range a.gate.States() {
		a.degraded.ApplyFeedbackState(now, s, &a.effects)
	}
	for _, report := range a.gate.Cooldowns(now) {
		a.degraded.ObserveFeedback(now, a.config.Entry, &report, &a.effects)
	}
	for _, u := range a.unsavedTerminations {
		a.degraded.RecordTerminations(now, []poison.Termination{u.termination}, &a.effects)
	}
	for _, r := range a.running {
		a.degraded.Adopt(now, a.config.Entry, *r, &a.effects)
	}
	for _, w := range a.waitingByArrival() {
		a.submitDegraded(now, w, w.resubmission(now))
	}
	a.log.Warn("decides without an owner", zap.Int("entries", entries), zap.Int("waiting", len(a.waiting)), zap.Int("running", len(a.running)))
}
