// SPDX-License-Identifier: MIT

package budget

import "lynxramp.org/event"

// Account names a budget.
type Account string

// Team is the account of a team's quota.
func Team(name string) Account { return Account("team/" + name) }

// Repeats is the account of a service's repeats.
func Repeats(service string) Account { return Account("repeats/" + service) }

// Limit bounds an account.
type Limit struct {
	Window event.Span
	// Most may be spent in a window, and Base is what Most never falls below while the
	// configuration is the same: a service's budget grows with its requests.
	Most, Base int
}

const (
	// freePart is the part of its Base that an account may have spent and lent without
	// a Record.
	freePart = 0.5
	// recordPart is the part from which on it is recorded: early enough that a Record is
	// committed before freePart is reached.
	recordPart = 0.375
	// markPart is the part of its Base that an account may spend between two Records. A
	// new owner takes it for spent; a team at its limit spends it in about 0.6 s.
	markPart = 1.0 / 16
	// markLeast is the least that may be spent between two Records, where the amounts
	// are small numbers of repeats.
	markLeast = 4
	// lendPart is the most of its limit that an account has lent, and keepPart the least
	// that is kept for lending when the account is at its limit.
	lendPart = 0.25
	keepPart = 1.0 / 24
)

// permit is what a Record permits an account until the next one.
type permit struct {
	recorded   bool // the Record names the account
	mark, lent int
	// spent has been spent since the Record was made. returned was lent before and has
	// been spent or taken for spent since: it still counts against lent.
	spent, returned int
}

// account is one budget as an owner keeps it, from its first use until nothing of it counts.
type account struct {
	name  Account
	limit Limit
	spent *Window
	// lent is what entries hold of this owner and have not spent.
	lent int
	// inherited is what entries may still spend of what earlier owners lent, until
	// inheritedUntil.
	inherited      int
	inheritedUntil event.Time
	committed      permit
	pending        permit // while isPending: by the Record that is on its way
	isPending      bool
	// isStale says that the log has a Line on the account that this owner did not write:
	// nothing is spent or lent until one of its own took that one's place.
	isStale   bool
	isDropped bool // it is in no book any more
	isLeaving bool // it has no limit any more, and goes when nothing of it counts
	wanted    int  // the largest amount that waits for a Record
	use       rate // of all entries
}

// outstanding is what may be spent elsewhere without this owner.
func (a *account) outstanding() int { return a.lent + a.inherited }

// total is all that counts at now.
func (a *account) total(now event.Time) int { return a.spent.Total(now) + a.outstanding() }

// expire takes for spent what an earlier owner lent, when nobody can use it any more.
func (a *account) expire(now event.Time) {
	if a.inherited > 0 && now >= a.inheritedUntil {
		a.takeForSpent(now, a.inheritedUntil, a.inherited)
		a.inherited = 0
	}
}

// takeForSpent counts as spent at a moment what was outstanding until then.
func (a *account) takeForSpent(now, at event.Time, amount int) {
	a.spent.AddAt(now, at, amount)
	a.committed.returned += amount
	a.pending.returned += amount
}

// spend counts an amount that fits.
func (a *account) spend(now event.Time, amount int) {
	a.spent.Add(now, amount)
	a.committed.spent += amount
	a.pending.spent += amount
}

// reserved is what an owner may not spend: what is lent, or the least that is kept for it.
func (a *account) reserved() int { return max(a.outstanding(), int(float64(a.limit.Most)*keepPart)) }

// free is what may be spent and lent without a Record.
func (a *account) free() int { return int(float64(a.limit.Base) * freePart) }

// maySpend reports whether what a Record permits covers an amount.
func (a *account) maySpend(now event.Time, p *permit, amount int) bool {
	if p.recorded {
		return p.spent+amount <= p.mark
	}
	return a.total(now)+amount <= a.free()
}

// mayLend returns how much more a Record permits to lend.
func (a *account) mayLend(now event.Time, p *permit) int {
	if p.recorded {
		return p.lent - p.returned - a.outstanding()
	}
	return a.free() - a.total(now)
}

// setWindow bounds the account over another window. The log tells ages by the old one, so that
// a new Line is needed.
func (a *account) setWindow(now event.Time, l Limit) {
	spent := NewWindow(l.Window)
	spent.Add(now, a.spent.Total(now))
	a.spent, a.limit, a.isLeaving = spent, l, false
	a.isStale = a.isStale || a.isPending || a.committed.recorded
}

// permit returns what the newest Record permits, which may be on its way.
func (a *account) permit() *permit {
	if a.isPending {
		return &a.pending
	}
	return &a.committed
}

// isSpent reports whether so much of what a Record permits is used up that a new one is
// wanted, or an account without one is to be recorded.
func (a *account) isSpent(now event.Time) bool {
	p := a.permit()
	if !p.recorded {
		return a.isHigh(now)
	}
	return p.spent > p.mark/2 || p.returned > p.lent/2
}

// isIdle reports whether nothing of the account counts, here or in the log.
func (a *account) isIdle(now event.Time) bool {
	return a.wanted == 0 && !a.isPending && !a.isStale && !a.committed.recorded && a.total(now) == 0
}

// rate is a sum that fades over usedSpan.
type rate struct {
	sum float64
	at  event.Time
}

// usedSpan is how fast an entry's use of an account is forgotten.
const usedSpan = 8 * event.Second

func (r *rate) fade(now event.Time) float64 {
	left := 1 - float64(now.Sub(r.at))/float64(usedSpan)
	r.sum *= max(0, left)
	r.at = now
	return r.sum
}

func (r *rate) add(now event.Time, amount int) { r.sum = r.fade(now) + float64(amount) }
