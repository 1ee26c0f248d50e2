// SPDX-License-Identifier: MIT

package budget

import (
	"maps"
	"slices"

	"lynxramp.org/event"
)

// This file leases shares of accounts to entries, which spend them while they have no
// owner.

// leaseOverhead is the largest size of a Lease in a message without its name.
const leaseOverhead = 24

// Lease is an entry's share of an account: how much the entry has spent without an owner
// since it started, and the total up to which it may spend.
type Lease struct {
	Account Account
	Spent   int
	UpTo    int
}

// bytes returns the largest size of the lease in a message.
func (l *Lease) bytes() int { return len(l.Account) + leaseOverhead }

// evenFraction is the fraction of what is leased that is split evenly among entries; the
// rest is split by usage.
const evenFraction = 0.25

// holder is the state of an entry that holds leases.
type holder struct {
	instance      uint64
	leases        map[Account]*leaseState
	ring          []*leaseState // all leases, in the order in which they are checked
	next          int           // index in ring
	unacked       []*leaseState // leases whose last change the entry has not acknowledged, oldest first
	limitsVersion uint64        // Allocator.limitsVersion at the last leaseAll
	renewedAt     event.Time    // when its leases were last renewed
	// isSettled is true if all its leases were counted as spent since then.
	isSettled bool
	// keepsAll is true if the entry never drops an account.
	keepsAll bool
	// isReporting is true until the entry has reported all that it held when the session
	// began.
	isReporting bool
	// number is that of the last update sent to the entry. While it is 0, the entry spends
	// what an earlier owner leased, which is part of inherited.
	number     uint64
	replaceAll bool // the next update must replace all its leases
	// prior is what the entry reported in its first session as held of earlier owners and
	// not spent. It is part of the accounts' inherited until the entry acknowledges the
	// first update, which revokes it.
	prior map[Account]int
}

// leaseState is the owner's state of an entry's lease of one account.
type leaseState struct {
	name    Account
	account *account
	spent   int // since the entry started, as last reported
	// acked is the total up to which the entry may spend by the last update that it
	// acknowledged, offered that by a later update, and number the number of that later
	// update.
	acked, offered int
	number         uint64
	usage          decayingSum
	// wantedUntil is until when the account is leased because the entry used it.
	wantedUntil event.Time
	// isRevoking is true while the update with that number, which revokes the lease, is not
	// acknowledged. isRevoked is true once it is, and the entry has dropped the account.
	isRevoking, isRevoked bool
}

func (h *holder) leaseState(name Account) *leaseState {
	l, ok := h.leases[name]
	if !ok {
		l = &leaseState{name: name}
		h.leases[name] = l
		h.ring = append(h.ring, l)
	}
	return l
}

// trackUnacked records that a lease changes with the next update.
func (h *holder) trackUnacked(l *leaseState) {
	l.number = h.number + 1
	h.unacked = append(h.unacked, l)
}

// outstanding is what the entry may still spend.
func (l *leaseState) outstanding() int { return max(0, max(l.acked, l.offered)-l.spent) }

// BeginSession begins a session of an entry, with the leases that the entry reports. A new instance of the entry has lost the leases of the one before, which then
// count as spent.
func (b *Allocator) BeginSession(now event.Time, entry event.BoxID, instance uint64, reported []Lease) {
	h, ok := b.holders[entry]
	if ok && h.instance != instance {
		b.settle(now, h)
	}
	if !ok || h.instance != instance {
		h = &holder{instance: instance, leases: make(map[Account]*leaseState), renewedAt: now, prior: make(map[Account]int)}
		b.holders[entry] = h
	}
	h.replaceAll = true
	h.isReporting = false
	b.applySpent(now, h, reported)
}

// AwaitReport must be called if the entry has more leases to report. It is leased nothing
// until CompleteReport is called, because what it spent before must be known first.
func (b *Allocator) AwaitReport(entry event.BoxID) {
	if h, ok := b.holders[entry]; ok {
		h.isReporting = true
	}
}

// KeepAllLeases must be called for an entry of an earlier build, which never drops an
// account. Its leases are not revoked: when an account was leased again, its earlier
// spending would count a second time.
func (b *Allocator) KeepAllLeases(entry event.BoxID) {
	if h, ok := b.holders[entry]; ok {
		h.keepsAll = true
	}
}

// CompleteReport must be called when the entry has reported all leases that it held when
// the session began.
func (b *Allocator) CompleteReport(entry event.BoxID) {
	if h, ok := b.holders[entry]; ok {
		h.isReporting = false
	}
}

// ApplyReport applies an entry's report: what it has spent, and the number of the last
// update that it applied.
func (b *Allocator) ApplyReport(now event.Time, entry event.BoxID, applied uint64, reported []Lease) {
	h, ok := b.holders[entry]
	if !ok {
		return
	}
	b.applySpent(now, h, reported)
	if applied > 0 && h.number > 0 {
		b.releaseInherited(now, h)
	}
	for len(h.unacked) > 0 && h.unacked[0].number <= applied {
		l := h.unacked[0]
		h.unacked = h.unacked[1:]
		b.update(l, func() { l.acked = l.offered })
		if l.isRevoking && l.spent == l.offered && !b.isWanted(now, l) {
			l.isRevoked = true
			delete(h.leases, l.name)
		}
		l.isRevoking = false
	}
}

func (b *Allocator) applySpent(now event.Time, h *holder, reported []Lease) {
	for _, r := range reported {
		l, known := h.leases[r.Account]
		if !known {
			l = h.leaseState(r.Account)
			if h.number == 0 {
				b.inheritLease(now, h, l, r)
				continue
			}
		}
		added := r.Spent - l.spent
		b.update(l, func() { l.spent = r.Spent })
		h.prior[r.Account] = max(0, h.prior[r.Account]-max(0, added))
		if added <= 0 {
			continue
		}
		l.wantedUntil = now.Add(b.bounds.useSpan)
		if a := b.accounts[r.Account]; a != nil && h.number > 0 {
			a.charge(now, now, added)
			b.checkRecord(now, a)
		}
	}
}

// inheritLease initializes a lease from what an entry spent and holds of earlier owners.
func (b *Allocator) inheritLease(now event.Time, h *holder, l *leaseState, r Lease) {
	l.spent, l.acked, l.offered = r.Spent, r.Spent, r.Spent
	h.prior[r.Account] = max(0, r.UpTo-r.Spent)
	if r.UpTo > r.Spent {
		l.wantedUntil = now.Add(b.bounds.useSpan)
	}
}

// releaseInherited subtracts from inherited what an entry held of earlier owners, once it
// has the update that replaces it. This is safe because inherited bounds the sum of all
// entries' leases, so no other entry can spend what this one returned. Without it that part
// of the quota would be withheld until the leases expire.
func (b *Allocator) releaseInherited(now event.Time, h *holder) {
	for name, outstanding := range h.prior {
		if outstanding == 0 {
			continue
		}
		if a := b.account(now, name); a != nil {
			a.inherited = max(0, a.inherited-outstanding)
		}
	}
	clear(h.prior)
}

// accountOf returns the account of a lease; nil if it is not in use.
func (b *Allocator) accountOf(l *leaseState) *account {
	if l.account == nil || l.account.isDropped {
		l.account = b.accounts[l.name]
	}
	return l.account
}

// update changes a lease and adjusts the account's sum of leased amounts.
func (b *Allocator) update(l *leaseState, change func()) {
	before := l.outstanding()
	change()
	if a := b.accountOf(l); a != nil {
		a.leased += l.outstanding() - before
	}
}

// settle counts all leases of an entry as spent, once it can't use them any more. The next
// update replaces them.
func (b *Allocator) settle(now event.Time, h *holder) {
	h.replaceAll = true
	h.isSettled = true
	for _, l := range h.leases {
		outstanding := l.outstanding()
		if outstanding == 0 {
			continue
		}
		b.update(l, func() { l.acked, l.offered = l.spent, l.spent })
		if a := b.accountOf(l); a != nil {
			a.charge(now, now, outstanding)
			b.checkRecord(now, a)
		}
	}
}

// LeaseUpdate is a message with leases to an entry. If Whole is true, the entry's leases
// that are not listed end.
type LeaseUpdate struct {
	Number uint64
	Whole  bool
	UpTo   []Lease
}

// UpdateLeases returns the next update for an entry; entries is the number of entries. It
// checks some of the entry's accounts, and the next call continues after them.
func (b *Allocator) UpdateLeases(now event.Time, entry event.BoxID, entries int) LeaseUpdate {
	h, ok := b.holders[entry]
	if !ok || !b.isRecorded || h.isReporting {
		// The answer that carries this update extends the time for which the entry may use
		// its leases. Those of earlier owners must not be extended.
		return LeaseUpdate{Whole: true}
	}
	h.renewedAt = now
	h.isSettled = false
	b.leaseAll(h)
	out := LeaseUpdate{Whole: h.replaceAll}
	if h.replaceAll {
		b.revokeAll(h)
	}
	bytes := 0
	for scans := 0; scans < b.bounds.scans && scans < len(h.ring); scans++ {
		l := h.nextLease()
		if l == nil {
			continue
		}
		lease, ok := b.updateLease(now, h, l, entries)
		if !ok {
			continue
		}
		out.UpTo = append(out.UpTo, lease)
		if bytes += lease.bytes(); bytes >= b.bounds.messageBytes {
			break
		}
	}
	if out.Whole || len(out.UpTo) > 0 {
		h.number++
		h.replaceAll = false
	}
	out.Number = h.number
	return out
}

// leaseAll creates a lease of every account, if there are few.
func (b *Allocator) leaseAll(h *holder) {
	if !b.leasesAll() || h.limitsVersion == b.limitsVersion {
		return
	}
	h.limitsVersion = b.limitsVersion
	for _, name := range slices.Sorted(maps.Keys(b.limits)) {
		h.leaseState(name)
	}
}

// leasesAll reports whether each entry is leased a share of every account.
func (b *Allocator) leasesAll() bool {
	return len(b.limits) <= b.bounds.scans && len(b.limits)*len(b.holders) <= b.bounds.maxLeases
}

// nextLease returns the next lease to check; nil if that one was revoked.
func (h *holder) nextLease() *leaseState {
	h.next %= len(h.ring)
	l := h.ring[h.next]
	if !l.isRevoked {
		h.next++
		return l
	}
	last := len(h.ring) - 1
	h.ring[h.next] = h.ring[last]
	h.ring[last] = nil
	h.ring = h.ring[:last]
	return nil
}

// revokeAll revokes all leases of an entry with the next update, except those that the
// update lists. Until the entry acknowledges it, the entry may still hold what it was
// leased before.
func (b *Allocator) revokeAll(h *holder) {
	h.unacked = h.unacked[:0]
	for _, l := range h.ring {
		if l.isRevoked {
			continue
		}
		l.isRevoking = false
		b.update(l, func() { l.acked, l.offered = max(l.acked, l.offered), l.spent })
		if l.acked != l.offered {
			h.trackUnacked(l)
		}
	}
}

// updateLease moves a lease towards its target. A change waits until the entry has
// acknowledged the one before.
func (b *Allocator) updateLease(now event.Time, h *holder, l *leaseState, entries int) (Lease, bool) {
	if l.isRevoking || (l.offered != l.acked && !h.replaceAll) {
		return Lease{}, false
	}
	if !b.isWanted(now, l) && !h.keepsAll {
		return b.revoke(h, l), true
	}
	a := b.accountOf(l)
	if a == nil {
		a = b.account(now, l.name)
	}
	if a == nil {
		return Lease{}, false // no limit any more
	}
	want := a.share(now, l, entries)
	if more := want - l.outstanding(); more > 0 {
		want = l.outstanding() + max(0, min(more, b.leasable(now, a)))
	}
	if isNear(want, l.outstanding()) && !h.replaceAll {
		return Lease{}, false
	}
	isUnacked := l.offered != l.acked
	b.update(l, func() { l.offered = l.spent + want })
	b.checkRecord(now, a)
	if !isUnacked && l.acked != l.offered {
		h.trackUnacked(l)
	}
	return Lease{Account: l.name, Spent: l.spent, UpTo: l.offered}, want > 0 || l.acked != l.offered
}

// isWanted reports whether an entry should have a lease of an account.
func (b *Allocator) isWanted(now event.Time, l *leaseState) bool {
	if !b.leasesAll() && now >= l.wantedUntil {
		return false
	}
	if a := b.accountOf(l); a != nil {
		return !a.isUnlimited
	}
	_, ok := b.limits[l.name]
	return ok
}

// revoke revokes a lease. The entry drops the account if it has spent no more than it has
// reported to the owner.
func (b *Allocator) revoke(h *holder, l *leaseState) Lease {
	b.update(l, func() { l.offered = l.spent })
	l.isRevoking = true
	h.trackUnacked(l)
	return Lease{Account: l.name, Spent: l.spent, UpTo: l.spent}
}

// isNear reports whether a change of a lease is too small for a message.
func isNear(want, have int) bool {
	return want == have || (have > 0 && want > have*3/4 && want < have*5/4)
}

// share returns the target of an entry's lease: its part by usage, and an even part.
func (a *account) share(now event.Time, l *leaseState, entries int) int {
	total := float64(a.leaseTarget(now))
	fraction := evenFraction / float64(max(1, entries))
	if all := a.usage.decay(now); all > 0 {
		fraction += (1 - evenFraction) * min(1, l.usage.decay(now)/all)
	} else {
		fraction /= evenFraction
	}
	return int(total * fraction)
}

// leaseTarget returns how much of an account should be on lease in total: half of what is
// left, less what may be spent before the next Record, and never less than the reserve.
func (a *account) leaseTarget(now event.Time) int {
	maxSpend := float64(a.limit.Max)
	left := maxSpend - float64(a.spent.Total(now)+a.inherited)
	return int(min(maxLeaseFraction*maxSpend, max(minLeaseFraction*maxSpend, left/2-headroomFraction*maxSpend)))
}

// leasable returns how much more of an account may be leased.
func (b *Allocator) leasable(now event.Time, a *account) int {
	free := min(a.limit.Max-a.total(now), a.leasable(now, &a.committed))
	if a.isPending {
		free = min(free, a.leasable(now, &a.pending))
	}
	if a.isStale {
		return 0
	}
	return max(0, free)
}
