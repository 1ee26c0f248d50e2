// SPDX-License-Identifier: MIT

package budget

import (
	"cmp"
	"maps"
	"slices"

	"lynxramp.org/event"
)

// ownerRecoveryTime is how long a degraded entry is usually without an owner: longer than
// an election. Callers whose budget is not leased are told to retry after it.
const ownerRecoveryTime = 700 * event.Millisecond

// Leases is what a degraded entry (one without an owner) may spend: the shares that owners
// leased to it. It is a reducer and not safe for concurrent use. The zero value has no
// leases.
type Leases struct {
	leases     map[Account]*Lease
	unreported map[Account]bool // spent from since the last report, or leased when the session began
	reported   map[Account]int  // Spent as last reported to an owner
	lastUpdate uint64           // number of the last LeaseUpdate
	maxBytes   int              // of accounts in a message; 0 for the default
}

// Spend spends an amount and reports whether the lease covers it.
func (s *Leases) Spend(_ event.Time, _ event.BoxID, name Account, amount int) bool {
	if amount == 0 {
		return true
	}
	l := s.leases[name]
	if l == nil || l.Spent+amount > l.UpTo {
		return false
	}
	s.add(l, amount)
	return true
}

func (s *Leases) add(l *Lease, amount int) {
	l.Spent += amount
	s.markUnreported(l)
}

// markUnreported marks an account to be reported.
func (s *Leases) markUnreported(l *Lease) {
	if s.unreported == nil {
		s.unreported = make(map[Account]bool)
	}
	s.unreported[l.Account] = true
}

// Refund returns an amount that was spent and reached no endpoint. What was already
// reported to an owner stays spent: the owner has counted it at that time, and would count
// the same amount too early if it were spent again.
func (s *Leases) Refund(_ event.Time, name Account, _ event.Time, amount int) {
	if l := s.leases[name]; l != nil {
		l.Spent = max(s.reported[name], l.Spent-amount)
	}
}

// report returns the lease of an account and marks it as reported.
func (s *Leases) report(name Account) Lease {
	l := s.leases[name]
	s.setReported(l)
	delete(s.unreported, name)
	return *l
}

func (s *Leases) setReported(l *Lease) {
	if s.reported == nil {
		s.reported = make(map[Account]int)
	}
	s.reported[l.Account] = l.Spent
}

// SetLimit does nothing: limits are enforced by the owner.
func (s *Leases) SetLimit(event.Time, Account, Limit) {}

// DropLimit does nothing.
func (s *Leases) DropLimit(Account) {}

// AvailableIn returns how long it takes until an owner with free quota may be available.
func (s *Leases) AvailableIn(event.Time, Account, int) event.Duration { return ownerRecoveryTime }

// IsLeased returns true.
func (s *Leases) IsLeased() bool { return true }

// Usage returns what was spent of an account and the total up to which it may be spent, for
// the log.
func (s *Leases) Usage(_ event.Time, name Account) (spent, limit int) {
	if l := s.leases[name]; l != nil {
		return l.Spent, l.UpTo
	}
	return 0, 0
}

// Apply applies an update from an owner.
func (s *Leases) Apply(u LeaseUpdate) {
	if s.leases == nil {
		s.leases = make(map[Account]*Lease)
	}
	if u.Whole {
		for _, l := range s.leases {
			l.UpTo = l.Spent
		}
	}
	for _, lease := range u.UpTo {
		s.applyLease(lease)
	}
	s.lastUpdate = u.Number
}

// applyLease applies an owner's lease of an account. A lease without a remainder, all of
// whose spending the owner knows, is removed: otherwise the report at the beginning of each
// session would grow with every account that was ever leased.
func (s *Leases) applyLease(update Lease) {
	l, ok := s.leases[update.Account]
	switch {
	case update.UpTo <= update.Spent && (!ok || l.Spent == update.Spent):
		delete(s.leases, update.Account)
		delete(s.reported, update.Account)
		delete(s.unreported, update.Account)
		return
	case !ok:
		l = &Lease{Account: update.Account, Spent: update.Spent}
		s.leases[update.Account] = l
		s.setReported(l)
	}
	l.UpTo = update.UpTo
}

// Expire ends all leases: what is not spent may not be used any more. Owners count it as
// spent.
func (s *Leases) Expire() {
	for _, l := range s.leases {
		l.UpTo = min(l.UpTo, l.Spent)
	}
}

// BeginSession returns the leases to report to an owner at the beginning of a session, as
// many as fit in one message. Changes returns the rest; HasMore reports whether there is
// more.
func (s *Leases) BeginSession() []Lease {
	s.lastUpdate = 0
	for _, l := range s.leases {
		s.markUnreported(l)
	}
	return s.reportSome()
}

// Changes returns the number of the last update applied in this session, and the leases
// that were spent from since the last report, as many as fit in one message. The number is
// 0 until all is reported, because the owner releases by it what was not spent.
func (s *Leases) Changes() (uint64, []Lease) {
	list := s.reportSome()
	if s.HasMore() {
		return 0, list
	}
	return s.lastUpdate, list
}

// HasMore reports whether there are leases left to report.
func (s *Leases) HasMore() bool { return len(s.unreported) > 0 }

// reportSome returns unreported leases by name, as many as fit in one message.
func (s *Leases) reportSome() []Lease {
	var list []Lease
	bytes, maxBytes := 0, cmp.Or(s.maxBytes, defaultBounds.messageBytes)
	for _, name := range slices.Sorted(maps.Keys(s.unreported)) {
		if bytes >= maxBytes {
			break
		}
		bytes += s.leases[name].bytes()
		list = append(list, s.report(name))
	}
	return list
}
