// SPDX-License-Identifier: MIT

package budget

import (
	"cmp"
	"slices"

	"lynxramp.org/event"
)

// leaseMargin is how much longer the owner counts a lease as outstanding than the entry may
// use it. It covers the difference in rate of the boxes' clocks.
const leaseMargin = 100 * event.Millisecond

// dropInterval is how often idle accounts are dropped.
const dropInterval = event.Second

// Allocator holds the accounts of an owner: it spends for connected entries and leases
// shares to them. It is a reducer and not safe for concurrent use. Its work and memory grow
// with the accounts in use, not with those that have a limit.
type Allocator struct {
	limits    map[Account]Limit
	accounts  map[Account]*account // in use
	holders   map[event.BoxID]*holder
	bounds    bounds
	maxWindow event.Duration // longest window of a limit
	// limitsVersion increases whenever an account gets or loses its limit.
	limitsVersion uint64
	// leaseTTL is how long an entry may use a lease after its last renewal, plus
	// leaseMargin.
	leaseTTL event.Duration
	// startedAt is when this owner started, prior the lines of earlier owners. isFirst is
	// true if no earlier owner can have spent anything.
	startedAt event.Time
	prior     map[Account]*datedLine // that this owner has not recorded
	isFirst   bool
	// inheriting are the accounts of which earlier owners may have leased shares.
	inheriting []*account
	droppedAt  event.Time
	// isPending is true while a Record is proposed and not committed. isRecorded is true
	// once a Record of this owner was committed: until then it spends and leases nothing.
	isPending, isRecorded bool
	isDue                 bool       // a new Record is needed
	recording             []*account // the accounts of the pending Record
	throttledUntil        event.Time // no Record is made before
	isThrottled           bool
}

// NewAllocator returns the Allocator of the first owner of a deployment: nothing was spent
// before. leaseTTL is how long an entry may use its leases after their last renewal.
func NewAllocator(now event.Time, leaseTTL event.Duration) *Allocator {
	return &Allocator{
		limits: make(map[Account]Limit), accounts: make(map[Account]*account),
		holders:  make(map[event.BoxID]*holder),
		prior:    make(map[Account]*datedLine),
		leaseTTL: leaseTTL + leaseMargin, startedAt: now, isFirst: true, bounds: defaultBounds,
	}
}

// RestoreAllocator returns the Allocator of an owner that succeeds others, with the state in
// the log. Every earlier owner must have stopped by now.
func RestoreAllocator(now event.Time, leaseTTL event.Duration, l *Ledger) *Allocator {
	b := NewAllocator(now, leaseTTL)
	b.isFirst = false
	b.prior = l.copy()
	// Sized in advance: with 14,000 accounts, growing the maps would take a fifth of a new owner's
	// first step.
	b.limits = make(map[Account]Limit, len(b.prior))
	b.accounts = make(map[Account]*account, len(b.prior))
	return b
}

// SetLimit sets the limit of an account.
func (b *Allocator) SetLimit(now event.Time, name Account, l Limit) {
	if _, ok := b.limits[name]; !ok {
		b.limitsVersion++
	}
	b.limits[name] = l
	b.maxWindow = max(b.maxWindow, l.Window)
	a := b.accounts[name]
	switch {
	case a != nil && a.limit.Window == l.Window:
		a.limit, a.isUnlimited = l, false
		b.checkRecord(now, a)
	case a != nil:
		a.setWindow(now, l)
	case b.prior[name] != nil:
		b.account(now, name)
	}
}

// DropLimit removes the limit of an account. What was spent of it counts until it leaves
// the window.
func (b *Allocator) DropLimit(name Account) {
	if _, ok := b.limits[name]; ok {
		delete(b.limits, name)
		b.limitsVersion++
		if a := b.accounts[name]; a != nil {
			a.isUnlimited = true
		}
	}
}

// account returns an account, and creates it on first use; nil if it has no limit.
func (b *Allocator) account(now event.Time, name Account) *account {
	if a, ok := b.accounts[name]; ok {
		return a
	}
	l, ok := b.limits[name]
	if !ok {
		return nil
	}
	a := &account{name: name, limit: l, spent: NewWindow(l.Window)}
	b.accounts[name] = a
	if !b.isFirst && now < b.startedAt.Add(b.leaseTTL).Add(l.Window) {
		a.inherit(now, b, b.prior[name])
		if a.inherited > 0 {
			b.inheriting = append(b.inheriting, a)
		}
	}
	return a
}

func (b *Allocator) drop(a *account) {
	a.isDropped = true
	delete(b.accounts, a.name)
}

// Spend spends an amount for an entry and reports whether it fits. An account without a
// limit fits any amount.
func (b *Allocator) Spend(now event.Time, entry event.BoxID, name Account, amount int) bool {
	if amount == 0 {
		return true
	}
	a := b.account(now, name)
	if a == nil {
		return true
	}
	if a.spent.Total(now)+a.reserved()+amount > a.limit.Max {
		return false
	}
	if !b.isCovered(now, a, amount) {
		a.awaited = max(a.awaited, amount)
		b.isDue = true
		return false
	}
	a.spend(now, amount)
	b.checkRecord(now, a)
	a.usage.add(now, amount)
	if h := b.holders[entry]; h != nil {
		l := h.leaseState(name)
		l.usage.add(now, amount)
		l.wantedUntil = now.Add(b.bounds.useSpan)
	}
	return true
}

// isCovered reports whether the Records cover an amount: the committed one, and the pending
// one.
func (b *Allocator) isCovered(now event.Time, a *account, amount int) bool {
	return b.isRecorded && !a.isStale && a.maySpend(now, &a.committed, amount) &&
		(!a.isPending || a.maySpend(now, &a.pending, amount))
}

// Refund returns an amount that was spent at the given time and reached no endpoint.
func (b *Allocator) Refund(now event.Time, name Account, at event.Time, amount int) {
	if a, ok := b.accounts[name]; ok {
		a.spent.Remove(now, at, amount)
	}
}

// IsLeased returns false: an owner spends from its own accounts.
func (b *Allocator) IsLeased() bool { return false }

// AvailableIn returns how long it takes until an amount fits, if nothing more is spent. It is 0 if
// only a Record is missing.
func (b *Allocator) AvailableIn(now event.Time, name Account, amount int) event.Duration {
	a := b.account(now, name)
	if a == nil {
		return 0
	}
	return a.spent.TimeUntilAtMost(now, float64(a.limit.Max-a.reserved()-amount))
}

// Usage returns what counts as spent of an account and how much may be, for the log.
func (b *Allocator) Usage(now event.Time, name Account) (spent, limit int) {
	a := b.account(now, name)
	if a == nil {
		return 0, 0
	}
	return a.spent.Total(now), a.limit.Max - a.reserved()
}

// checkRecord sets isDue if an account needs a new Record.
func (b *Allocator) checkRecord(now event.Time, a *account) {
	b.isDue = b.isDue || a.needsRecord(now)
}

// Tick counts leases as spent that can't be used any more.
func (b *Allocator) Tick(now event.Time) {
	if now >= b.startedAt.Add(b.leaseTTL) {
		for _, a := range b.inheriting {
			a.expire(now)
			b.checkRecord(now, a)
		}
		b.inheriting = nil
	}
	for _, h := range b.holders {
		if !h.isSettled && now.Sub(h.renewedAt) > b.leaseTTL {
			b.settle(now, h)
		}
	}
	b.isThrottled = now < b.throttledUntil
	if now.Sub(b.droppedAt) >= dropInterval {
		b.droppedAt = now
		b.dropIdle(now)
	}
}

// dropIdle drops idle accounts. It keeps them while earlier owners' spending may count: an
// account that is created again would inherit it a second time.
func (b *Allocator) dropIdle(now event.Time) {
	for _, a := range b.accounts {
		if a.isIdle(now) && (b.isFirst || now >= b.startedAt.Add(b.leaseTTL).Add(a.limit.Window)) {
			b.drop(a)
		}
	}
}

// maxHighUsage is the most accounts that HighUsage returns. It bounds the log.
const maxHighUsage = 100

// HighUsage returns the accounts with more than half of their limit used, for the log. Of
// more than maxHighUsage it returns those with the highest fraction used.
func (b *Allocator) HighUsage(now event.Time) []Usage {
	var list []Usage
	for name, a := range b.accounts {
		if a.total(now) > a.limit.Max/2 {
			list = append(list, Usage{name, a.spent.Total(now), a.leased, a.inherited, a.limit.Max})
		}
	}
	if len(list) > maxHighUsage {
		slices.SortFunc(list, func(u, v Usage) int {
			return cmp.Or(cmp.Compare(v.fraction(), u.fraction()), cmp.Compare(u.Account, v.Account))
		})
		list = list[:maxHighUsage]
	}
	slices.SortFunc(list, func(u, v Usage) int { return cmp.Compare(u.Account, v.Account) })
	return list
}

// Usage is the usage of an account.
type Usage struct {
	Account                       Account
	Spent, Leased, Inherited, Max int
}

// fraction is the fraction of the limit that is used.
func (u Usage) fraction() float64 {
	return float64(u.Spent+u.Leased+u.Inherited) / float64(max(1, u.Max))
}
