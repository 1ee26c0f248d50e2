// SPDX-License-Identifier: MIT

package budget

import (
	"testing"

	"lynxramp.org/event"
)

// TestNumberWaitsForAllThatIsToTell: an entry that has not room in one message for all that
// it spent must not say yet that it has what it was lent: by that word an owner takes for
// free what it was not told to be spent.
func TestNumberWaitsForAllThatIsToTell(t *testing.T) {
	s := Allowances{most: 1}
	for _, name := range tightAccounts {
		s.Take(Lent{Number: 7, UpTo: []Holding{{Account: name, UpTo: 10}}})
		s.Spend(0, "", name, 1)
	}
	s.Greet()
	s.Take(Lent{Number: 1, Whole: true})
	for range len(tightAccounts) - 2 {
		if has, told := s.Changes(); has != 0 || len(told) != 1 || !s.More() {
			t.Fatalf("says to have message %d and %+v while there is more to tell", has, told)
		}
	}
	if has, _ := s.Changes(); has != 1 || s.More() {
		t.Errorf("says to have message %d when all is told, want 1", has)
	}
}

// TestNothingIsLentUntilAllIsTold: what an entry spent with earlier owners is where its count
// goes on from, and neither spending of now nor a debt.
func TestNothingIsLentUntilAllIsTold(t *testing.T) {
	b := newTestBook(0)
	b.Greet(0, "a", 1, nil)
	b.Await("a")
	if l := b.Lend(0, "a", 1); !l.Whole || len(l.UpTo) != 0 || l.Number != 0 {
		t.Errorf("lent %+v while there is more to tell, want nothing", l)
	}
	b.Hear(0, "a", 0, []Holding{{Account: worldAccount, Spent: 500, UpTo: 500}})
	b.Complete("a")
	l := b.Lend(0, "a", 1)
	if len(l.UpTo) != 1 || l.UpTo[0].Spent != 500 || l.UpTo[0].UpTo <= 500 {
		t.Errorf("lent %+v, want more than the 500 that were spent before", l)
	}
	if spent, _ := b.State(0, worldAccount); spent != 0 {
		t.Errorf("%d count as spent now", spent)
	}
}

// TestReplacedCreditCountsUntilItsEntryKnows: the first answer of a session replaces all that
// an entry was lent before; until the entry has it, it may spend that.
func TestReplacedCreditCountsUntilItsEntryKnows(t *testing.T) {
	b := newTestBook(0)
	b.Greet(0, "a", 1, nil)
	b.Hear(0, "a", b.Lend(0, "a", 1).Number, nil)
	have := b.accounts[worldAccount].lent
	spendAll(0, b)
	b.Greet(0, "a", 1, []Holding{{Account: worldAccount, UpTo: have}})
	less := b.Lend(0, "a", 1)
	if !less.Whole || len(less.UpTo) != 1 || less.UpTo[0].UpTo >= have {
		t.Fatalf("lent %+v, want all to be replaced by less than %d", less, have)
	}
	if got := b.accounts[worldAccount].lent; got != have {
		t.Errorf("%d counts as lent before the entry knows, want %d", got, have)
	}
}

// TestForgottenIsNotGivenBack: an account that an entry forgot and is lent of anew begins with
// what the owner knows to be spent. Were that given back, it could be spent a second time.
func TestForgottenIsNotGivenBack(t *testing.T) {
	var s Allowances
	s.Take(Lent{Number: 1, UpTo: []Holding{{Account: worldAccount, UpTo: 50}}})
	s.Spend(0, "", worldAccount, 50)
	s.Changes()
	s.Take(Lent{Number: 2, UpTo: []Holding{{Account: worldAccount, Spent: 50, UpTo: 50}}})
	if held := s.Greet(); len(held) != 0 {
		t.Fatalf("holds %+v of an account that it was to forget", held)
	}
	s.Take(Lent{Number: 3, UpTo: []Holding{{Account: worldAccount, Spent: 50, UpTo: 60}}})
	s.GiveBack(0, worldAccount, 0, 50)
	if !s.Spend(0, "", worldAccount, 10) || s.Spend(0, "", worldAccount, 1) {
		t.Error("want 10 to spend and no more")
	}
}

// TestUntoldIsNotForgotten: an owner that ends an account before it heard of the last
// spending hears of it still.
func TestUntoldIsNotForgotten(t *testing.T) {
	var s Allowances
	s.Take(Lent{Number: 1, UpTo: []Holding{{Account: worldAccount, UpTo: 50}}})
	s.Spend(0, "", worldAccount, 20)
	s.Take(Lent{Number: 2, UpTo: []Holding{{Account: worldAccount}}})
	if _, told := s.Changes(); len(told) != 1 || told[0].Spent != 20 {
		t.Errorf("told %+v, want 20 spent", told)
	}
}

// TestLateRecordOfAFormerSelfStands: an owner that began anew in the same term finds a Record
// of its former self in the log. It spends nothing on what that one names until it has
// written of it itself, however many Records that takes: the next owner reads the log.
func TestLateRecordOfAFormerSelfStands(t *testing.T) {
	b := NewBook(0, testFresh)
	b.bounds = tightBounds
	late := tightAccounts[:3]
	var r Record
	for i, name := range tightAccounts {
		b.SetLimit(0, name, testLimit)
		if i < len(late) {
			r.Lines = append(r.Lines, Line{Account: name, Mark: 10, Lent: 10})
			continue
		}
		b.Spend(0, "a", name, 1) // it waits for a Record, which so has not room for all
	}
	b.Foreign(0, r)
	named := make(map[Account]bool)
	for range tightAccounts {
		if !b.Due() {
			break
		}
		r := commit(0, b)
		for _, line := range r.Lines {
			named[line.Account] = true
		}
		for _, name := range r.Gone {
			named[name] = true
		}
		for _, name := range late {
			if b.Spend(0, "a", name, 1) && !named[name] {
				t.Fatalf("spent of %s before it was written of", name)
			}
		}
	}
	for _, name := range late {
		if !named[name] {
			t.Errorf("nothing was written of %s", name)
		}
	}
}

// TestAccountOfARecordOnItsWayIsKept: an account of which nothing counts but a line on its way
// is bounded by that line when it is there. Forgotten and begun anew it would be spent from as
// one that the log does not name.
func TestAccountOfARecordOnItsWayIsKept(t *testing.T) {
	b := NewBook(0, testFresh)
	b.SetLimit(0, worldAccount, testLimit)
	b.Spend(0, "a", worldAccount, 1) // it waits for a Record
	r := b.MakeRecord(0)
	b.Tick(at(2 * event.Second))
	b.Committed()
	sum := 0
	for b.Spend(at(2*event.Second), "a", worldAccount, 10) {
		sum += 10
	}
	if most := r.Lines[0].Mark; sum > most {
		t.Errorf("%d spent by a line whose mark is %d", sum, most)
	}
}

// TestManyAccountsAreDroppedWhenNothingCounts: an owner kept each account that it ever had
// until it ended, about 2 kB each.
func TestManyAccountsAreDroppedWhenNothingCounts(t *testing.T) {
	b, now := newManyBook(1000, 2, 1000)
	for i := range 1000 {
		b.DropLimit(manyTeam(i))
	}
	for range 300 {
		now = now.Add(200 * event.Millisecond)
		b.Tick(now)
		if b.Due() {
			commit(now, b)
		}
		for _, name := range []event.BoxID{"0", "1"} {
			b.Hear(now, name, b.Lend(now, name, 2).Number, nil)
		}
	}
	if len(b.accounts) != 0 || len(b.limits) != 0 {
		t.Errorf("%d accounts and %d limits are kept a minute after they were of use", len(b.accounts), len(b.limits))
	}
	for name, h := range b.holders {
		if len(h.credits) != 0 || len(h.ring) > 1 {
			t.Errorf("%d credits of entry %s are kept, %d in its ring", len(h.credits), name, len(h.ring))
		}
	}
}
