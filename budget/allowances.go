// SPDX-License-Identifier: MIT

package budget

import (
	"cmp"
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
	changed map[Account]bool // to be told: spent since an owner was, or held at a session's beginning
	told    map[Account]int  // Spent as an owner was last told
	number  uint64           // of the last message that lent something
	most    int              // bytes of accounts in a message; 0 is as usual
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
	s.mark(h)
}

// mark takes note that an account is to be told.
func (s *Allowances) mark(h *Holding) {
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
	h := s.held[name]
	s.setTold(h)
	delete(s.changed, name)
	return *h
}

func (s *Allowances) setTold(h *Holding) {
	if s.told == nil {
		s.told = make(map[Account]int)
	}
	s.told[h.Account] = h.Spent
}

// SetLimit does nothing: limits are the owner's matter.
func (s *Allowances) SetLimit(event.Time, Account, Limit) {}

// DropLimit does nothing, as SetLimit.
func (s *Allowances) DropLimit(Account) {}

// Room returns when there may be an owner again that has room.
func (s *Allowances) Room(event.Time, Account, int) event.Span { return ownerSoon }

// IsLent returns true.
func (s *Allowances) IsLent() bool { return true }

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
		s.take(one)
	}
	s.number = l.Number
}

// take takes an owner's word on an account. One of which nothing is left, and all that was
// spent is known to the owner, is forgotten: what is told at each session's beginning would
// else grow with all accounts that were ever lent.
func (s *Allowances) take(one Holding) {
	h, ok := s.held[one.Account]
	switch {
	case one.UpTo <= one.Spent && (!ok || h.Spent == one.Spent):
		delete(s.held, one.Account)
		delete(s.told, one.Account)
		delete(s.changed, one.Account)
		return
	case !ok:
		h = &Holding{Account: one.Account, Spent: one.Spent}
		s.held[one.Account] = h
		s.setTold(h)
	}
	h.UpTo = one.UpTo
}

// Drop gives up what was lent and is not spent: it may not be used any more, and owners count
// it as spent.
func (s *Allowances) Drop() {
	for _, h := range s.held {
		h.UpTo = min(h.UpTo, h.Spent)
	}
}

// Greet returns what is held, for an owner that a session begins with: all, or as much as
// one message may have. Changes returns the rest; More tells whether there is one.
func (s *Allowances) Greet() []Holding {
	s.number = 0
	for _, h := range s.held {
		s.mark(h)
	}
	return s.tellSome()
}

// Changes returns the number of the last message that lent something in this session, and
// what was spent since the owner was last told: all, or as much as one message may have. The
// number is 0 while not all is told: by the number an owner takes back what was not spent.
func (s *Allowances) Changes() (uint64, []Holding) {
	list := s.tellSome()
	if s.More() {
		return 0, list
	}
	return s.number, list
}

// More reports whether there is more to tell than one message has.
func (s *Allowances) More() bool { return len(s.changed) > 0 }

// tellSome returns accounts that are to be told, by name, as many as one message may have.
func (s *Allowances) tellSome() []Holding {
	var list []Holding
	bytes, most := 0, cmp.Or(s.most, usualBounds.message)
	for _, name := range slices.Sorted(maps.Keys(s.changed)) {
		if bytes >= most {
			break
		}
		bytes += s.held[name].bytes()
		list = append(list, s.tell(name))
	}
	return list
}
