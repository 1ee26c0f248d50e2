// SPDX-License-Identifier: MIT

package budget

import (
	"encoding/json"
	"testing"

	"lynxramp.org/event"
)

const (
	testFresh = 5 * event.Second
	testMost  = 9600
)

var testLimit = Limit{Window: 8 * event.Second, Most: testMost, Base: testMost}

// newTestBook returns a book that has nothing before it and a committed Record.
func newTestBook(now event.Time) *Book {
	b := NewBook(now, testFresh)
	b.SetLimit(now, worldAccount, testLimit)
	commit(now, b)
	return b
}

func commit(now event.Time, b *Book) Record {
	r := b.MakeRecord(now)
	b.Committed()
	return r
}

// spendAll spends in small amounts until nothing fits, with Records as they are due, and
// returns how much that was.
func spendAll(now event.Time, b *Book) int {
	const amount = 16
	sum := 0
	for {
		if !b.Spend(now, "entry", worldAccount, amount) {
			if !b.Due() {
				return sum
			}
			commit(now, b)
			continue
		}
		sum += amount
	}
}

func at(span event.Span) event.Time { return event.Time(span) }

// TestNothingIsSpentThatNoRecordCovers: an owner without a Record of its own spends
// nothing; by a Record that does not name an account it spends a part, by one that does
// its mark.
func TestNothingIsSpentThatNoRecordCovers(t *testing.T) {
	b := NewBook(0, testFresh)
	b.SetLimit(0, worldAccount, testLimit)
	if b.Spend(0, "entry", worldAccount, 1) {
		t.Error("spent before a Record was committed")
	}
	commit(0, b)
	sum := 0
	for b.Spend(0, "entry", worldAccount, 10) {
		sum += 10
	}
	if want := int(testMost * markPart); sum > want || sum < want-10 {
		t.Errorf("%d spent by a Record whose mark is %d", sum, want)
	}
	b.MakeRecord(0)
	if b.Spend(0, "entry", worldAccount, 10) {
		t.Error("spent beyond the mark while the next Record is on its way")
	}
	b.Committed()
	if !b.Spend(0, "entry", worldAccount, 10) {
		t.Error("nothing may be spent after the next Record")
	}
}

// TestNextOwnerCountsWhatDeadEntriesSpent: entries that were killed with their owner tell
// nothing, and the next owner counts all the same what they had. It took an nth part for
// each entry before, spread over the window, whatever they had.
func TestNextOwnerCountsWhatDeadEntriesSpent(t *testing.T) {
	b := newTestBook(0)
	before := spendAll(at(event.Second), b)
	data, err := json.Marshal(b.MakeRecord(at(event.Second)))
	if err != nil {
		t.Fatal(err)
	}
	var last Record
	if err := json.Unmarshal(data, &last); err != nil {
		t.Fatal(err)
	}
	now := at(2 * event.Second)
	next := inheritBook(now, testFresh, last, at(1100*event.Millisecond))
	next.SetLimit(now, worldAccount, testLimit)
	commit(now, next)
	if got := spendAll(now, next); got > 0 {
		t.Errorf("%d spent beside the %d of a second before", got, before)
	}
	// A window later all is free again but what may have been lent.
	later := at(9500 * event.Millisecond)
	next.Tick(later)
	if got := spendAll(later, next); got < testMost/2 {
		t.Errorf("%d of %d spent when all that was known has left the window", got, testMost)
	}
}

// TestOwnerAfterAnOwnerKeepsMostOfWhatWasFree: a team at its usual part of a quota has its
// usual part with the next owner.
func TestOwnerAfterAnOwnerKeepsMostOfWhatWasFree(t *testing.T) {
	b := newTestBook(0)
	usual := 0
	for ms := 0; ms < 8000; ms += 100 {
		now := at(event.Span(ms) * event.Millisecond)
		if !b.Spend(now, "entry", worldAccount, testMost*4/10/80) {
			commit(now, b)
			continue
		}
		usual += testMost * 4 / 10 / 80
		if b.Due() {
			commit(now, b)
		}
	}
	last := b.MakeRecord(at(8 * event.Second))
	now := at(9 * event.Second)
	next := inheritBook(now, testFresh, last, at(8*event.Second))
	next.SetLimit(now, worldAccount, testLimit)
	commit(now, next)
	if got := spendAll(now, next); got < testMost/5 {
		t.Errorf("%d of %d free after a change of the owner, %d were spent in a window", got, testMost, usual)
	}
}

// TestInheritedSpendingFades: what may have been done by owners before counts for as long
// as it may matter, and no longer.
func TestInheritedSpendingFades(t *testing.T) {
	b := inheritBook(0, testFresh, Record{}, 0)
	b.SetLimit(0, worldAccount, testLimit)
	commit(0, b)
	if got := spendAll(0, b); got > testMost/2 {
		t.Errorf("%d of %d spent at once by an owner that knows nothing", got, testMost)
	}
	later := at(testFresh + lendMargin + testLimit.Window + event.Second)
	b.Tick(at(testFresh + 2*lendMargin))
	b.Tick(later)
	if got := spendAll(later, b); got < testMost*9/10 {
		t.Errorf("%d of %d spent after all has left the window", got, testMost)
	}
}

// TestEntriesAloneSpendNoMoreThanWasLeft: one entry has spent a whole quota by the owner's
// leave; when the owner is lost, the others spend what is left beside it.
func TestEntriesAloneSpendNoMoreThanWasLeft(t *testing.T) {
	b := newTestBook(0)
	entries := make([]*Allowances, 4)
	for i := range entries {
		entries[i] = &Allowances{}
	}
	names := []event.BoxID{"a", "b", "c", "d"}
	ping := func(now event.Time) {
		for i, e := range entries {
			has, changes := e.Changes()
			b.Hear(now, names[i], has, changes)
			e.Take(b.Lend(now, names[i], len(entries)))
		}
	}
	for i, e := range entries {
		b.Greet(0, names[i], 1, e.Greet())
	}
	spent := 0
	for ms := 0; ms < 4000; ms += 200 {
		now := at(event.Span(ms) * event.Millisecond)
		ping(now)
		spent += spendAll(now, b)
	}
	alone := 0
	for _, e := range entries {
		for e.Spend(at(4*event.Second), "", worldAccount, 8) {
			alone += 8
		}
	}
	if alone == 0 || spent+alone > testMost {
		t.Errorf("%d spent with the owner and %d without, the limit is %d", spent, alone, testMost)
	}
}

// TestLendingFollowsUse: an entry that uses an account more is lent more of it, and each
// is lent something.
func TestLendingFollowsUse(t *testing.T) {
	b := newTestBook(0)
	b.Greet(0, "busy", 1, nil)
	b.Greet(0, "idle", 2, nil)
	b.Spend(0, "busy", worldAccount, 500)
	lent := func(name event.BoxID) int {
		l := b.Lend(0, name, 2)
		if !l.Whole || len(l.UpTo) != 1 {
			t.Fatalf("%s was lent %+v", name, l)
		}
		return l.UpTo[0].UpTo
	}
	busy, idle := lent("busy"), lent("idle")
	if busy < 3*idle || idle == 0 {
		t.Errorf("%d lent to the busy one and %d to the other", busy, idle)
	}
}

// TestCreditShrinksOnlyWhenItsEntryKnows: until an entry has the message that lends it
// less, the owner counts what it had.
func TestCreditShrinksOnlyWhenItsEntryKnows(t *testing.T) {
	b := newTestBook(0)
	b.Greet(0, "a", 1, nil)
	first := b.Lend(0, "a", 1)
	b.Hear(0, "a", first.Number, nil)
	have := b.accounts[worldAccount].lent
	spendAll(0, b)
	less := b.Lend(0, "a", 1)
	if len(less.UpTo) != 1 || less.UpTo[0].UpTo >= first.UpTo[0].UpTo {
		t.Fatalf("lent %+v after %+v, want less", less, first)
	}
	if got := b.accounts[worldAccount].lent; got != have {
		t.Errorf("%d counts as lent before the entry knows, want %d", got, have)
	}
	b.Hear(0, "a", less.Number, nil)
	if got := b.accounts[worldAccount].lent; got != less.UpTo[0].UpTo {
		t.Errorf("%d counts as lent, want %d", got, less.UpTo[0].UpTo)
	}
}

// TestNothingIsLentBeforeARecord: an entry that greets a new owner may not use what the one
// before lent it by the new one's leave to go on.
func TestNothingIsLentBeforeARecord(t *testing.T) {
	e := &Allowances{}
	e.Take(Lent{Number: 3, Whole: true, UpTo: []Holding{{Account: worldAccount, UpTo: 100}}})
	b := inheritBook(0, testFresh, Record{}, 0)
	b.SetLimit(0, worldAccount, testLimit)
	b.Greet(0, "a", 1, e.Greet())
	e.Take(b.Lend(0, "a", 1))
	if e.Spend(0, "a", worldAccount, 1) {
		t.Error("spent by the leave of an owner without a Record")
	}
}

// TestRecordTellsNoGreaterAge: what was spent counts with the next owner for a whole window
// at least, wherever it lies in the parts of windows and Records, and of its box's clock.
func TestRecordTellsNoGreaterAge(t *testing.T) {
	for ms := 0; ms < 600; ms += 7 {
		spent := at(20*event.Second + event.Span(ms)*event.Millisecond)
		b := newTestBook(spent)
		b.Spend(spent, "a", worldAccount, 100)
		for late := event.Span(0); late < 2*event.Second; late += 30 * event.Millisecond {
			line := Line{Account: worldAccount, Spent: b.accounts[worldAccount].parts(spent.Add(late))}
			for clock := event.Span(0); clock < 50*event.Millisecond; clock += 9 * event.Millisecond {
				heard := spent.Add(late + clock)
				next := inheritBook(heard, testFresh, Record{Lines: []Line{line}}, heard)
				next.SetLimit(heard, worldAccount, testLimit)
				last := spent.Add(clock + testLimit.Window - event.Millisecond)
				if got := next.accounts[worldAccount].spent.Total(last); got != 100 {
					t.Fatalf("spent at %v, recorded %v later: %d of 100 count in the window's last moment", event.Span(spent), late, got)
				}
			}
		}
	}
}

// TestAnotherLifeHasLostWhatItWasLent: it counts as spent, and leaves the window as that.
func TestAnotherLifeHasLostWhatItWasLent(t *testing.T) {
	b := newTestBook(0)
	b.Greet(0, "a", 1, nil)
	lent := b.Lend(0, "a", 1).UpTo[0].UpTo
	now := at(event.Second)
	b.Greet(now, "a", 2, nil)
	a := b.accounts[worldAccount]
	if a.lent != 0 || a.spent.Total(now) != lent {
		t.Errorf("%d lent and %d spent, want 0 and %d", a.lent, a.spent.Total(now), lent)
	}
	if later := now.Add(testLimit.Window + event.Second); a.total(later) != 0 {
		t.Errorf("%d still count a window later", a.total(later))
	}
}

// TestNewOwnerLendsAtOnce: what earlier owners lent counts, and entries may be lent more
// beside it where there is room. They were lent nothing for as long as that counted.
func TestNewOwnerLendsAtOnce(t *testing.T) {
	last := Record{Lines: []Line{{Account: worldAccount, Spent: []int{testMost / 4}, Mark: testMost / 16, Lent: testMost / 4}}}
	b := inheritBook(0, testFresh, last, 0)
	b.SetLimit(0, worldAccount, testLimit)
	commit(0, b)
	b.Greet(0, "a", 1, nil)
	if l := b.Lend(0, "a", 1); len(l.UpTo) != 1 || l.UpTo[0].UpTo < int(testMost*keepPart) {
		t.Errorf("lent %+v, want a part of what is left", l)
	}
}

// TestWhatAnOwnerWasToldIsNotGivenBack: an owner has counted it as spent when it was told. If
// it were given back and spent again, the owner would count that for too early.
func TestWhatAnOwnerWasToldIsNotGivenBack(t *testing.T) {
	e := &Allowances{}
	e.Take(Lent{Number: 1, Whole: true, UpTo: []Holding{{Account: worldAccount, UpTo: 300}}})
	e.Spend(0, "", worldAccount, 100)
	e.GiveBack(0, worldAccount, 0, 100)
	if spent, _ := e.State(0, worldAccount); spent != 0 {
		t.Errorf("%d spent after all was given back that no owner knew of", spent)
	}
	e.Spend(0, "", worldAccount, 100)
	e.Greet()
	e.Spend(0, "", worldAccount, 50)
	e.GiveBack(0, worldAccount, 0, 100)
	e.Spend(0, "", worldAccount, 100)
	if held := e.Greet(); held[0].Spent != 200 {
		t.Errorf("%d told as spent, want the 100 told before and the 100 spent since", held[0].Spent)
	}
}

// TestWhatEntriesGiveBackIsFree: a new owner withholds what earlier ones lent until the
// entries that hold it have its first word, and no longer. What an entry spent of it, and what
// one holds that is not heard, stays withheld.
func TestWhatEntriesGiveBackIsFree(t *testing.T) {
	last := Record{Lines: []Line{{Account: worldAccount, Spent: []int{0}, Mark: 0, Lent: testMost / 4}}}
	b := inheritBook(0, testFresh, last, 0)
	b.SetLimit(0, worldAccount, testLimit)
	commit(0, b)
	inherited := func() int { return b.accounts[worldAccount].inherited }
	held := []Holding{{Account: worldAccount, Spent: 100, UpTo: 100 + testMost/10}}
	b.Greet(0, "one", 1, held)
	first := b.Lend(0, "one", 2)
	if got := inherited(); got != testMost/4 || !first.Whole {
		t.Fatalf("%d withheld before the entry has the new owner's word, want %d", got, testMost/4)
	}
	spent := testMost / 40 // on its way
	b.Hear(0, "one", 0, []Holding{{Account: worldAccount, Spent: 100 + spent, UpTo: 100 + testMost/10}})
	if got := inherited(); got != testMost/4 {
		t.Errorf("%d withheld when the entry has spent on without that word, want %d", got, testMost/4)
	}
	want := testMost/4 - (testMost/10 - spent)
	for range 2 { // the same word again gives nothing more
		b.Hear(0, "one", first.Number, nil)
		if got := inherited(); got != want {
			t.Errorf("%d withheld when it has the word, want %d", got, want)
		}
	}
	b.Greet(0, "one", 1, held)
	b.Hear(0, "one", b.Lend(0, "one", 2).Number, nil)
	if got := inherited(); got != want {
		t.Errorf("%d withheld after it came a second time, want %d", got, want)
	}
}

// TestDroppedIsNotHeld: what an entry gave up is neither spent nor told as held.
func TestDroppedIsNotHeld(t *testing.T) {
	var s Allowances
	s.Take(Lent{Number: 1, UpTo: []Holding{{Account: worldAccount, UpTo: 50}}})
	s.Spend(0, "e", worldAccount, 20)
	s.Drop()
	if s.Spend(0, "e", worldAccount, 1) {
		t.Error("spent what was given up")
	}
	if held := s.Greet(); len(held) != 1 || held[0].UpTo != held[0].Spent {
		t.Errorf("held %+v, want nothing left", held)
	}
}

// inheritBook returns the book of an owner that follows others. The last Record of theirs
// was heard at a moment; every owner before had ceased by now.
func inheritBook(now event.Time, fresh event.Span, last Record, heard event.Time) *Book {
	var l Ledger
	l.Apply(last)
	l.Heard(heard)
	return InheritLedger(now, fresh, &l)
}
