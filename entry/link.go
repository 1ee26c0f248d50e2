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

// Times of a Link.
const (
	pollWait    = 2 * time.Second
	pollTimeout = 2800 * time.Millisecond
	pushTimeout = 800 * time.Millisecond
	linkBackoff = 50 * time.Millisecond
)

// Decision is a scheduler's answer to a ticket: a grant or a refusal.
type Decision struct {
	Epoch   event.Epoch
	Grant   *rpc.Grant
	Refusal *rpc.Refusal
}

// waiter is a request that waits for its decision.
type waiter struct {
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

// Catalogs takes news of the catalog.
type Catalogs interface {
	// Version returns the version in force here.
	Version() uint64
	// Take puts a newer version in force.
	Take(news *rpc.CatalogNews) error
}

// Link carries an entry's tickets to the owner of the pools and its decisions
// back, and brings newer catalogs. It finds the owner among the control boxes.
//
// News is pushed in batches, one call at a time: what arrives during a call
// travels with the next. A second call polls for decisions. All news may be
// sent twice and all decisions may come twice.
type Link struct {
	entry      event.BoxID
	life       uint64
	schedulers []Scheduler
	catalogs   Catalogs
	log        *zap.Logger

	mu        sync.Mutex
	current   int  // of the schedulers
	whole     bool // the next call asks for a whole catalog
	epoch     uint64
	ack       uint64
	waiting   map[event.RequestID]*waiter
	tickets   []event.RequestID
	withdrawn []*rpc.Withdrawal
	finished  []*rpc.Finish
	wake      chan struct{}
}

// NewLink returns a link of one life of an entry to the owner among some
// schedulers; Run makes it work.
func NewLink(entry event.BoxID, life uint64, schedulers []Scheduler, catalogs Catalogs, log *zap.Logger) *Link {
	return &Link{
		entry:      entry,
		life:       life,
		schedulers: schedulers,
		catalogs:   catalogs,
		log:        log,
		waiting:    make(map[event.RequestID]*waiter),
		wake:       make(chan struct{}, 1),
	}
}

// Run pushes and polls until ctx ends.
func (l *Link) Run(ctx context.Context) {
	var both sync.WaitGroup
	both.Go(func() { l.pushAll(ctx) })
	both.Go(func() { l.pollAll(ctx) })
	both.Wait()
}

// Submit registers a ticket. Its decision comes on the channel, which holds it
// until it is read.
func (l *Link) Submit(t event.Ticket, arrived, deadline time.Time) <-chan Decision {
	w := &waiter{ticket: t, arrived: arrived, deadline: deadline, decided: make(chan Decision, 1)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting[t.ID] = w
	l.tickets = append(l.tickets, t.ID)
	l.poke()
	return w.decided
}

// Withdraw takes a ticket back that was not decided.
func (l *Link) Withdraw(id event.RequestID, pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
	l.withdrawn = append(l.withdrawn, &rpc.Withdrawal{Id: string(id), Pool: pool})
	l.poke()
}

// Finish says that a granted request no longer uses its endpoint.
func (l *Link) Finish(f *rpc.Finish) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished = append(l.finished, f)
	l.poke()
}

// Waiting returns how many tickets are not decided.
func (l *Link) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}

// poke wakes the pushing goroutine.
func (l *Link) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Link) pushAll(ctx context.Context) {
	for {
		select {
		case <-l.wake:
		case <-ctx.Done():
			return
		}
		for r := l.news(); r != nil && ctx.Err() == nil; r = l.news() {
			l.push(ctx, r)
		}
	}
}

// push sends one batch until the owner has it. A batch sent twice does no harm.
// A new owner needs no old news but the tickets, which it is told of anyway.
func (l *Link) push(ctx context.Context, r *rpc.ExchangeRequest) {
	for ctx.Err() == nil {
		if l.exchange(ctx, r, pushTimeout) {
			return
		}
		wait.For(ctx, linkBackoff)
	}
}

func (l *Link) pollAll(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		r := l.request()
		l.mu.Unlock()
		r.WaitMs = uint32(pollWait.Milliseconds())
		if !l.exchange(ctx, r, pollTimeout) {
			wait.For(ctx, linkBackoff)
		}
	}
}

// exchange makes one call and takes in its decisions.
func (l *Link) exchange(ctx context.Context, r *rpc.ExchangeRequest, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	at, scheduler := l.scheduler()
	answer, err := scheduler.Client.Exchange(ctx, r)
	if err != nil {
		l.log.Debug("exchange failed", zap.String("scheduler", scheduler.Address), logx.Err(err))
		l.leave(at, "")
		return false
	}
	if !answer.Owner {
		l.leave(at, answer.Leader)
		return false
	}
	l.take(answer)
	if answer.Catalog != nil {
		if err := l.catalogs.Take(answer.Catalog); err != nil {
			l.log.Error("catalog not taken, asking for all of it", logx.Err(err))
			l.askWhole()
		}
	}
	return true
}

// askWhole makes the next call ask for a whole catalog.
func (l *Link) askWhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.whole = true
}

// scheduler returns the one that is thought to be the owner.
func (l *Link) scheduler() (int, Scheduler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current, l.schedulers[l.current]
}

// leave goes to the scheduler at an address, or to the next one, unless that
// was done since.
func (l *Link) leave(from int, to string) {
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

// request returns a request without news. The caller holds the lock.
func (l *Link) request() *rpc.ExchangeRequest {
	version := l.catalogs.Version()
	if l.whole {
		version = 0
		l.whole = false
	}
	return &rpc.ExchangeRequest{
		Entry:       string(l.entry),
		Incarnation: l.life,
		Epoch:       l.epoch,
		Ack:         l.ack,
		Version:     version,
	}
}

// news takes all that is to be told; nil if there is nothing.
func (l *Link) news() *rpc.ExchangeRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.tickets)+len(l.withdrawn)+len(l.finished) == 0 {
		return nil
	}
	r := l.request()
	for _, id := range l.tickets {
		if w, ok := l.waiting[id]; ok {
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

// take hands out decisions. A scheduler of a new epoch is told again of all
// that waits; one of an old epoch is not listened to.
func (l *Link) take(answer *rpc.ExchangeResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer.Epoch < l.epoch {
		return
	}
	if answer.Epoch > l.epoch {
		l.epoch = answer.Epoch
		l.ack = 0
		l.registerAgain()
	}
	for _, d := range answer.Decisions {
		// Both calls may bring the same decision. The second must not decide a
		// request that was registered again in between.
		if d.Number > l.ack {
			l.ack = d.Number
			l.decide(d)
		}
	}
}

func (l *Link) registerAgain() {
	l.tickets = l.tickets[:0]
	for id := range l.waiting {
		l.tickets = append(l.tickets, id)
	}
	l.poke()
}

func (l *Link) decide(d *rpc.Decision) {
	id := event.RequestID(d.Id)
	w, ok := l.waiting[id]
	if !ok {
		return
	}
	delete(l.waiting, id)
	w.decided <- Decision{Epoch: event.Epoch(l.epoch), Grant: d.Grant, Refusal: d.Refusal}
}
