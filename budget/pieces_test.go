// SPDX-License-Identifier: MIT

package budget

import (
	"testing"

	"lynxramp.org/event"
)

// TestUpdateNumberWaitsForWholeReport: an entry whose report takes several messages must
// not acknowledge an update before the last of them, because the owner then counts as free
// what was not reported as spent.
func TestUpdateNumberWaitsForWholeReport(t *testing.T) {
	s := Leases{maxBytes: 1}
	for _, name := range tightAccounts {
		s.Apply(LeaseUpdate{Number: 7, UpTo: []Lease{{Account: name, UpTo: 10}}})
		s.Spend(0, "", name, 1)
	}
	s.BeginSession()
	s.Apply(LeaseUpdate{Number: 1, Whole: true})
	for range len(tightAccounts) - 2 {
		if acked, reported := s.Changes(); acked != 0 || len(reported) != 1 || !s.HasMore() {
			t.Fatalf("acknowledged update %d and reported %+v while there is more to report", acked, reported)
		}
	}
	if acked, _ := s.Changes(); acked != 1 || s.HasMore() {
		t.Errorf("acknowledged update %d after the whole report, want 1", acked)
	}
}

// TestNoLeaseBeforeWholeReport: what an entry spent with earlier owners must be the base of
// its next lease, and count neither as spent now nor against the lease.
func TestNoLeaseBeforeWholeReport(t *testing.T) {
	b := newTestAllocator(0)
	b.BeginSession(0, "a", 1, nil)
	b.AwaitReport("a")
	if l := b.UpdateLeases(0, "a", 1); !l.Whole || len(l.UpTo) != 0 || l.Number != 0 {
		t.Errorf("leased %+v while there is more to report, want nothing", l)
	}
	b.ApplyReport(0, "a", 0, []Lease{{Account: testAccount, Spent: 500, UpTo: 500}})
	b.CompleteReport("a")
	l := b.UpdateLeases(0, "a", 1)
	if len(l.UpTo) != 1 || l.UpTo[0].Spent != 500 || l.UpTo[0].UpTo <= 500 {
		t.Errorf("leased %+v, want more than the 500 that were spent before", l)
	}
	if spent, _ := b.Usage(0, testAccount); spent != 0 {
		t.Errorf("%d count as spent now", spent)
	}
}

// TestReplacedLeaseCountsUntilAcknowledged: the first update of a session replaces all
// earlier leases of an entry, which may still be spent until the entry has the update.
func TestReplacedLeaseCountsUntilAcknowledged(t *testing.T) {
	b := newTestAllocator(0)
	b.BeginSession(0, "a", 1, nil)
	b.ApplyReport(0, "a", b.UpdateLeases(0, "a", 1).Number, nil)
	have := b.accounts[testAccount].leased
	spendAll(0, b)
	b.BeginSession(0, "a", 1, []Lease{{Account: testAccount, UpTo: have}})
	less := b.UpdateLeases(0, "a", 1)
	if !less.Whole || len(less.UpTo) != 1 || less.UpTo[0].UpTo >= have {
		t.Fatalf("leased %+v, want all to be replaced by less than %d", less, have)
	}
	if got := b.accounts[testAccount].leased; got != have {
		t.Errorf("%d leased before the entry acknowledged the update, want %d", got, have)
	}
}

// TestSpendingOfRevokedLeaseIsNotRefunded: an account that is leased again after the entry
// dropped it starts with what was reported to the owner as spent. If that were returned, it could be
// spent twice.
func TestSpendingOfRevokedLeaseIsNotRefunded(t *testing.T) {
	var s Leases
	s.Apply(LeaseUpdate{Number: 1, UpTo: []Lease{{Account: testAccount, UpTo: 50}}})
	s.Spend(0, "", testAccount, 50)
	s.Changes()
	s.Apply(LeaseUpdate{Number: 2, UpTo: []Lease{{Account: testAccount, Spent: 50, UpTo: 50}}})
	if held := s.BeginSession(); len(held) != 0 {
		t.Fatalf("reported %+v of an account that was revoked", held)
	}
	s.Apply(LeaseUpdate{Number: 3, UpTo: []Lease{{Account: testAccount, Spent: 50, UpTo: 60}}})
	s.Refund(0, testAccount, 0, 50)
	if !s.Spend(0, "", testAccount, 10) || s.Spend(0, "", testAccount, 1) {
		t.Error("want exactly 10 to be available")
	}
}

// TestRevokedLeaseReportsLastSpending: a lease that the owner revokes before it received
// the last spending must still be reported.
func TestRevokedLeaseReportsLastSpending(t *testing.T) {
	var s Leases
	s.Apply(LeaseUpdate{Number: 1, UpTo: []Lease{{Account: testAccount, UpTo: 50}}})
	s.Spend(0, "", testAccount, 20)
	s.Apply(LeaseUpdate{Number: 2, UpTo: []Lease{{Account: testAccount}}})
	if _, reported := s.Changes(); len(reported) != 1 || reported[0].Spent != 20 {
		t.Errorf("reported %+v, want 20 spent", reported)
	}
}

// TestForeignRecordHoldsUntilReplaced: an owner that restarts in the same term may find a
// Record of its earlier run committed. It must spend nothing of the accounts named there
// until its own Records have replaced their lines, however many Records that takes, because
// the next owner reads them from the log.
func TestForeignRecordHoldsUntilReplaced(t *testing.T) {
	b := NewAllocator(0, testLeaseTTL)
	b.bounds = tightBounds
	late := tightAccounts[:3]
	var r Record
	for i, name := range tightAccounts {
		b.SetLimit(0, name, testLimit)
		if i < len(late) {
			r.Lines = append(r.Lines, Line{Account: name, Headroom: 10, Leased: 10})
			continue
		}
		b.Spend(0, "a", name, 1) // blocked until the next Record, which therefore has no room for all
	}
	b.ApplyForeign(0, r)
	named := make(map[Account]bool)
	for range tightAccounts {
		if !b.Due() {
			break
		}
		r := commit(0, b)
		for _, line := range r.Lines {
			named[line.Account] = true
		}
		for _, name := range r.Removed {
			named[name] = true
		}
		for _, name := range late {
			if b.Spend(0, "a", name, 1) && !named[name] {
				t.Fatalf("spent of %s before a Record replaced its line", name)
			}
		}
	}
	for _, name := range late {
		if !named[name] {
			t.Errorf("no Record replaced the line of %s", name)
		}
	}
}

// TestAccountOfPendingRecordIsKept: an account whose only trace is a line in a pending
// Record must not be dropped. Created again, it would be spent from as if the log had no
// line of it.
func TestAccountOfPendingRecordIsKept(t *testing.T) {
	b := NewAllocator(0, testLeaseTTL)
	b.SetLimit(0, testAccount, testLimit)
	b.Spend(0, "a", testAccount, 1) // blocked until a Record
	r := b.MakeRecord(0)
	b.Tick(at(2 * event.Second))
	b.Committed()
	sum := 0
	for b.Spend(at(2*event.Second), "a", testAccount, 10) {
		sum += 10
	}
	if most := r.Lines[0].Headroom; sum > most {
		t.Errorf("%d spent of a headroom of %d", sum, most)
	}
}

// TestIdleAccountsAreDropped: an owner must not keep accounts and leases that are no longer
// used.
func TestIdleAccountsAreDropped(t *testing.T) {
	b, now := newLargeAllocator(1000, 2, 1000)
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
			b.ApplyReport(now, name, b.UpdateLeases(now, name, 2).Number, nil)
		}
	}
	if len(b.accounts) != 0 || len(b.limits) != 0 {
		t.Errorf("%d accounts and %d limits kept a minute after their last use", len(b.accounts), len(b.limits))
	}
	for name, h := range b.holders {
		if len(h.leases) != 0 || len(h.ring) > 1 {
			t.Errorf("%d leases of entry %s kept, %d in its ring", len(h.leases), name, len(h.ring))
		}
	}
}
