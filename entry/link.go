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
	wantFullCatalog bool // calls request the full catalog
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

// Run pushes batches and polls for decisions until ctx ends.
func (c *OwnerClient) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.pushLoop(ctx) })
	wg.Go(func() { c.pollLoop(ctx) })
	wg.Wait()
}

// Submit registers a ticket. Its decision is sent on the returned channel, which is
// buffered.
func (c *OwnerClient) Submit(t event.Ticket, arrived, deadline time.Time) <-chan Decision {
	w := &pendingTicket{ticket: t, arrived: arrived, deadline: deadline, decided: make(chan Decision, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[t.ID] = w
	c.tickets = append(c.tickets, t.ID)
	c.signal()
	return w.decided
}

// Withdraw cancels a ticket that has no decision yet.
func (c *OwnerClient) Withdraw(id event.RequestID, pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
	c.withdrawn = append(c.withdrawn, &rpc.Withdrawal{Id: string(id), Pool: pool})
	c.signal()
}

// Finish reports that a granted request no longer uses its endpoint.
func (c *OwnerClient) Finish(f *rpc.Finish) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished = append(c.finished, f)
	c.signal()
}

// Pending returns the number of tickets without a decision.
func (c *OwnerClient) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// signal wakes the push loop.
func (c *OwnerClient) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *OwnerClient) pushLoop(ctx context.Context) {
	for {
		select {
		case <-c.wake:
		case <-ctx.Done():
			return
		}
		for r := c.nextBatch(); r != nil && ctx.Err() == nil; r = c.nextBatch() {
			c.push(ctx, r)
		}
	}
}

// push sends one batch until an owner accepts it. Sending a batch twice is harmless.
// A new owner needs only the tickets, which applyDecisions submits to it again.
func (c *OwnerClient) push(ctx context.Context, r *rpc.ExchangeRequest) {
	for ctx.Err() == nil {
		if c.exchange(ctx, r, pushTimeout) {
			return
		}
		wait.For(ctx, exchangeBackoff)
	}
}

func (c *OwnerClient) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		r := c.newExchange()
		c.mu.Unlock()
		r.WaitMs = uint32(pollWait.Milliseconds())
		if !c.exchange(ctx, r, pollTimeout) {
			wait.For(ctx, exchangeBackoff)
		}
	}
}

// exchange makes one call and applies its result. It reports whether the scheduler
// is the owner.
func (c *OwnerClient) exchange(ctx context.Context, r *rpc.ExchangeRequest, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	index, scheduler := c.currentScheduler()
	response, err := scheduler.Client.Exchange(ctx, r)
	if err != nil {
		c.log.Debug("exchange with scheduler failed; trying another scheduler", zap.String("scheduler", scheduler.Address), logx.Err(err))
		c.switchScheduler(index, "")
		return false
	}
	if !response.Owner {
		c.switchScheduler(index, response.Leader)
		return false
	}
	c.applyDecisions(response)
	if response.Catalog != nil {
		c.applyCatalog(response.Catalog)
	}
	return true
}

// applyCatalog applies a catalog update. After one that fails, calls request the full catalog until an update is applied.
func (c *OwnerClient) applyCatalog(update *rpc.CatalogNews) {
	err := c.catalogs.ApplyCatalog(update)
	if err != nil {
		c.log.Error("failed to apply catalog update; requesting the full catalog", logx.Err(err))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wantFullCatalog = err != nil
}

// currentScheduler returns the scheduler that was last known as the owner, and its index.
func (c *OwnerClient) currentScheduler() (int, Scheduler) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, c.schedulers[c.current]
}

// switchScheduler switches from one scheduler to the one with the address to, or to
// the next in the list. It does nothing if another call has switched already.
func (c *OwnerClient) switchScheduler(from int, to string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != from {
		return
	}
	for i, s := range c.schedulers {
		if s.Address == to && i != from {
			c.current = i
			return
		}
	}
	c.current = (from + 1) % len(c.schedulers)
}

// newExchange returns a request without tickets, withdrawals and finishes. The
// caller holds the lock.
func (c *OwnerClient) newExchange() *rpc.ExchangeRequest {
	version := c.catalogs.CatalogVersion()
	if c.wantFullCatalog {
		version = 0
	}
	return &rpc.ExchangeRequest{
		Entry:       string(c.entry),
		Incarnation: c.instance,
		Epoch:       c.epoch,
		Ack:         c.ack,
		Version:     version,
	}
}

// nextBatch returns a request with all that is waiting to be sent; nil if there is
// nothing.
func (c *OwnerClient) nextBatch() *rpc.ExchangeRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.tickets)+len(c.withdrawn)+len(c.finished) == 0 {
		return nil
	}
	r := c.newExchange()
	for _, id := range c.tickets {
		if w, ok := c.pending[id]; ok {
			t := w.ticket
			t.Deadline = time.Until(w.deadline)
			t.Waited = time.Since(w.arrived)
			r.Tickets = append(r.Tickets, rpc.TicketMessage(t))
		}
	}
	r.Withdrawn = c.withdrawn
	r.Finished = c.finished
	c.tickets, c.withdrawn, c.finished = nil, nil, nil
	return r
}

// applyDecisions delivers decisions to the requests that wait for them. All pending
// tickets are submitted again to an owner of a new epoch; a response of an older
// epoch is ignored.
func (c *OwnerClient) applyDecisions(response *rpc.ExchangeResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if response.Epoch < c.epoch {
		return
	}
	if response.Epoch > c.epoch {
		c.epoch = response.Epoch
		c.ack = 0
		c.resubmitAll()
	}
	for _, d := range response.Decisions {
		// The push and the poll may return the same decision. The second copy must
		// not decide a request that was registered again in between.
		if d.Number > c.ack {
			c.ack = d.Number
			c.deliver(d)
		}
	}
}

func (c *OwnerClient) resubmitAll() {
	c.tickets = c.tickets[:0]
	for id := range c.pending {
		c.tickets = append(c.tickets, id)
	}
	c.signal()
}

func (c *OwnerClient) deliver(d *rpc.Decision) {
	id := event.RequestID(d.Id)
	w, ok := c.pending[id]
	if !ok {
		return
	}
	delete(c.pending, id)
	w.decided <- Decision{Epoch: event.Epoch(c.epoch), Grant: d.Grant, Refusal: d.Refusal}
}
