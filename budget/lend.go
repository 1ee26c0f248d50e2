// SPDX-License-Identifier: MIT

package budget

import (
	"maps"
	"slices"

	"lynxramp.org/event"
)

// This file lends entries what they may spend while they have no owner.

// holdingBytes is the most that a Holding takes in a message beside its name: two numbers of
// nine bytes, three marks of fields, lengths and the end.
const holdingBytes = 24

// Holding is an entry's word on an account: what it has spent without an owner since its
// start, and up to where it may.
type Holding struct {
	Account Account
	Spent   int
	UpTo    int
}

// bytes is the most that it takes in a message.
func (h *Holding) bytes() int { return len(h.Account) + holdingBytes }

// evenPart is the part of what is lent that all entries get alike; the rest goes by use.
const evenPart = 0.25

// holder is what is known of an entry that was lent something.
type holder struct {
	life    uint64
	credits map[Account]*credit
	ring    []*credit  // the same, in the order in which answers look at them
	next    int        // of ring
	sent    []*credit  // of which the entry may not have the last message, oldest first
	listed  uint64     // Book.listed when all accounts were last taken in
	told    event.Time // when it was last lent something or told to go on
	// isSettled says that all it was lent was taken for spent since.
	isSettled bool
	// isRemembering says that it never forgets an account.
	isRemembering bool
	// isAwaited says that it has more to tell that it held at the beginning of the session.
	isAwaited bool
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
	name    Account
	account *account
	spent   int // since its start, by its word
	// upto is what spent may reach by the last message that the entry has for sure, and
	// sent by a later one, number by which it came.
	upto, sent int
	number     uint64
	use        rate
	// lendUntil is until when the account is lent because the entry used it.
	lendUntil event.Time
	// isEnding says that the message of that number ends the credit, isEnded that the entry
	// has it and has forgotten the account.
	isEnding, isEnded bool
}

func (h *holder) credit(name Account) *credit {
	c, ok := h.credits[name]
	if !ok {
		c = &credit{name: name}
		h.credits[name] = c
		h.ring = append(h.ring, c)
	}
	return c
}

// await takes note that a credit changes with the next message.
func (h *holder) await(c *credit) {
	c.number = h.number + 1
	h.sent = append(h.sent, c)
}

// left is what the entry may still spend.
func (c *credit) left() int { return max(0, max(c.upto, c.sent)-c.spent) }

// Greet takes an entry in that begins a session, with what it holds. Another life of
// it has forgotten what it was lent: that counts as spent.
func (b *Book) Greet(now event.Time, entry event.BoxID, life uint64, held []Holding) {
	h, ok := b.holders[entry]
	if ok && h.life != life {
		b.settle(now, h)
	}
	if !ok || h.life != life {
		h = &holder{life: life, credits: make(map[Account]*credit), told: now, old: make(map[Account]int)}
		b.holders[entry] = h
	}
	h.whole = true
	h.isAwaited = false
	b.hear(now, h, held)
}

// Await says that an entry that has greeted has more to tell of what it holds. It is lent
// nothing until Complete is called: what it spent before must be known first.
func (b *Book) Await(entry event.BoxID) {
	if h, ok := b.holders[entry]; ok {
		h.isAwaited = true
	}
}

// Remembers says that an entry never forgets an account, as those of earlier builds: its credits are
// not ended, since what it spent before would count once more when it is lent of the account again.
func (b *Book) Remembers(entry event.BoxID) {
	if h, ok := b.holders[entry]; ok {
		h.isRemembering = true
	}
}

// Complete says that an entry has told all that it held when it greeted.
func (b *Book) Complete(entry event.BoxID) {
	if h, ok := b.holders[entry]; ok {
		h.isAwaited = false
	}
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
		b.takeBack(now, h)
	}
	for len(h.sent) > 0 && h.sent[0].number <= has {
		c := h.sent[0]
		h.sent = h.sent[1:]
		b.change(c, func() { c.upto = c.sent })
		if c.isEnding && c.spent == c.sent && !b.isWanted(now, c) {
			c.isEnded = true
			delete(h.credits, c.name)
		}
		c.isEnding = false
	}
}

func (b *Book) hear(now event.Time, h *holder, held []Holding) {
	for _, one := range held {
		c, known := h.credits[one.Account]
		if !known {
			c = h.credit(one.Account)
			if h.number == 0 {
				b.inheritCredit(now, h, c, one)
				continue
			}
		}
		more := one.Spent - c.spent
		b.change(c, func() { c.spent = one.Spent })
		h.old[one.Account] = max(0, h.old[one.Account]-max(0, more))
		if more <= 0 {
			continue
		}
		c.lendUntil = now.Add(b.bounds.lend)
		if a := b.accounts[one.Account]; a != nil && h.number > 0 {
			a.takeForSpent(now, now, more)
			b.look(now, a)
		}
	}
}

// inheritCredit takes in what an entry spent and holds of earlier owners.
func (b *Book) inheritCredit(now event.Time, h *holder, c *credit, one Holding) {
	c.spent, c.upto, c.sent = one.Spent, one.Spent, one.Spent
	h.old[one.Account] = max(0, one.UpTo-one.Spent)
	if one.UpTo > one.Spent {
		c.lendUntil = now.Add(b.bounds.lend)
	}
}

// takeBack takes from what is inherited what an entry holds of earlier owners: it has the
// message that replaces it. All that is inherited was a bound on the sum of what entries hold,
// so what one gave back can be spent by no other. Without it a team whose requests grow after
// a change of owner has a quarter of its quota withheld for as long as an entry may be out of
// touch, 5 s on the deployments that were measured.
func (b *Book) takeBack(now event.Time, h *holder) {
	for name, left := range h.old {
		if left == 0 {
			continue
		}
		if a := b.account(now, name); a != nil {
			a.inherited = max(0, a.inherited-left)
		}
	}
	clear(h.old)
}

// accountOf returns the account of a credit; nil if it is not in use.
func (b *Book) accountOf(c *credit) *account {
	if c.account == nil || c.account.isDropped {
		c.account = b.accounts[c.name]
	}
	return c.account
}

// change changes a credit and keeps the account's sum of what is lent.
func (b *Book) change(c *credit, do func()) {
	before := c.left()
	do()
	if a := b.accountOf(c); a != nil {
		a.lent += c.left() - before
	}
}

// settle takes for spent all that an entry was lent, when it can't use it any more. What it
// is lent next replaces that.
func (b *Book) settle(now event.Time, h *holder) {
	h.whole = true
	h.isSettled = true
	for _, c := range h.credits {
		left := c.left()
		if left == 0 {
			continue
		}
		b.change(c, func() { c.upto, c.sent = c.spent, c.spent })
		if a := b.accountOf(c); a != nil {
			a.takeForSpent(now, now, left)
			b.look(now, a)
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
// here. It looks at some of its accounts, and the next call at those after them.
func (b *Book) Lend(now event.Time, entry event.BoxID, entries int) Lent {
	h, ok := b.holders[entry]
	if !ok || !b.isRecorded || h.isAwaited {
		// This answer lets the entry serve on. What an earlier owner lent must not be
		// used any longer for that.
		return Lent{Whole: true}
	}
	h.told = now
	h.isSettled = false
	b.takeIn(h)
	out := Lent{Whole: h.whole}
	if h.whole {
		b.replace(h)
	}
	bytes := 0
	for looks := 0; looks < b.bounds.looks && looks < len(h.ring); looks++ {
		c := h.turn()
		if c == nil {
			continue
		}
		one, ok := b.lend(now, h, c, entries)
		if !ok {
			continue
		}
		out.UpTo = append(out.UpTo, one)
		if bytes += one.bytes(); bytes >= b.bounds.message {
			break
		}
	}
	if out.Whole || len(out.UpTo) > 0 {
		h.number++
		h.whole = false
	}
	out.Number = h.number
	return out
}

// takeIn gives an entry a credit of each account, where there are few.
func (b *Book) takeIn(h *holder) {
	if !b.isSmall() || h.listed == b.listed {
		return
	}
	h.listed = b.listed
	for _, name := range slices.Sorted(maps.Keys(b.limits)) {
		h.credit(name)
	}
}

// isSmall reports whether each entry is lent of all accounts.
func (b *Book) isSmall() bool {
	return len(b.limits) <= b.bounds.looks && len(b.limits)*len(b.holders) <= b.bounds.credits
}

// turn returns the credit whose turn it is to be looked at; nil if that one has ended.
func (h *holder) turn() *credit {
	h.next %= len(h.ring)
	c := h.ring[h.next]
	if !c.isEnded {
		h.next++
		return c
	}
	last := len(h.ring) - 1
	h.ring[h.next] = h.ring[last]
	h.ring[last] = nil
	h.ring = h.ring[:last]
	return nil
}

// replace makes all credits of an entry end with the next message, but for what that one
// lists. Until the entry has it, it may still hold what it was sent before.
func (b *Book) replace(h *holder) {
	h.sent = h.sent[:0]
	for _, c := range h.ring {
		if c.isEnded {
			continue
		}
		c.isEnding = false
		b.change(c, func() { c.upto, c.sent = max(c.upto, c.sent), c.spent })
		if c.upto != c.sent {
			h.await(c)
		}
	}
}

// lend moves an entry's credit of an account towards what it is to have. A change waits
// until the entry has the one before.
func (b *Book) lend(now event.Time, h *holder, c *credit, entries int) (Holding, bool) {
	if c.isEnding || (c.sent != c.upto && !h.whole) {
		return Holding{}, false
	}
	if !b.isWanted(now, c) && !h.isRemembering {
		return b.endCredit(h, c), true
	}
	a := b.accountOf(c)
	if a == nil {
		a = b.account(now, c.name)
	}
	if a == nil {
		return Holding{}, false // it has no limit any more
	}
	want := a.share(now, c, entries)
	if more := want - c.left(); more > 0 {
		want = c.left() + max(0, min(more, b.mayLend(now, a)))
	}
	if isNear(want, c.left()) && !h.whole {
		return Holding{}, false
	}
	waits := c.sent != c.upto
	b.change(c, func() { c.sent = c.spent + want })
	b.look(now, a)
	if !waits && c.upto != c.sent {
		h.await(c)
	}
	return Holding{Account: c.name, Spent: c.spent, UpTo: c.sent}, want > 0 || c.upto != c.sent
}

// isWanted reports whether an entry is to be lent of an account.
func (b *Book) isWanted(now event.Time, c *credit) bool {
	if !b.isSmall() && now >= c.lendUntil {
		return false
	}
	if a := b.accountOf(c); a != nil {
		return !a.isLeaving
	}
	_, ok := b.limits[c.name]
	return ok
}

// endCredit takes back what an entry has of an account, which it forgets if it has spent no
// more than is known here.
func (b *Book) endCredit(h *holder, c *credit) Holding {
	b.change(c, func() { c.sent = c.spent })
	c.isEnding = true
	h.await(c)
	return Holding{Account: c.name, Spent: c.spent, UpTo: c.spent}
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
	if a.isPending {
		room = min(room, a.mayLend(now, &a.pending))
	}
	if a.isStale {
		return 0
	}
	return max(0, room)
}
