// SPDX-License-Identifier: MIT

package budget

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"lynxramp.org/event"
	"lynxramp.org/internal/cputime"
)

// The tests of this file bound the size of messages and Records and the work of an owner
// with many teams and entries. An entry considers an owner lost that does not reply for
// half a second, its link carries 1.25 MB/s, and an owner's lease is 340 ms.

const (
	manyTeams = 14000
	// maxMessageBytes bounds the budgets in one message of a session.
	maxMessageBytes = 16 << 10
	// maxLogEntryBytes bounds one entry of the log.
	maxLogEntryBytes = 128 << 10
)

func manyTeam(i int) Account { return Team(fmt.Sprintf("team-%05d", i)) }

// newLargeAllocator returns an Allocator of many teams and some entries. Some of the teams are
// used by all entries, at two fifths of their limits.
func newLargeAllocator(teams, entries, used int) (*Allocator, event.Time) {
	b := NewAllocator(0, testLeaseTTL)
	for i := range teams {
		b.SetLimit(0, manyTeam(i), testLimit)
	}
	for i := range entries {
		b.BeginSession(0, event.BoxID(fmt.Sprint(i)), 1, nil)
	}
	commit(0, b)
	now := event.Time(0)
	for step := range 80 {
		now = at(event.Duration(step) * 100 * event.Millisecond)
		for i := range used {
			spendOrRecord(now, b, event.BoxID(fmt.Sprint((step+i)%entries)), manyTeam(i), testMax*2/5/80)
		}
	}
	return b, now
}

// spendOrRecord spends an amount, after a new Record if it needs one.
func spendOrRecord(now event.Time, b *Allocator, entry event.BoxID, name Account, amount int) {
	if !b.Spend(now, entry, name, amount) {
		commit(now, b)
		b.Spend(now, entry, name, amount)
	}
}

func gobBytes(t *testing.T, v any) int {
	t.Helper()
	var data bytes.Buffer
	if err := gob.NewEncoder(&data).Encode(v); err != nil {
		t.Fatal(err)
	}
	return data.Len()
}

// TestLeaseUpdateIsBounded: an update must not grow with the number of teams, and in the
// end every account that the entry uses must be leased.
func TestLeaseUpdateIsBounded(t *testing.T) {
	b, now := newLargeAllocator(manyTeams, 4, 3000)
	leased := make(map[Account]bool)
	for range 50 {
		now = now.Add(200 * event.Millisecond)
		l := b.UpdateLeases(now, "1", 4)
		b.ApplyReport(now, "1", l.Number, nil)
		if got := gobBytes(t, l); got > maxMessageBytes {
			t.Fatalf("update of %d bytes and %d accounts, want at most %d bytes", got, len(l.UpTo), maxMessageBytes)
		}
		for _, lease := range l.UpTo {
			leased[lease.Account] = true
		}
	}
	for i := range 3000 {
		if !leased[manyTeam(i)] {
			t.Fatalf("%s, which the entry used, was not leased within 10 s", manyTeam(i))
		}
	}
	if len(leased) > 3100 {
		t.Errorf("%d accounts leased, 3000 are used", len(leased))
	}
}

// TestLeaseUpdateCostFollowsUsage: the cost of updates and ticks must not grow with teams
// that are not used.
func TestLeaseUpdateCostFollowsUsage(t *testing.T) {
	const questions = 150
	b, now := newLargeAllocator(manyTeams, 30, 100)
	best := time.Hour
	for range 5 {
		began := time.Now()
		for i := range questions {
			now = now.Add(event.Second / questions)
			name := event.BoxID(fmt.Sprint(i % 30))
			b.ApplyReport(now, name, b.UpdateLeases(now, name, 30).Number, nil)
		}
		for range 20 {
			b.Tick(now)
		}
		best = min(best, time.Since(began))
	}
	if most := 10 * time.Millisecond; best > most {
		t.Errorf("updates and ticks of one second take %v with %d teams of which 100 are used, want at most %v", best, manyTeams, most)
	}
}

// TestRecordIsBounded: a Record must not grow with the number of teams near their limits,
// since a follower that receives a huge entry does not reply in time. Each team must still
// be recorded.
func TestRecordIsBounded(t *testing.T) {
	b, now := newLargeAllocator(manyTeams, 4, 0)
	for i := range manyTeams {
		b.Spend(now, "1", manyTeam(i), testMax*45/100)
	}
	named := make(map[Account]bool)
	for range 100 {
		now = now.Add(200 * event.Millisecond)
		b.Tick(now)
		if !b.Due() {
			continue
		}
		r := b.MakeRecord(now)
		data, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > maxLogEntryBytes {
			t.Fatalf("Record of %d bytes and %d lines, want at most %d bytes", len(data), len(r.Lines), maxLogEntryBytes)
		}
		for _, line := range r.Lines {
			named[line.Account] = true
		}
		b.Committed()
		if now < at(16*event.Second) && len(named) == manyTeams {
			return
		}
	}
	t.Errorf("%d of %d teams near their limits were recorded in a window", len(named), manyTeams)
}

// TestReportIsBounded: an entry's report must not grow with the number of accounts that it
// holds, and in the end all must be reported.
func TestReportIsBounded(t *testing.T) {
	var s Leases
	update := LeaseUpdate{Number: 1, Whole: true}
	for i := range manyTeams {
		update.UpTo = append(update.UpTo, Lease{Account: manyTeam(i), UpTo: 100})
	}
	s.Apply(update)
	for i := range manyTeams {
		s.Spend(0, "", manyTeam(i), 10)
	}
	reported := make(map[Account]bool)
	leases := s.BeginSession()
	for range 100 {
		if got := gobBytes(t, leases); got > maxMessageBytes {
			t.Fatalf("reported %d accounts in %d bytes at once, want at most %d bytes", len(leases), got, maxMessageBytes)
		}
		for _, lease := range leases {
			reported[lease.Account] = true
		}
		_, leases = s.Changes()
	}
	if len(reported) != manyTeams {
		t.Errorf("reported %d of %d accounts", len(reported), manyTeams)
	}
}

// fullLedger returns a Ledger with a line of each of many teams.
func fullLedger(teams int) *Ledger {
	var r Record
	for i := range teams {
		line := Line{Account: manyTeam(i), Headroom: 600, Leased: 800}
		for range recordBins {
			line.Spent = append(line.Spent, 300)
		}
		r.Lines = append(r.Lines, line)
	}
	var l Ledger
	l.Apply(r)
	l.MarkReceived(0)
	return &l
}

// maxStep is the longest that one step of an owner may take: an eighth of the time after
// which another box starts an election, as the owner's loop is blocked meanwhile.
const maxStep = 50 * time.Millisecond

// TestOwnerInheritsWithinItsLease: a new owner that takes over all lines of the log and
// makes its first Record must not block its loop for too long. The best of several runs
// counts, in processor time, so that other load on the machine does not matter.
func TestOwnerInheritsWithinItsLease(t *testing.T) {
	l := fullLedger(manyTeams)
	inherit, record := time.Hour, time.Hour
	for range 5 {
		now := at(event.Second)
		var b *Allocator
		inherit = min(inherit, cputime.Of(func() {
			b = RestoreAllocator(now, testLeaseTTL, l)
			for i := range manyTeams {
				b.SetLimit(now, manyTeam(i), testLimit)
			}
		}))
		record = min(record, cputime.Of(func() { b.MakeRecord(now) }))
	}
	t.Logf("%d lines inherited in %v, the first Record made in %v", manyTeams, inherit, record)
	if inherit > maxStep || record > maxStep {
		t.Errorf("%d lines inherited in %v, the first Record made in %v, want at most %v", manyTeams, inherit, record, maxStep)
	}
}

// TestLeaseCountIsBounded: with many entries, an owner must not keep a lease for every
// entry and team.
func TestLeaseCountIsBounded(t *testing.T) {
	const teams, entries = 500, 1000
	b := NewAllocator(0, testLeaseTTL)
	for i := range teams {
		b.SetLimit(0, manyTeam(i), testLimit)
	}
	commit(0, b)
	for i := range entries {
		b.BeginSession(0, event.BoxID(fmt.Sprint(i)), 1, nil)
	}
	for range 3 {
		for i := range entries {
			name := event.BoxID(fmt.Sprint(i))
			b.ApplyReport(0, name, b.UpdateLeases(0, name, entries).Number, nil)
		}
	}
	leases := 0
	for _, h := range b.holders {
		leases += len(h.leases)
	}
	if most := 1 << 18; leases > most {
		t.Errorf("%d leases of %d entries and %d teams, none used, want at most %d", leases, entries, teams, most)
	}
}
