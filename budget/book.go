// SPDX-License-Identifier: MIT

package budget

import (
	"maps"
	"slices"

	"lynxramp.org/event"
)

// lendMargin is how much longer than an entry may use what it was lent the owner takes it
// for outstanding: steady clocks of boxes run at nearly the same rate.
const lendMargin = 100 * event.Millisecond

// Book has the accounts of an owner. It is a reducer and not safe for concurrent use.
type Book struct {
	accounts map[Account]*account
	holders  map[event.BoxID]*holder
	// fresh is how long an entry may use what it was lent after it last heard an owner.
	fresh event.Span
	// began is when this owner began, heardRecord when this box heard the last Record
	// of the owners before, and past that Record by account; isFirst says that there was
	// no owner before that could have spent.
	began       event.Time
	heardRecord event.Time
	past        map[Account]*Line
	isFirst     bool
	// isPending says that a Record is on its way, isRecorded that one of this owner's is
	// committed: before, it spends and lends nothing.
	isPending, isRecorded bool
	isDue                 bool // a new Record is wanted
}

// NewBook returns the book of the first owner ever: nothing was spent before. Fresh is how
// long an entry may use what it was lent without hearing an owner.
func NewBook(now event.Time, fresh event.Span) *Book {
	return &Book{
		accounts: make(map[Account]*account), holders: make(map[event.BoxID]*holder),
		fresh: fresh + lendMargin, began: now, isFirst: true,
	}
}

// InheritBook returns the book of an owner that follows others. The last Record of theirs
// was heard at a moment; every owner before had ceased by now.
func InheritBook(now event.Time, fresh event.Span, last Record, heard event.Time) *Book {
	b := NewBook(now, fresh)
	b.isFirst = false
	b.heardRecord = heard
	b.past = make(map[Account]*Line, len(last.Lines))
	for i := range last.Lines {
		b.past[last.Lines[i].Account] = &last.Lines[i]
	}
	return b
}

// SetLimit bounds an account from now on.
func (b *Book) SetLimit(now event.Time, name Account, l Limit) {
	a, ok := b.accounts[name]
	if ok && a.limit.Window == l.Window {
		a.limit = l
		return
	}
	a = &account{limit: l, spent: NewWindow(l.Window)}
	b.accounts[name] = a
	if !b.isFirst && now < b.began.Add(b.fresh).Add(l.Window) {
		a.inherit(now, b, b.past[name])
	}
}

// Spend counts an amount for an entry and reports whether it fits. An account without a
// limit has room for all.
func (b *Book) Spend(now event.Time, entry event.BoxID, name Account, amount int) bool {
	a, ok := b.accounts[name]
	if !ok || amount == 0 {
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
	b.isDue = b.isDue || (a.committed.recorded && a.committed.spent > a.committed.mark/2)
	a.use.add(now, amount)
	if h := b.holders[entry]; h != nil {
		h.credit(name).use.add(now, amount)
	}
	return true
}

// isCovered reports whether Records cover an amount: the one that is committed, and the
// one that may be.
func (b *Book) isCovered(now event.Time, a *account, amount int) bool {
	return b.isRecorded && a.maySpend(now, &a.committed, amount) &&
		(!b.isPending || a.maySpend(now, &a.pending, amount))
}

// GiveBack takes back what was spent at a moment and that no endpoint had.
func (b *Book) GiveBack(now event.Time, name Account, at event.Time, amount int) {
	if a, ok := b.accounts[name]; ok {
		a.spent.Remove(now, at, amount)
	}
}

// Room returns how long it takes until an amount fits, if nothing more is spent. It is 0
// while only a Record is awaited.
func (b *Book) Room(now event.Time, name Account, amount int) event.Span {
	a, ok := b.accounts[name]
	if !ok {
		return 0
	}
	return a.spent.Room(now, float64(a.limit.Most-a.reserved()-amount))
}

// State returns what counts as spent in an account and what may be, for the log.
func (b *Book) State(now event.Time, name Account) (spent, limit int) {
	a, ok := b.accounts[name]
	if !ok {
		return 0, 0
	}
	return a.spent.Total(now), a.limit.Most - a.reserved()
}

// Tick takes for spent what can't be used any more by those it was lent to.
func (b *Book) Tick(now event.Time) {
	for _, a := range b.accounts {
		a.expire(now)
	}
	for _, h := range b.holders {
		if now.Sub(h.told) > b.fresh {
			b.settle(now, h)
		}
	}
	b.look(now)
}

// High returns the accounts whose limits are more than half used, for the log.
func (b *Book) High(now event.Time) []Usage {
	var list []Usage
	for _, name := range slices.Sorted(maps.Keys(b.accounts)) {
		a := b.accounts[name]
		if a.total(now) > a.limit.Most/2 {
			list = append(list, Usage{name, a.spent.Total(now), a.lent, a.inherited, a.limit.Most})
		}
	}
	return list
}

// Usage is how an account stands.
type Usage struct {
	Account                      Account
	Spent, Lent, Inherited, Most int
}
