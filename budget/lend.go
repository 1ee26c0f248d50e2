// SPDX-License-Identifier: MIT

package budget

import (
	"maps"
	"slices"

	"lynxramp.org/event"
)

// This file lends entries what they may spend while they have no owner.

// Holding is an entry's word on an account: what it has spent without an owner since its
// start, and up to where it may.
type Holding struct {
	Account Account
	Spent   int
	UpTo    int
}

// evenPart is the part of what is lent that all entries get alike; the rest goes by use.
const evenPart = 0.25

// holder is what is known of an entry that was lent something.
type holder struct {
	life    uint64
	credits map[Account]*credit
	told    event.Time // when it was last lent something or told to go on
	// number is that of the last message that lent something. While it is 0, what the
	// entry spends is what an earlier owner lent, which is inherited.
	number uint64
	whole  bool // the next message must replace all that it holds
	// old is what it said at its first session that it holds of earlier owners and has not
	// spent. It is part of what is inherited until the entry has the first message, which
	// takes it back.
	old map[Account]int
}

// credit is what an entry may spend of an account.
type credit struct {
	spent int // since its start, by its word
	// upto is what spent may reach by the last message that the entry has for sure, and
	// sent by a later one, number by which it came.
	upto, sent int
	number     uint64
	use        rate
}

func (h *holder) credit(name Account) *credit {
	c, ok := h.credits[name]
	if !ok {
		c = &credit{}
		h.credits[name] = c
	}
	return c
}

// left is what the entry may still spend.
func (c *credit) left() int { return max(0, max(c.upto, c.sent)-c.spent) }

// Greet takes an entry in that begins a session, with all that it holds. Another life of
// it has forgotten what it was lent: that counts as spent.
func (b *Book) Greet(now event.Time, entry event.BoxID, life uint64, held []Holding) {
	h, ok := b.holders[entry]
	if ok && h.life != life {
		b.settle(now, h)
	}
	if !ok || h.life != life {
		h = &holder{life: life, credits: make(map[Account]*credit), told: now, old: make(map[Account]int)}
		b.holders[entry] = h
		for _, one := range held {
			c := h.credit(one.Account)
			c.spent, c.upto, c.sent = one.Spent, one.Spent, one.Spent
			h.old[one.Account] = max(0, one.UpTo-one.Spent)
		}
	}
	h.whole = true
	b.hear(now, h, held)
}

// Hear takes an entry's word on what it has spent, and up to which message it has what it
// was lent.
func (b *Book) Hear(now event.Time, entry event.BoxID, has uint64, held []Holding) {
	h, ok := b.holders[entry]
	if !ok {
		return
	}
	b.hear(now, h, held)
	if has > 0 && h.number > 0 {
		b.takeBack(h)
	}
	for name, c := range h.credits {
		if c.sent != c.upto && has >= c.number {
			b.change(name, c, func() { c.upto = c.sent })
		}
	}
}

func (b *Book) hear(now event.Time, h *holder, held []Holding) {
	for _, one := range held {
		c := h.credit(one.Account)
		more := one.Spent - c.spent
		b.change(one.Account, c, func() { c.spent = one.Spent })
		h.old[one.Account] = max(0, h.old[one.Account]-max(0, more))
		if a := b.accounts[one.Account]; a != nil && more > 0 && h.number > 0 {
			a.takeForSpent(now, more)
		}
	}
}

// takeBack takes from what is inherited what an entry holds of earlier owners: it has the
// message that replaces it. All that is inherited was a bound on the sum of what entries hold,
// so what one gave back can be spent by no other. Without it a team whose requests grow after
// a change of owner has a quarter of its quota withheld for as long as an entry may be out of
// touch, 5 s on the deployments that were measured.
func (b *Book) takeBack(h *holder) {
	for name, left := range h.old {
		if a := b.accounts[name]; a != nil {
			a.inherited = max(0, a.inherited-left)
		}
	}
	clear(h.old)
}

// change changes a credit and keeps the account's sum of what is lent.
func (b *Book) change(name Account, c *credit, do func()) {
	before := c.left()
	do()
	if a := b.accounts[name]; a != nil {
		a.lent += c.left() - before
	}
}

// settle takes for spent all that an entry was lent, when it can't use it any more. What it
// is lent next replaces that.
func (b *Book) settle(now event.Time, h *holder) {
	h.whole = true
	for name, c := range h.credits {
		left := c.left()
		if left == 0 {
			continue
		}
		b.change(name, c, func() { c.upto, c.sent = c.spent, c.spent })
		if a := b.accounts[name]; a != nil {
			a.takeForSpent(now, left)
		}
	}
}

// Lent is a message to an entry: up to where it may spend. Whole says that it may spend
// nothing of accounts that are not listed.
type Lent struct {
	Number uint64
	Whole  bool
	UpTo   []Holding
}

// Lend returns what an entry may spend without an owner from now on, one of some that are
// here.
func (b *Book) Lend(now event.Time, entry event.BoxID, entries int) Lent {
	h, ok := b.holders[entry]
	if !ok || !b.isRecorded {
		// This answer lets the entry serve on. What an earlier owner lent must not be
		// used any longer for that.
		return Lent{Whole: true}
	}
	h.told = now
	out := Lent{Whole: h.whole}
	for _, name := range slices.Sorted(maps.Keys(b.accounts)) {
		if one, ok := b.lend(now, h, name, entries); ok {
			out.UpTo = append(out.UpTo, one)
		}
	}
	if out.Whole || len(out.UpTo) > 0 {
		h.number++
		h.whole = false
	}
	out.Number = h.number
	return out
}

// lend moves an entry's credit of an account towards what it is to have. A change waits
// until the entry has the one before.
func (b *Book) lend(now event.Time, h *holder, name Account, entries int) (Holding, bool) {
	a, c := b.accounts[name], h.credit(name)
	if c.sent != c.upto && !h.whole {
		return Holding{}, false
	}
	want := a.share(now, c, entries)
	if more := want - c.left(); more > 0 {
		want = c.left() + max(0, min(more, b.mayLend(now, a)))
	}
	if isNear(want, c.left()) && !h.whole {
		return Holding{}, false
	}
	if h.whole {
		// The entry may still hold what it was sent before.
		b.change(name, c, func() { c.upto = max(c.upto, c.sent) })
	}
	b.change(name, c, func() { c.sent, c.number = c.spent+want, h.number+1 })
	return Holding{Account: name, UpTo: c.sent}, want > 0 || c.upto != c.sent
}

// isNear reports whether a credit is not worth a message.
func isNear(want, have int) bool {
	return want == have || (have > 0 && want > have*3/4 && want < have*5/4)
}

// share is what an entry is to have of an account: by what it used of it, and a part alike.
func (a *account) share(now event.Time, c *credit, entries int) int {
	most := float64(a.lendMost(now))
	part := evenPart / float64(max(1, entries))
	if all := a.use.fade(now); all > 0 {
		part += (1 - evenPart) * min(1, c.use.fade(now)/all)
	} else {
		part /= evenPart
	}
	return int(most * part)
}

// lendMost is how much of an account is to be lent: half of what is left, less what may be
// spent before the next Record, and never less than what is kept for lending.
func (a *account) lendMost(now event.Time) int {
	most := float64(a.limit.Most)
	left := most - float64(a.spent.Total(now)+a.inherited)
	return int(min(lendPart*most, max(keepPart*most, left/2-markPart*most)))
}

// mayLend returns how much more of an account may be lent.
func (b *Book) mayLend(now event.Time, a *account) int {
	room := min(a.limit.Most-a.total(now), a.mayLend(now, &a.committed))
	if b.isPending {
		room = min(room, a.mayLend(now, &a.pending))
	}
	return max(0, room)
}
