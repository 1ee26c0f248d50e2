// SPDX-License-Identifier: MIT

package budget

import (
	"testing"

	"pgregory.net/rapid"

	"lynxramp.org/event"
)

func TestWindowSumsLastSpan(t *testing.T) {
	w := NewWindow(8 * event.Second)
	second := event.Time(event.Second)
	w.Add(1*second, 10)
	w.Add(5*second, 20)
	for _, c := range []struct {
		at   event.Time
		want int
	}{{5 * second, 30}, {8*second + second/2, 30}, {10 * second, 20}, {20 * second, 0}} {
		if got := w.Total(c.at); got != c.want {
			t.Errorf("total at %v: %d, want %d", event.Duration(c.at), got, c.want)
		}
	}
	w.Add(20*second, 5)
	w.Remove(20*second, 20*second, 3)
	if got := w.Total(20 * second); got != 2 {
		t.Errorf("total after removing 3: %d, want 2", got)
	}
}

// TestWindowRemovesFromBinOfItsTime: if the amount were removed from the newest bin, the
// later amount would expire with the earlier one.
func TestWindowRemovesFromBinOfItsTime(t *testing.T) {
	w := NewWindow(8 * event.Second)
	second := event.Time(event.Second)
	w.Add(1*second, 10)
	w.Add(5*second, 20)
	w.Remove(6*second, 1*second, 10)
	for at, want := range map[event.Time]int{6 * second: 20, 10 * second: 20, 12*second + second/2: 20} {
		v := *w
		if got := v.Total(at); got != want {
			t.Errorf("total at %v: %d, want %d", event.Duration(at), got, want)
		}
	}
	w.Remove(20*second, 5*second, 20)
	if got := w.Total(20 * second); got != 0 {
		t.Errorf("total %d after removing what has expired, want 0", got)
	}
}

func TestWindowNeverExpiresEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := NewWindow(8 * event.Second)
		type spent struct {
			at     event.Time
			amount int
		}
		var all []spent
		now := event.Time(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(event.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * event.Millisecond)
			amount := rapid.IntRange(0, 100).Draw(t, "amount")
			w.Add(now, amount)
			all = append(all, spent{now, amount})
			least := 0
			for _, s := range all {
				if now.Sub(s.at) < 8*event.Second {
					least += s.amount
				}
			}
			if got := w.Total(now); got < least {
				t.Fatalf("total %d, but %d were spent in the last 8 s", got, least)
			}
		}
	})
}
