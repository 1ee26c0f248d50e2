// SPDX-License-Identifier: MIT

package budget

import "lynxramp.org/event"

// Account is the name of a budget.
type Account string

// Team returns the account of a team's quota.
func Team(name string) Account { return Account("team/" + name) }

// Retries returns the account of a service's retry budget.
func Retries(service string) Account { return Account("repeats/" + service) }

// Limit is the limit of an account.
type Limit struct {
	Window event.Duration
	// Max is how much may be spent in a window. Base is the least value of Max while the
	// configuration is the same: a retry budget grows with the service's requests.
	Max, Base int
}

const (
	// unrecordedFraction is the fraction of Base that an account may have spent and leased
	// without a Record.
	unrecordedFraction = 0.5
	// recordFraction is the fraction of Base from which on an account is recorded: low
	// enough that the Record is committed before unrecordedFraction is reached.
	recordFraction = 0.375
	// headroomFraction is the fraction of Base that an account may spend between two
	// Records. A new owner counts it as spent; a team at its limit spends it in about 0.6 s.
	headroomFraction = 1.0 / 16
	// minHeadroom is the least that may be spent between two Records. It matters for retry
	// budgets, whose amounts are small.
	minHeadroom = 4
	// maxLeaseFraction and minLeaseFraction are the largest and smallest fractions of its
	// limit that an account has on lease. The smallest is reserved for leases when the
	// account is at its limit.
	maxLeaseFraction = 0.25
	minLeaseFraction = 1.0 / 24
)

// allotment is what a Record allows an account until the next Record.
type allotment struct {
	recorded         bool // the Record has a Line of the account
	headroom, leased int
	// spent is how much was spent since the Record was made. charged was on lease before
	// and was spent or counted as spent since: it still counts against leased.
	spent, charged int
}

// account is the owner's state of one budget, kept from first use until it is idle
// (isIdle).
type account struct {
	name  Account
	limit Limit
	spent *Window
	// leased is what entries may still spend of this owner's leases.
	leased int
	// inherited is what entries may still spend of earlier owners' leases, until
	// inheritedUntil.
	inherited      int
	inheritedUntil event.Time
	committed      allotment
	pending        allotment // if isPending: by the proposed Record
	isPending      bool
	// isStale is true if the log has a Line of the account that this owner did not write.
	// Nothing is spent or leased until a Record of this owner replaces it.
	isStale     bool
	isDropped   bool        // removed from its Allocator
	isUnlimited bool        // has no limit any more; dropped when it is idle
	awaited     int         // the largest amount that waits for a Record
	usage       decayingSum // by all entries
}

// outstanding is what entries may spend without this owner.
func (a *account) outstanding() int { return a.leased + a.inherited }

// total is all that counts against the limit at now.
func (a *account) total(now event.Time) int { return a.spent.Total(now) + a.outstanding() }

// expire counts an earlier owner's leases as spent once nobody can use them any more.
func (a *account) expire(now event.Time) {
	if a.inherited > 0 && now >= a.inheritedUntil {
		a.charge(now, a.inheritedUntil, a.inherited)
		a.inherited = 0
	}
}

// charge moves an amount from outstanding to spent, as spent at the given time.
func (a *account) charge(now, at event.Time, amount int) {
	a.spent.AddAt(now, at, amount)
	a.committed.charged += amount
	a.pending.charged += amount
}

// spend spends an amount that was checked to fit.
func (a *account) spend(now event.Time, amount int) {
	a.spent.Add(now, amount)
	a.committed.spent += amount
	a.pending.spent += amount
}

// reserved is the part of the limit that the owner may not spend itself: what is
// outstanding, or the least that is reserved for leases.
func (a *account) reserved() int {
	return max(a.outstanding(), int(float64(a.limit.Max)*minLeaseFraction))
}

// unrecordedMax is what may be spent and leased without a Record.
func (a *account) unrecordedMax() int { return int(float64(a.limit.Base) * unrecordedFraction) }

// maySpend reports whether an allotment covers an amount.
func (a *account) maySpend(now event.Time, p *allotment, amount int) bool {
	if p.recorded {
		return p.spent+amount <= p.headroom
	}
	return a.total(now)+amount <= a.unrecordedMax()
}

// leasable returns how much more an allotment allows to lease.
func (a *account) leasable(now event.Time, p *allotment) int {
	if p.recorded {
		return p.leased - p.charged - a.outstanding()
	}
	return a.unrecordedMax() - a.total(now)
}

// setWindow changes the window of the account. Ages in the log refer to the old window, so
// a new Line is needed.
func (a *account) setWindow(now event.Time, l Limit) {
	spent := NewWindow(l.Window)
	spent.Add(now, a.spent.Total(now))
	a.spent, a.limit, a.isUnlimited = spent, l, false
	a.isStale = a.isStale || a.isPending || a.committed.recorded
}

// allotment returns the allotment of the newest Record, which may be pending.
func (a *account) allotment() *allotment {
	if a.isPending {
		return &a.pending
	}
	return &a.committed
}

// needsRecord reports whether so much of the latest allotment is used that a new Record is
// needed, or an account without one must be recorded.
func (a *account) needsRecord(now event.Time) bool {
	p := a.allotment()
	if !p.recorded {
		return a.isHighUsage(now)
	}
	return p.spent > p.headroom/2 || p.charged > p.leased/2
}

// isIdle reports whether nothing of the account counts, here or in the log.
func (a *account) isIdle(now event.Time) bool {
	return a.awaited == 0 && !a.isPending && !a.isStale && !a.committed.recorded && a.total(now) == 0
}

// decayingSum is a sum that decays linearly over usageSpan.
type decayingSum struct {
	sum float64
	at  event.Time
}

// usageSpan is the time over which past usage of an account decays.
const usageSpan = 8 * event.Second

func (r *decayingSum) decay(now event.Time) float64 {
	left := 1 - float64(now.Sub(r.at))/float64(usageSpan)
	r.sum *= max(0, left)
	r.at = now
	return r.sum
}

func (r *decayingSum) add(now event.Time, amount int) { r.sum = r.decay(now) + float64(amount) }
