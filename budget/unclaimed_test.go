// SPDX-License-Identifier: MIT

package budget

import (
	"testing"

	"lynxramp.org/event"
)

// TestRecordKeepsLinesWithoutLimit: an owner may start without the limit of a team (an
// older configuration, or the team was removed and added again). If its first Record, which
// replaces all before, left the team out, the next owner would grant the team its whole
// quota again in the same window.
func TestRecordKeepsLinesWithoutLimit(t *testing.T) {
	const leaseTTL = 5 * event.Second
	limit := Limit{Window: 8 * event.Second, Max: 10000, Base: 10000}
	team := Team("u")
	var log Ledger
	commitRecord := func(now event.Time, b *Allocator) {
		log.Apply(b.MakeRecord(now))
		log.MarkReceived(now)
		b.Committed()
	}

	first := NewAllocator(0, leaseTTL)
	first.SetLimit(0, team, limit)
	commitRecord(0, first)
	spent := 0
	now := event.Time(0)
	for ; now < event.Time(event.Second); now = now.Add(10 * event.Millisecond) {
		if first.Spend(now, "entry", team, 100) {
			spent += 100
		}
		if first.Due() {
			commitRecord(now, first)
		}
		first.Tick(now)
	}

	second := RestoreAllocator(now, leaseTTL, &log) // has no limit of the team
	commitRecord(now, second)

	now = now.Add(100 * event.Millisecond)
	third := RestoreAllocator(now, leaseTTL, &log)
	third.SetLimit(now, team, limit)
	commitRecord(now, third)
	for ; now < event.Time(7*event.Second); now = now.Add(10 * event.Millisecond) {
		if third.Spend(now, "entry", team, 100) {
			spent += 100
		}
		if third.Due() {
			commitRecord(now, third)
		}
		third.Tick(now)
	}
	if spent > limit.Max {
		t.Errorf("%d spent within a window, limit is %d", spent, limit.Max)
	}
}
