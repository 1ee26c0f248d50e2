// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/event"
	"lynxramp.org/internal/logx"
	"lynxramp.org/internal/wait"
	"lynxramp.org/rpc"
)

// Timing of the calls to schedulers.
const (
	pollWait        = 2 * time.Second
	pollTimeout     = 2800 * time.Millisecond
	pushTimeout     = 800 * time.Millisecond
	exchangeBackoff = 50 * time.Millisecond
)

// Decision is a scheduler's reply to a ticket: a grant or a refusal.
type Decision struct {
	Epoch   event.Epoch
	Grant   *rpc.Grant
	Refusal *rpc.Refusal
}

// pendingTicket is a submitted ticket without a decision so far.
type pendingTicket struct {
	ticket   event.Ticket
	arrived  time.Time
	deadline time.Time
	decided  chan Decision
}

// Scheduler is a control box that may be the owner of the pools.
type Scheduler struct {
	Address string // IP:port
	Client  rpc.Scheduler
}

// CatalogStore receives catalog updates.
type CatalogStore interface {
	// CatalogVersion returns the version of the current catalog.
	CatalogVersion() uint64
	// ApplyCatalog replaces the current catalog by a newer version.
	ApplyCatalog(update *rpc.CatalogNews) error
}

// OwnerClient sends an entry's tickets to the owner of the pools and receives its
// decisions and catalog updates. It looks for the owner among the control boxes.
//
// Tickets, withdrawals and finishes are pushed in batches, one call at a time: what
// arrives during a call is sent with the next. A second call polls for decisions.
// Both batches and decisions may be delivered twice.
type OwnerClient struct {
	entry      event.BoxID
	instance   uint64
	schedulers []Scheduler
	catalogs   CatalogStore
	log        *zap.Logger

	mu              sync.Mutex
	current         int  // index into schedulers
	wantFullCatalog bool // the next call requests the full catalog
	epoch           uint64
	ack             uint64
	pending         map[event.RequestID]*pendingTicket
	tickets         []event.RequestID
	withdrawn       []*rpc.Withdrawal
	finished        []*rpc.Finish
	wake            chan struct{}
}

// NewOwnerClient returns a client for one instance of an entry. It sends nothing
// before Run.
func NewOwnerClient(entry event.BoxID, instance uint64, schedulers []Scheduler, catalogs CatalogStore, log *zap.Logger) *OwnerClient {
	return &OwnerClient{
		entry:      entry,
		instance:   instance,
		schedulers: schedulers,
		catalogs:   catalogs,
		log:        log,
		pending:    make(map[event.RequestID]*pendingTicket),
		wake:       make(chan struct{}, 1),
	}
}

func (l *OwnerClient) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { l.pushLoop(ctx) })
	wg.Go(func() { l.pollLoop(ctx) })
	wg.Wait()
}

// Submit registers a ticket. Its decision is sent on the returned channel, which is
// buffered.
func (l *OwnerClient) Submit(t event.Ticket, arrived, deadline time.Time) <-chan Decision {
	w := &pendingTicket{ticket: t, arrived: arrived, deadline: deadline, decided: make(chan Decision, 1)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending[t.ID] = w
	l.tickets = append(l.tickets, t.ID)
	l.signal()
	return w.decided
}

// Withdraw cancels a ticket that has no decision yet.
func (l *OwnerClient) Withdraw(id event.RequestID, pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
	l.withdrawn = append(l.withdrawn, &rpc.Withdrawal{Id: string(id), Pool: pool})
	l.signal()
}

// Finish reports that a granted request no longer uses its endpoint.
func (l *OwnerClient) Finish(f *rpc.Finish) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished = append(l.finished, f)
	l.signal()
}

// Pending returns the number of tickets without a decision.
func (l *OwnerClient) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending)
}

// signal wakes the push loop.
func (l *OwnerClient) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *OwnerClient) pushLoop(ctx context.Context) {
	for {
		select {
		case <-l.wake:
		case <-ctx.Done():
			return
		}
		for r := l.nextBatch(); r != nil && ctx.Err() == nil; r = l.nextBatch() {
			l.push(ctx, r)
		}
	}
}

// push sends one batch until an owner accepts it. Sending a batch twice is harmless.
// A new owner needs only the tickets, which applyDecisions submits to it again.
func (l *OwnerClient) push(ctx context.Context, r *rpc.ExchangeRequest) {
	for ctx.Err() == nil {
		if l.exchange(ctx, r, pushTimeout) {
			return
		}
		wait.For(ctx, exchangeBackoff)
	}
}

func (l *OwnerClient) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		r := l.newExchange()
		l.mu.Unlock()
		r.WaitMs = uint32(pollWait.Milliseconds())
		if !l.exchange(ctx, r, pollTimeout) {
			wait.For(ctx, exchangeBackoff)
		}
	}
}

// exchange makes one call and applies its result. It reports whether the scheduler
// is the owner.
func (l *OwnerClient) exchange(ctx context.Context, r *rpc.ExchangeRequest, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	index, scheduler := l.currentScheduler()
	response, err := scheduler.Client.Exchange(ctx, r)
	if err != nil {
		l.log.Debug("exchange with scheduler failed; trying another scheduler", zap.String("scheduler", scheduler.Address), logx.Err(err))
		l.switchScheduler(index, "")
		return false
	}
	if !response.Owner {
		l.switchScheduler(index, response.Leader)
		return false
	}
	l.applyDecisions(response)
	if response.Catalog != nil {
		if err := l.catalogs.ApplyCatalog(response.Catalog); err != nil {
			l.log.Error("failed to apply catalog update; requesting the full catalog", logx.Err(err))
			l.requestFullCatalog()
		}
	}
	return true
}

// requestFullCatalog makes the next call request the full catalog.
func (l *OwnerClient) requestFullCatalog() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wantFullCatalog = true
}

// currentScheduler returns the scheduler that was last known as the owner, and its index.
func (l *OwnerClient) currentScheduler() (int, Scheduler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current, l.schedulers[l.current]
}

// switchScheduler switches from one scheduler to the one with the address to, or to
// the next in the list. It does nothing if another call has switched already.
func (l *OwnerClient) switchScheduler(from int, to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != from {
		return
	}
	for i, s := range l.schedulers {
		if s.Address == to && i != from {
			l.current = i
			return
		}
	}
	l.current = (from + 1) % len(l.schedulers)
}

// newExchange returns a request without tickets, withdrawals and finishes. The
// caller holds the lock.
func (l *OwnerClient) newExchange() *rpc.ExchangeRequest {
	version := l.catalogs.CatalogVersion()
	if l.wantFullCatalog {
		version = 0
		l.wantFullCatalog = false
	}
	return &rpc.ExchangeRequest{
		Entry:       string(l.entry),
		Incarnation: l.instance,
		Epoch:       l.epoch,
		Ack:         l.ack,
		Version:     version,
	}
}

// nextBatch returns a request with all that is waiting to be sent; nil if there is
// nothing.
func (l *OwnerClient) nextBatch() *rpc.ExchangeRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.tickets)+len(l.withdrawn)+len(l.finished) == 0 {
		return nil
	}
	r := l.newExchange()
	for _, id := range l.tickets {
		if w, ok := l.pending[id]; ok {
			t := w.ticket
			t.Deadline = time.Until(w.deadline)
			t.Waited = time.Since(w.arrived)
			r.Tickets = append(r.Tickets, rpc.TicketMessage(t))
		}
	}
	r.Withdrawn = l.withdrawn
	r.Finished = l.finished
	l.tickets, l.withdrawn, l.finished = nil, nil, nil
	return r
}

// applyDecisions delivers decisions to the requests that wait for them. All pending
// tickets are submitted again to an owner of a new epoch; a response of an older
// epoch is ignored.
func (l *OwnerClient) applyDecisions(response *rpc.ExchangeResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if response.Epoch < l.epoch {
		return
	}
	if response.Epoch > l.epoch {
		l.epoch = response.Epoch
		l.ack = 0
		l.resubmitAll()
	}
	for _, d := range response.Decisions {
		// The push and the poll may return the same decision. The second copy must
		// not decide a request that was registered again in between.
		if d.Number > l.ack {
			l.ack = d.Number
			l.deliver(d)
		}
	}
}

func (l *OwnerClient) resubmitAll() {
	l.tickets = l.tickets[:0]
	for id := range l.pending {
		l.tickets = append(l.tickets, id)
	}
	l.signal()
}

func (l *OwnerClient) deliver(d *rpc.Decision) {
	id := event.RequestID(d.Id)
	w, ok := l.pending[id]
	if !ok {
		return
	}
	delete(l.pending, id)
	w.decided <- Decision{Epoch: event.Epoch(l.epoch), Grant: d.Grant, Refusal: d.Refusal}
}
