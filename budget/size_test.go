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

// The tests of this file hold what grows with teams, entries and use within the times and
// bytes that are fixed: an entry takes an owner that is silent for half a second for lost,
// its link carries 1.25 MB/s, and an owner's lease is 340 ms.

const (
	manyTeams = 14000
	// mostMessage bounds what one message of a session has of budgets, in bytes: 13 ms of
	// a link of 1.25 MB/s.
	mostMessage = 16 << 10
	// mostEntryOfLog bounds one entry of the log, in bytes.
	mostEntryOfLog = 128 << 10
)

func manyTeam(i int) Account { return Team(fmt.Sprintf("team-%05d", i)) }

// newManyBook returns a book of many teams and some entries. Some of the teams are used by
// all entries, at two fifths of their limits.
func newManyBook(teams, entries, used int) (*Book, event.Time) {
	b := NewBook(0, testFresh)
	for i := range teams {
		b.SetLimit(0, manyTeam(i), testLimit)
	}
	for i := range entries {
		b.Greet(0, event.BoxID(fmt.Sprint(i)), 1, nil)
	}
	commit(0, b)
	now := event.Time(0)
	for step := range 80 {
		now = at(event.Span(step) * 100 * event.Millisecond)
		for i := range used {
			spendOrRecord(now, b, event.BoxID(fmt.Sprint((step+i)%entries)), manyTeam(i), testMost*2/5/80)
		}
	}
	return b, now
}

// spendOrRecord spends an amount, after a Record if it awaits one.
func spendOrRecord(now event.Time, b *Book, entry event.BoxID, name Account, amount int) {
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

// TestAnswerIsBounded: each new session was sent an account for each team in one message,
// in front of what says that the owner lives. It grew with teams whether they were used or
// not.
func TestAnswerIsBounded(t *testing.T) {
	b, now := newManyBook(manyTeams, 4, 3000)
	lent := make(map[Account]bool)
	for range 50 {
		now = now.Add(200 * event.Millisecond)
		l := b.Lend(now, "1", 4)
		b.Hear(now, "1", l.Number, nil)
		if got := gobBytes(t, l); got > mostMessage {
			t.Fatalf("an answer of %d bytes and %d accounts, want %d bytes at the most", got, len(l.UpTo), mostMessage)
		}
		for _, one := range l.UpTo {
			lent[one.Account] = true
		}
	}
	for i := range 3000 {
		if !lent[manyTeam(i)] {
			t.Fatalf("of %s, which the entry used, nothing was lent within 10 s", manyTeam(i))
		}
	}
	if len(lent) > 3100 {
		t.Errorf("%d accounts lent, 3000 are used", len(lent))
	}
}

// TestAnswerCostsWhatIsUsed: an owner sorted and walked all accounts for each question of
// each entry, 150 a second of 30 entries and 1,950 of 390.
func TestAnswerCostsWhatIsUsed(t *testing.T) {
	const questions = 150
	b, now := newManyBook(manyTeams, 30, 100)
	best := time.Hour
	for range 5 {
		began := time.Now()
		for i := range questions {
			now = now.Add(event.Second / questions)
			name := event.BoxID(fmt.Sprint(i % 30))
			b.Hear(now, name, b.Lend(now, name, 30).Number, nil)
		}
		for range 20 {
			b.Tick(now)
		}
		best = min(best, time.Since(began))
	}
	if most := 10 * time.Millisecond; best > most {
		t.Errorf("a second's answers and ticks take %v with %d teams of which 100 are used, want %v at the most", best, manyTeams, most)
	}
}

// TestRecordIsBounded: a Record was one entry of the log with a line for each team near its
// limit, and a follower that has to take 2 MB in one piece does not answer in time. Each team
// still gets its line.
func TestRecordIsBounded(t *testing.T) {
	b, now := newManyBook(manyTeams, 4, 0)
	for i := range manyTeams {
		b.Spend(now, "1", manyTeam(i), testMost*45/100)
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
		if len(data) > mostEntryOfLog {
			t.Fatalf("a record of %d bytes and %d lines, want %d bytes at the most", len(data), len(r.Lines), mostEntryOfLog)
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

// TestWordIsBounded: an entry told all accounts that it ever held in its greeting, before its
// first question, however many.
func TestWordIsBounded(t *testing.T) {
	var s Allowances
	lent := Lent{Number: 1, Whole: true}
	for i := range manyTeams {
		lent.UpTo = append(lent.UpTo, Holding{Account: manyTeam(i), UpTo: 100})
	}
	s.Take(lent)
	for i := range manyTeams {
		s.Spend(0, "", manyTeam(i), 10)
	}
	told := make(map[Account]bool)
	held := s.Greet()
	for range 100 {
		if got := gobBytes(t, held); got > mostMessage {
			t.Fatalf("told %d accounts in %d bytes at once, want %d bytes at the most", len(held), got, mostMessage)
		}
		for _, one := range held {
			told[one.Account] = true
		}
		_, held = s.Changes()
	}
	if len(told) != manyTeams {
		t.Errorf("told %d of %d accounts", len(told), manyTeams)
	}
}

// fullLedger returns a log with a line on each of many teams.
func fullLedger(teams int) *Ledger {
	var r Record
	for i := range teams {
		line := Line{Account: manyTeam(i), Mark: 600, Lent: 800}
		for range recordBins {
			line.Spent = append(line.Spent, 300)
		}
		r.Lines = append(r.Lines, line)
	}
	var l Ledger
	l.Apply(r)
	l.Heard(0)
	return &l
}

// mostStep is the longest that one step of an owner may take: an eighth of the time after
// which another box stands for its place, since its loop stands still meanwhile.
const mostStep = 50 * time.Millisecond

// TestOwnerInheritsWithinItsLease: an owner that follows another takes over all lines of the
// log and makes its first Record, each in one step. The best of some runs counts, by its
// processor time: beside 24 busy processes a run took 98 ms and more, 24 of them its own.
func TestOwnerInheritsWithinItsLease(t *testing.T) {
	l := fullLedger(manyTeams)
	inherit, record := time.Hour, time.Hour
	for range 5 {
		now := at(event.Second)
		var b *Book
		inherit = min(inherit, cputime.Of(func() {
			b = InheritLedger(now, testFresh, l)
			for i := range manyTeams {
				b.SetLimit(now, manyTeam(i), testLimit)
			}
		}))
		record = min(record, cputime.Of(func() { b.MakeRecord(now) }))
	}
	t.Logf("%d lines inherited in %v, the first record made in %v", manyTeams, inherit, record)
	if inherit > mostStep || record > mostStep {
		t.Errorf("%d lines inherited in %v, the first record made in %v, want %v at the most", manyTeams, inherit, record, mostStep)
	}
}

// TestManyEntriesAreLentWhatTheyUse: what an owner keeps of 1,000 entries with 500 teams each
// were 500,000 credits, whether they were used or not.
func TestManyEntriesAreLentWhatTheyUse(t *testing.T) {
	const teams, entries = 500, 1000
	b := NewBook(0, testFresh)
	for i := range teams {
		b.SetLimit(0, manyTeam(i), testLimit)
	}
	commit(0, b)
	for i := range entries {
		b.Greet(0, event.BoxID(fmt.Sprint(i)), 1, nil)
	}
	for range 3 {
		for i := range entries {
			name := event.BoxID(fmt.Sprint(i))
			b.Hear(0, name, b.Lend(0, name, entries).Number, nil)
		}
	}
	credits := 0
	for _, h := range b.holders {
		credits += len(h.credits)
	}
	if most := 1 << 18; credits > most {
		t.Errorf("%d credits of %d entries and %d teams, none used, want %d at the most", credits, entries, teams, most)
	}
}
