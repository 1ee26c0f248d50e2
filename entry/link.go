// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/event"
	"lynxramp.org/internal/logx"
	"lynxramp.org/rpc"
)

// Times of a Link.
const (
	pollWait    = time.Second
	pollTimeout = 4 * time.Second
	pushTimeout = 2 * time.Second
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
	deadline time.Time
	decided  chan Decision
}

// Link carries an entry's tickets to one scheduler and its decisions back.
//
// News is pushed in batches, one call at a time: what arrives during a call
// travels with the next. A second call polls for decisions. All news may be
// sent twice and all decisions may come twice.
type Link struct {
	entry     event.BoxID
	life      uint64
	scheduler rpc.Scheduler
	log       *zap.Logger

	mu        sync.Mutex
	epoch     uint64
	ack       uint64
	waiting   map[event.RequestID]*waiter
	tickets   []event.RequestID
	withdrawn []*rpc.Withdrawal
	finished  []*rpc.Finish
	wake      chan struct{}
}

// NewLink returns a link of one life of an entry to a scheduler; Run makes it
// work.
func NewLink(entry event.BoxID, life uint64, s rpc.Scheduler, log *zap.Logger) *Link {
	return &Link{
		entry:     entry,
		life:      life,
		scheduler: s,
		log:       log,
		waiting:   make(map[event.RequestID]*waiter),
		wake:      make(chan struct{}, 1),
	}
}

// Run pushes and polls until ctx ends.
func (l *Link) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { l.pushAll(ctx) })
	wait.Go(func() { l.pollAll(ctx) })
	wait.Wait()
}

// Submit registers a ticket. Its decision comes on the channel, which holds it
// until it is read.
func (l *Link) Submit(t event.Ticket, deadline time.Time) <-chan Decision {
	w := &waiter{ticket: t, deadline: deadline, decided: make(chan Decision, 1)}
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

// push sends one batch until the scheduler has it. A batch sent twice does no
// harm.
func (l *Link) push(ctx context.Context, r *rpc.ExchangeRequest) {
	for ctx.Err() == nil {
		if l.exchange(ctx, r, pushTimeout) {
			return
		}
		pause(ctx, linkBackoff)
	}
}

func (l *Link) pollAll(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		r := l.request()
		l.mu.Unlock()
		r.WaitMs = uint32(pollWait.Milliseconds())
		if !l.exchange(ctx, r, pollTimeout) {
			pause(ctx, linkBackoff)
		}
	}
}

// exchange makes one call and takes in its decisions.
func (l *Link) exchange(ctx context.Context, r *rpc.ExchangeRequest, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := l.scheduler.Exchange(ctx, r)
	if err != nil {
		l.log.Debug("exchange failed", logx.Err(err))
		return false
	}
	l.take(answer)
	return true
}

// request returns a request without news. The caller holds the lock.
func (l *Link) request() *rpc.ExchangeRequest {
	return &rpc.ExchangeRequest{
		Entry:       string(l.entry),
		Incarnation: l.life,
		Epoch:       l.epoch,
		Ack:         l.ack,
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

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
