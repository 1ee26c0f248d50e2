// SPDX-License-Identifier: MIT

package budget

import (
	"fmt"
	"testing"

	"lynxramp.org/event"
)

// TestFirstAnswersArePaced: however many entries come to an owner that begins, and whatever accounts there are, it
// lends to some between two ticks, to all within a second, and an entry that waits holds nothing of the owner
// before.
func TestFirstAnswersArePaced(t *testing.T) {
	const accounts, entries, tick = 333, 770, 50 * event.Millisecond
	b := NewBook(0, 5*event.Second)
	for i := range accounts {
		b.SetLimit(0, Team(fmt.Sprint("team", i)), Limit{Window: 8 * event.Second, Most: 100_000, Base: 100_000})
	}
	b.MakeRecord(0)
	b.Committed()
	name := func(i int) event.BoxID { return event.BoxID(fmt.Sprint("entry", i)) }
	for i := range entries {
		b.Greet(0, name(i), 1, nil)
	}
	lent := make(map[int]bool)
	for now := event.Time(0); now < event.Time(event.Second); now = now.Add(tick) {
		b.Tick(now)
		first := 0
		for i := range entries {
			if lent[i] {
				continue
			}
			l := b.Lend(now, name(i), entries)
			if l.Number > 0 {
				lent[i] = true
				first++
			} else if !l.Whole || len(l.UpTo) > 0 {
				t.Fatalf("an entry that waits is told %+v", l)
			}
		}
		if most := usualBounds.first/accounts + 1; first > most {
			t.Fatalf("%d entries were lent for the first time between two ticks, want %d at the most", first, most)
		}
	}
	if len(lent) != entries {
		t.Errorf("%d of %d entries were lent something after a second", len(lent), entries)
	}
}
