// SPDX-License-Identifier: MIT

package budget

import (
	"testing"

	"lynxramp.org/event"
)

// TestRecordKeepsWhatAnOwnerHasNoLimitOf: an owner takes the pools up before it has the limit of a
// team (it goes by an older configuration, or the team left and comes back). Its first Record, which
// replaces all before, does not name the team: the log forgets what the team has spent. The owner
// after it lets the team spend its quota anew within the same window.
func TestRecordKeepsWhatAnOwnerHasNoLimitOf(t *testing.T) {
	const fresh = 5 * event.Second
	limit := Limit{Window: 8 * event.Second, Most: 10000, Base: 10000}
	team := Team("u")
	var log Ledger
	keep := func(now event.Time, b *Book) {
		log.Apply(b.MakeRecord(now))
		log.Heard(now)
		b.Committed()
	}

	first := NewBook(0, fresh)
	first.SetLimit(0, team, limit)
	keep(0, first)
	spent := 0
	now := event.Time(0)
	for ; now < event.Time(event.Second); now = now.Add(10 * event.Millisecond) {
		if first.Spend(now, "entry", team, 100) {
			spent += 100
		}
		if first.Due() {
			keep(now, first)
		}
		first.Tick(now)
	}

	second := InheritLedger(now, fresh, &log) // knows no limit of the team
	keep(now, second)

	now = now.Add(100 * event.Millisecond)
	third := InheritLedger(now, fresh, &log)
	third.SetLimit(now, team, limit)
	keep(now, third)
	for ; now < event.Time(7*event.Second); now = now.Add(10 * event.Millisecond) {
		if third.Spend(now, "entry", team, 100) {
			spent += 100
		}
		if third.Due() {
			keep(now, third)
		}
		third.Tick(now)
	}
	if spent > limit.Most {
		t.Errorf("%d spent within a window, limit is %d", spent, limit.Most)
	}
}
