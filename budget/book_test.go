// SPDX-License-Identifier: MIT

package budget

import (
	"encoding/json"
	"testing"

	"lynxramp.org/event"
)

const (
	testLeaseTTL = 5 * event.Second
	testMax      = 9600
)

var testLimit = Limit{Window: 8 * event.Second, Max: testMax, Base: testMax}

// newTestAllocator returns the Allocator of a first owner, with a committed Record.
func newTestAllocator(now event.Time) *Allocator {
	b := NewAllocator(now, testLeaseTTL)
	b.SetLimit(now, testAccount, testLimit)
	commit(now, b)
	return b
}

func commit(now event.Time, b *Allocator) Record {
	r := b.MakeRecord(now)
	b.Committed()
	return r
}

// spendAll spends in small amounts until nothing fits, commits Records when due, and
// returns the sum.
func spendAll(now event.Time, b *Allocator) int {
	const amount = 16
	sum := 0
	for {
		if !b.Spend(now, "entry", testAccount, amount) {
			if !b.Due() {
				return sum
			}
			commit(now, b)
			continue
		}
		sum += amount
	}
}

func at(span event.Duration) event.Time { return event.Time(span) }

// TestSpendNeedsCoveringRecord: an owner must spend nothing before its first Record is
// committed, only the unrecorded part if the Record has no line of the account, and
// otherwise at most the headroom of the line.
func TestSpendNeedsCoveringRecord(t *testing.T) {
	b := NewAllocator(0, testLeaseTTL)
	b.SetLimit(0, testAccount, testLimit)
	if b.Spend(0, "entry", testAccount, 1) {
		t.Error("spent before a Record was committed")
	}
	commit(0, b)
	sum := 0
	for b.Spend(0, "entry", testAccount, 10) {
		sum += 10
	}
	if want := int(testMax * headroomFraction); sum > want || sum < want-10 {
		t.Errorf("%d spent of a headroom of %d", sum, want)
	}
	b.MakeRecord(0)
	if b.Spend(0, "entry", testAccount, 10) {
		t.Error("spent beyond the headroom while the next Record is pending")
	}
	b.Committed()
	if !b.Spend(0, "entry", testAccount, 10) {
		t.Error("nothing can be spent after the next Record")
	}
}

// TestNextOwnerCountsSpendingOfTerminatedEntries: entries that terminate with their owner
// report nothing, and the next owner must still count all that they can have spent.
func TestNextOwnerCountsSpendingOfTerminatedEntries(t *testing.T) {
	b := newTestAllocator(0)
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
	next := inheritAllocator(now, testLeaseTTL, last, at(1100*event.Millisecond))
	next.SetLimit(now, testAccount, testLimit)
	commit(now, next)
	if got := spendAll(now, next); got > 0 {
		t.Errorf("%d spent in a window in which %d were spent before", got, before)
	}
	// A window later all is free again, except what may have been on lease.
	later := at(9500 * event.Millisecond)
	next.Tick(later)
	if got := spendAll(later, next); got < testMax/2 {
		t.Errorf("%d of %d spent after all earlier spending left the window", got, testMax)
	}
}

// TestNextOwnerHasMostOfFreeQuota: a team that uses a part of its quota must be able to go
// on after a change of owner.
func TestNextOwnerHasMostOfFreeQuota(t *testing.T) {
	b := newTestAllocator(0)
	usual := 0
	for ms := 0; ms < 8000; ms += 100 {
		now := at(event.Duration(ms) * event.Millisecond)
		if !b.Spend(now, "entry", testAccount, testMax*4/10/80) {
			commit(now, b)
			continue
		}
		usual += testMax * 4 / 10 / 80
		if b.Due() {
			commit(now, b)
		}
	}
	last := b.MakeRecord(at(8 * event.Second))
	now := at(9 * event.Second)
	next := inheritAllocator(now, testLeaseTTL, last, at(8*event.Second))
	next.SetLimit(now, testAccount, testLimit)
	commit(now, next)
	if got := spendAll(now, next); got < testMax/5 {
		t.Errorf("%d of %d free after a change of owner, %d were spent in a window", got, testMax, usual)
	}
}

// TestInheritedSpendingExpires: what earlier owners may have spent must count until it has
// left the window, and no longer.
func TestInheritedSpendingExpires(t *testing.T) {
	b := inheritAllocator(0, testLeaseTTL, Record{}, 0)
	b.SetLimit(0, testAccount, testLimit)
	commit(0, b)
	if got := spendAll(0, b); got > testMax/2 {
		t.Errorf("%d of %d spent at once by an owner with an empty log", got, testMax)
	}
	later := at(testLeaseTTL + leaseMargin + testLimit.Window + event.Second)
	b.Tick(at(testLeaseTTL + 2*leaseMargin))
	b.Tick(later)
	if got := spendAll(later, b); got < testMax*9/10 {
		t.Errorf("%d of %d spent after all earlier spending left the window", got, testMax)
	}
}

// TestDegradedEntriesStayWithinLimit: when the owner is lost after one entry has spent much
// of a quota, the degraded entries must not exceed the rest.
func TestDegradedEntriesStayWithinLimit(t *testing.T) {
	b := newTestAllocator(0)
	entries := make([]*Leases, 4)
	for i := range entries {
		entries[i] = &Leases{}
	}
	names := []event.BoxID{"a", "b", "c", "d"}
	ping := func(now event.Time) {
		for i, e := range entries {
			acked, changes := e.Changes()
			b.ApplyReport(now, names[i], acked, changes)
			e.Apply(b.UpdateLeases(now, names[i], len(entries)))
		}
	}
	for i, e := range entries {
		b.BeginSession(0, names[i], 1, e.BeginSession())
	}
	spent := 0
	for ms := 0; ms < 4000; ms += 200 {
		now := at(event.Duration(ms) * event.Millisecond)
		ping(now)
		spent += spendAll(now, b)
	}
	degraded := 0
	for _, e := range entries {
		for e.Spend(at(4*event.Second), "", testAccount, 8) {
			degraded += 8
		}
	}
	if degraded == 0 || spent+degraded > testMax {
		t.Errorf("%d spent with the owner and %d without, the limit is %d", spent, degraded, testMax)
	}
}

// TestLeasesFollowUsage: an entry that uses an account more must be leased more of it, and
// each entry some.
func TestLeasesFollowUsage(t *testing.T) {
	b := newTestAllocator(0)
	b.BeginSession(0, "busy", 1, nil)
	b.BeginSession(0, "idle", 2, nil)
	b.Spend(0, "busy", testAccount, 500)
	leased := func(name event.BoxID) int {
		l := b.UpdateLeases(0, name, 2)
		if !l.Whole || len(l.UpTo) != 1 {
			t.Fatalf("update for %s: %+v", name, l)
		}
		return l.UpTo[0].UpTo
	}
	busy, idle := leased("busy"), leased("idle")
	if busy < 3*idle || idle == 0 {
		t.Errorf("%d leased to the busy entry and %d to the idle one", busy, idle)
	}
}

// TestLeaseShrinksOnlyWhenAcknowledged: until an entry acknowledges an update that leases
// it less, the owner must count the larger lease.
func TestLeaseShrinksOnlyWhenAcknowledged(t *testing.T) {
	b := newTestAllocator(0)
	b.BeginSession(0, "a", 1, nil)
	first := b.UpdateLeases(0, "a", 1)
	b.ApplyReport(0, "a", first.Number, nil)
	have := b.accounts[testAccount].leased
	spendAll(0, b)
	less := b.UpdateLeases(0, "a", 1)
	if len(less.UpTo) != 1 || less.UpTo[0].UpTo >= first.UpTo[0].UpTo {
		t.Fatalf("leased %+v after %+v, want less", less, first)
	}
	if got := b.accounts[testAccount].leased; got != have {
		t.Errorf("%d leased before the entry acknowledged the update, want %d", got, have)
	}
	b.ApplyReport(0, "a", less.Number, nil)
	if got := b.accounts[testAccount].leased; got != less.UpTo[0].UpTo {
		t.Errorf("%d leased, want %d", got, less.UpTo[0].UpTo)
	}
}

// TestNoLeaseBeforeFirstRecord: an owner without a committed Record must not extend the
// leases of the owner before.
func TestNoLeaseBeforeFirstRecord(t *testing.T) {
	e := &Leases{}
	e.Apply(LeaseUpdate{Number: 3, Whole: true, UpTo: []Lease{{Account: testAccount, UpTo: 100}}})
	b := inheritAllocator(0, testLeaseTTL, Record{}, 0)
	b.SetLimit(0, testAccount, testLimit)
	b.BeginSession(0, "a", 1, e.BeginSession())
	e.Apply(b.UpdateLeases(0, "a", 1))
	if e.Spend(0, "a", testAccount, 1) {
		t.Error("spent an earlier owner's lease that was extended by an owner without a Record")
	}
}

// TestRecordNeverOverstatesAge: what was spent must count with the next owner for at least
// a whole window, whatever the rounding of bins and the difference of the boxes' clocks.
func TestRecordNeverOverstatesAge(t *testing.T) {
	for ms := 0; ms < 600; ms += 7 {
		spent := at(20*event.Second + event.Duration(ms)*event.Millisecond)
		b := newTestAllocator(spent)
		b.Spend(spent, "a", testAccount, 100)
		for late := event.Duration(0); late < 2*event.Second; late += 30 * event.Millisecond {
			line := Line{Account: testAccount, Spent: b.accounts[testAccount].spentByAge(spent.Add(late))}
			for clock := event.Duration(0); clock < 50*event.Millisecond; clock += 9 * event.Millisecond {
				received := spent.Add(late + clock)
				next := inheritAllocator(received, testLeaseTTL, Record{Lines: []Line{line}}, received)
				next.SetLimit(received, testAccount, testLimit)
				last := spent.Add(clock + testLimit.Window - event.Millisecond)
				if got := next.accounts[testAccount].spent.Total(last); got != 100 {
					t.Fatalf("spent at %v, recorded %v later: %d of 100 count at the end of the window", event.Duration(spent), late, got)
				}
			}
		}
	}
}

// TestNewInstanceLosesLeases: the leases of an earlier instance of an entry must count as
// spent, and expire with the window.
func TestNewInstanceLosesLeases(t *testing.T) {
	b := newTestAllocator(0)
	b.BeginSession(0, "a", 1, nil)
	leased := b.UpdateLeases(0, "a", 1).UpTo[0].UpTo
	now := at(event.Second)
	b.BeginSession(now, "a", 2, nil)
	a := b.accounts[testAccount]
	if a.leased != 0 || a.spent.Total(now) != leased {
		t.Errorf("%d leased and %d spent, want 0 and %d", a.leased, a.spent.Total(now), leased)
	}
	if later := now.Add(testLimit.Window + event.Second); a.total(later) != 0 {
		t.Errorf("%d still count a window later", a.total(later))
	}
}

// TestNewOwnerLeasesAtOnce: an owner must lease what is free beside the leases of earlier
// owners without waiting for those to expire.
func TestNewOwnerLeasesAtOnce(t *testing.T) {
	last := Record{Lines: []Line{{Account: testAccount, Spent: []int{testMax / 4}, Headroom: testMax / 16, Leased: testMax / 4}}}
	b := inheritAllocator(0, testLeaseTTL, last, 0)
	b.SetLimit(0, testAccount, testLimit)
	commit(0, b)
	b.BeginSession(0, "a", 1, nil)
	if l := b.UpdateLeases(0, "a", 1); len(l.UpTo) != 1 || l.UpTo[0].UpTo < int(testMax*minLeaseFraction) {
		t.Errorf("leased %+v, want a share of what is left", l)
	}
}

// TestReportedSpendingIsNotRefunded: an owner counts spending when it is reported. If an
// entry returned it and spent it again, the owner would count it too early.
func TestReportedSpendingIsNotRefunded(t *testing.T) {
	e := &Leases{}
	e.Apply(LeaseUpdate{Number: 1, Whole: true, UpTo: []Lease{{Account: testAccount, UpTo: 300}}})
	e.Spend(0, "", testAccount, 100)
	e.Refund(0, testAccount, 0, 100)
	if spent, _ := e.Usage(0, testAccount); spent != 0 {
		t.Errorf("%d spent after all unreported spending was returned", spent)
	}
	e.Spend(0, "", testAccount, 100)
	e.BeginSession()
	e.Spend(0, "", testAccount, 50)
	e.Refund(0, testAccount, 0, 100)
	e.Spend(0, "", testAccount, 100)
	if held := e.BeginSession(); held[0].Spent != 200 {
		t.Errorf("%d reported as spent, want the 100 reported before and the 100 spent since", held[0].Spent)
	}
}

// TestReleasedInheritedLeasesAreFree: a new owner must withhold the leases of earlier
// owners only until the entries that hold them acknowledge its first update. What an entry
// spent of them, and what unreachable entries hold, stays withheld.
func TestReleasedInheritedLeasesAreFree(t *testing.T) {
	last := Record{Lines: []Line{{Account: testAccount, Spent: []int{0}, Headroom: 0, Leased: testMax / 4}}}
	b := inheritAllocator(0, testLeaseTTL, last, 0)
	b.SetLimit(0, testAccount, testLimit)
	commit(0, b)
	inherited := func() int { return b.accounts[testAccount].inherited }
	held := []Lease{{Account: testAccount, Spent: 100, UpTo: 100 + testMax/10}}
	b.BeginSession(0, "one", 1, held)
	first := b.UpdateLeases(0, "one", 2)
	if got := inherited(); got != testMax/4 || !first.Whole {
		t.Fatalf("%d withheld before the entry acknowledged the new owner's update, want %d", got, testMax/4)
	}
	spent := testMax / 40 // not yet reported
	b.ApplyReport(0, "one", 0, []Lease{{Account: testAccount, Spent: 100 + spent, UpTo: 100 + testMax/10}})
	if got := inherited(); got != testMax/4 {
		t.Errorf("%d withheld after the entry spent without acknowledging, want %d", got, testMax/4)
	}
	want := testMax/4 - (testMax/10 - spent)
	for range 2 { // a repeated report must release nothing more
		b.ApplyReport(0, "one", first.Number, nil)
		if got := inherited(); got != want {
			t.Errorf("%d withheld after the acknowledgment, want %d", got, want)
		}
	}
	b.BeginSession(0, "one", 1, held)
	b.ApplyReport(0, "one", b.UpdateLeases(0, "one", 2).Number, nil)
	if got := inherited(); got != want {
		t.Errorf("%d withheld after the entry began another session, want %d", got, want)
	}
}

// TestExpiredLeasesAreNotReported: the rest of an expired lease must be neither spent nor
// reported as held.
func TestExpiredLeasesAreNotReported(t *testing.T) {
	var s Leases
	s.Apply(LeaseUpdate{Number: 1, UpTo: []Lease{{Account: testAccount, UpTo: 50}}})
	s.Spend(0, "e", testAccount, 20)
	s.Expire()
	if s.Spend(0, "e", testAccount, 1) {
		t.Error("spent from an expired lease")
	}
	if held := s.BeginSession(); len(held) != 1 || held[0].UpTo != held[0].Spent {
		t.Errorf("reported %+v, want nothing left", held)
	}
}

// inheritAllocator returns the Allocator of an owner that succeeds others, whose last Record was
// received at the given time. Every earlier owner has ceased by now.
func inheritAllocator(now event.Time, leaseTTL event.Duration, last Record, received event.Time) *Allocator {
	var l Ledger
	l.Apply(last)
	l.MarkReceived(received)
	return RestoreAllocator(now, leaseTTL, &l)
}
