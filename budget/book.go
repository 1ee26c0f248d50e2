// SPDX-License-Identifier: MIT

package budget

import (
	"cmp"
	"slices"

	"lynxramp.org/event"
)

// lendMargin is how much longer than an entry may use what it was lent the owner takes it
// for outstanding: steady clocks of boxes run at nearly the same rate.
const lendMargin = 100 * event.Millisecond

// dropEvery is how often accounts are looked for of which nothing counts any more.
const dropEvery = event.Second

// Book has the accounts of an owner. It is a reducer and not safe for concurrent use. What it
// does and keeps grows with the accounts that are used, not with those that have a limit.
type Book struct {
	limits   map[Account]Limit
	accounts map[Account]*account // in use
	holders  map[event.BoxID]*holder
	bounds   bounds
	longest  event.Span // window of a limit
	// listed rises with each change of which accounts have limits.
	listed uint64
	// fresh is how long an entry may use what it was lent after it last heard an owner.
	fresh event.Span
	// began is when this owner began, and past what the log has of the owners before, by
	// account; isFirst says that there was no owner before that could have spent.
	began   event.Time
	past    map[Account]*heardLine // that this owner has not written of
	isFirst bool
	// inheriting are accounts of which earlier owners may have lent something.
	inheriting []*account
	droppedAt  event.Time
	// isPending says that a Record is on its way, isRecorded that one of this owner's is
	// committed: before, it spends and lends nothing.
	isPending, isRecorded bool
	isDue                 bool       // a new Record is wanted
	recording             []*account // that the Record on its way speaks of
	restUntil             event.Time // no Record is made before
	isResting             bool
}

// NewBook returns the book of the first owner ever: nothing was spent before. Fresh is how
// long an entry may use what it was lent without hearing an owner.
func NewBook(now event.Time, fresh event.Span) *Book {
	return &Book{
		limits: make(map[Account]Limit), accounts: make(map[Account]*account),
		holders: make(map[event.BoxID]*holder),
		past:    make(map[Account]*heardLine),
		fresh:   fresh + lendMargin, began: now, isFirst: true, bounds: usualBounds,
	}
}

// InheritLedger returns the book of an owner that follows others, with what the log has of
// them. Every owner before had ceased by now.
func InheritLedger(now event.Time, fresh event.Span, l *Ledger) *Book {
	b := NewBook(now, fresh)
	b.isFirst = false
	b.past = l.copy()
	// A map that grows while 14,000 accounts come is a fifth of a new owner's step.
	b.limits = make(map[Account]Limit, len(b.past))
	b.accounts = make(map[Account]*account, len(b.past))
	return b
}

// SetLimit bounds an account from now on.
func (b *Book) SetLimit(now event.Time, name Account, l Limit) {
	if _, ok := b.limits[name]; !ok {
		b.listed++
	}
	b.limits[name] = l
	b.longest = max(b.longest, l.Window)
	a := b.accounts[name]
	switch {
	case a != nil && a.limit.Window == l.Window:
		a.limit, a.isLeaving = l, false
		b.look(now, a)
	case a != nil:
		a.setWindow(now, l)
	case b.past[name] != nil:
		b.account(now, name)
	}
}

// DropLimit says that an account has no limit any more. What counts of it does so until it
// would have ended by itself.
func (b *Book) DropLimit(name Account) {
	if _, ok := b.limits[name]; ok {
		delete(b.limits, name)
		b.listed++
		if a := b.accounts[name]; a != nil {
			a.isLeaving = true
		}
	}
}

// account returns an account that is used; nil without a limit.
func (b *Book) account(now event.Time, name Account) *account {
	if a, ok := b.accounts[name]; ok {
		return a
	}
	l, ok := b.limits[name]
	if !ok {
		return nil
	}
	a := &account{name: name, limit: l, spent: NewWindow(l.Window)}
	b.accounts[name] = a
	if !b.isFirst && now < b.began.Add(b.fresh).Add(l.Window) {
		a.inherit(now, b, b.past[name])
		if a.inherited > 0 {
			b.inheriting = append(b.inheriting, a)
		}
	}
	return a
}

func (b *Book) drop(a *account) {
	a.isDropped = true
	delete(b.accounts, a.name)
}

// Spend counts an amount for an entry and reports whether it fits. An account without a
// limit has room for all.
func (b *Book) Spend(now event.Time, entry event.BoxID, name Account, amount int) bool {
	if amount == 0 {
		return true
	}
	a := b.account(now, name)
	if a == nil {
		return true
	}
	if a.spent.Total(now)+a.reserved()+amount > a.limit.Most {
		return false
	}
	if !b.isCovered(now, a, amount) {
		a.wanted = max(a.wanted, amount)
		b.isDue = true
		return false
	}
	a.spend(now, amount)
	b.look(now, a)
	a.use.add(now, amount)
	if h := b.holders[entry]; h != nil {
		c := h.credit(name)
		c.use.add(now, amount)
		c.lendUntil = now.Add(b.bounds.lend)
	}
	return true
}

// isCovered reports whether Records cover an amount: the one that is committed, and the
// one that may be.
func (b *Book) isCovered(now event.Time, a *account, amount int) bool {
	return b.isRecorded && !a.isStale && a.maySpend(now, &a.committed, amount) &&
		(!a.isPending || a.maySpend(now, &a.pending, amount))
}

// GiveBack takes back what was spent at a moment and that no endpoint had.
func (b *Book) GiveBack(now event.Time, name Account, at event.Time, amount int) {
	if a, ok := b.accounts[name]; ok {
		a.spent.Remove(now, at, amount)
	}
}

// IsLent returns false: an owner spends by its own books.
func (b *Book) IsLent() bool { return false }

// Room returns how long it takes until an amount fits, if nothing more is spent. It is 0
// while only a Record is awaited.
func (b *Book) Room(now event.Time, name Account, amount int) event.Span {
	a := b.account(now, name)
	if a == nil {
		return 0
	}
	return a.spent.Room(now, float64(a.limit.Most-a.reserved()-amount))
}

// State returns what counts as spent in an account and what may be, for the log.
func (b *Book) State(now event.Time, name Account) (spent, limit int) {
	a := b.account(now, name)
	if a == nil {
		return 0, 0
	}
	return a.spent.Total(now), a.limit.Most - a.reserved()
}

// look takes note when an account asks for a new Record.
func (b *Book) look(now event.Time, a *account) {
	b.isDue = b.isDue || a.isSpent(now)
}

// Tick takes for spent what can't be used any more by those it was lent to.
func (b *Book) Tick(now event.Time) {
	if now >= b.began.Add(b.fresh) {
		for _, a := range b.inheriting {
			a.expire(now)
			b.look(now, a)
		}
		b.inheriting = nil
	}
	for _, h := range b.holders {
		if !h.isSettled && now.Sub(h.told) > b.fresh {
			b.settle(now, h)
		}
	}
	b.isResting = now < b.restUntil
	if now.Sub(b.droppedAt) >= dropEvery {
		b.droppedAt = now
		b.dropIdle(now)
	}
}

// dropIdle drops accounts of which nothing counts any more. While earlier owners may have
// spent, an account that began anew would inherit that a second time.
func (b *Book) dropIdle(now event.Time) {
	for _, a := range b.accounts {
		if a.isIdle(now) && (b.isFirst || now >= b.began.Add(b.fresh).Add(a.limit.Window)) {
			b.drop(a)
		}
	}
}

// highMost is the most accounts that High returns: what is written down of them each second
// does not grow with teams.
const highMost = 100

// High returns the accounts whose limits are more than half used, for the log; the fullest
// where there are many.
func (b *Book) High(now event.Time) []Usage {
	var list []Usage
	for name, a := range b.accounts {
		if a.total(now) > a.limit.Most/2 {
			list = append(list, Usage{name, a.spent.Total(now), a.lent, a.inherited, a.limit.Most})
		}
	}
	if len(list) > highMost {
		slices.SortFunc(list, func(u, v Usage) int {
			return cmp.Or(cmp.Compare(v.part(), u.part()), cmp.Compare(u.Account, v.Account))
		})
		list = list[:highMost]
	}
	slices.SortFunc(list, func(u, v Usage) int { return cmp.Compare(u.Account, v.Account) })
	return list
}

// Usage is how an account stands.
type Usage struct {
	Account                      Account
	Spent, Lent, Inherited, Most int
}

// part is how much of the limit is used.
func (u Usage) part() float64 { return float64(u.Spent+u.Lent+u.Inherited) / float64(max(1, u.Most)) }
