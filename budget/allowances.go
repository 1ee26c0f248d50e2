// SPDX-License-Identifier: MIT

package budget

import (
	"maps"
	"slices"

	"lynxramp.org/event"
)

// ownerSoon is how long it takes until an entry that decides alone has an owner again, as
// a rule: elections were measured at 0.35 to 0.65 s. It is what callers are told whose
// budget was not lent.
const ownerSoon = 700 * event.Millisecond

// Allowances is what an entry may spend without an owner: what owners lent to it. It is a
// reducer and not safe for concurrent use. The zero value has nothing.
type Allowances struct {
	held    map[Account]*Holding
	changed map[Account]bool // spent since an owner was last told
	told    map[Account]int  // Spent as an owner was last told
	number  uint64           // of the last message that lent something
}

// Spend counts an amount and reports whether it was lent.
func (s *Allowances) Spend(_ event.Time, _ event.BoxID, name Account, amount int) bool {
	if amount == 0 {
		return true
	}
	h := s.held[name]
	if h == nil || h.Spent+amount > h.UpTo {
		return false
	}
	s.count(h, amount)
	return true
}

func (s *Allowances) count(h *Holding, amount int) {
	h.Spent += amount
	if s.changed == nil {
		s.changed = make(map[Account]bool)
	}
	s.changed[h.Account] = true
}

// GiveBack takes back what was spent and that no endpoint had, as far as no owner was told
// of it: an owner has counted that at the time, and what is spent anew counts anew.
func (s *Allowances) GiveBack(_ event.Time, name Account, _ event.Time, amount int) {
	if h := s.held[name]; h != nil {
		h.Spent = max(s.told[name], h.Spent-amount)
	}
}

// tell returns an account for an owner that is told of it now.
func (s *Allowances) tell(name Account) Holding {
	if s.told == nil {
		s.told = make(map[Account]int)
	}
	h := *s.held[name]
	s.told[name] = h.Spent
	return h
}

// SetLimit does nothing: limits are the owner's matter.
func (s *Allowances) SetLimit(event.Time, Account, Limit) {}

// Room returns when there may be an owner again that has room.
func (s *Allowances) Room(event.Time, Account, int) event.Span { return ownerSoon }

// State returns what was spent of an account and up to where it may be, for the log.
func (s *Allowances) State(_ event.Time, name Account) (spent, limit int) {
	if h := s.held[name]; h != nil {
		return h.Spent, h.UpTo
	}
	return 0, 0
}

// Take takes what an owner lent.
func (s *Allowances) Take(l Lent) {
	if s.held == nil {
		s.held = make(map[Account]*Holding)
	}
	if l.Whole {
		for _, h := range s.held {
			h.UpTo = h.Spent
		}
	}
	for _, one := range l.UpTo {
		h, ok := s.held[one.Account]
		if !ok {
			h = &Holding{Account: one.Account}
			s.held[one.Account] = h
		}
		h.UpTo = one.UpTo
	}
	s.number = l.Number
}

// Drop gives up what was lent and is not spent: it may not be used any more, and owners count
// it as spent.
func (s *Allowances) Drop() {
	for _, h := range s.held {
		h.UpTo = min(h.UpTo, h.Spent)
	}
}

// Greet returns all that is held, for an owner that a session begins with. Number is of no
// use to it.
func (s *Allowances) Greet() []Holding {
	clear(s.changed)
	s.number = 0
	var list []Holding
	for _, name := range slices.Sorted(maps.Keys(s.held)) {
		list = append(list, s.tell(name))
	}
	return list
}

// Changes returns the number of the last message that lent something in this session, and
// what was spent since the owner was last told.
func (s *Allowances) Changes() (uint64, []Holding) {
	var list []Holding
	for _, name := range slices.Sorted(maps.Keys(s.changed)) {
		list = append(list, s.tell(name))
	}
	clear(s.changed)
	return s.number, list
}
