// SPDX-License-Identifier: MIT

package uptime

import (
	"testing"
	"time"
)

// TestNow: the clock never decreases and, without a suspension, agrees with the monotonic clock.
func TestNow(t *testing.T) {
	from := Now()
	began := time.Now()
	last := from
	for time.Since(began) < 50*time.Millisecond {
		now := Now()
		if now < last {
			t.Fatalf("Now returned %v after %v", now, last)
		}
		last = now
	}
	monotonic := time.Since(began)
	if took := Now() - from; took < 50*time.Millisecond || took > monotonic+time.Second {
		t.Errorf("%v passed, %v by the monotonic clock", took, monotonic)
	}
}

// BenchmarkNow compares the clock with the monotonic one of package time.
func BenchmarkNow(b *testing.B) {
	b.Run("uptime", func(b *testing.B) {
		for b.Loop() {
			Now()
		}
	})
	b.Run("monotonic", func(b *testing.B) {
		began := time.Now()
		for b.Loop() {
			_ = time.Since(began)
		}
	})
	// The alternative: detect a suspension by the difference of the wall clock and the monotonic one.
	b.Run("wall and monotonic", func(b *testing.B) {
		began := time.Now()
		wall := began.Round(0)
		for b.Loop() {
			now := time.Now()
			_ = now.Round(0).Sub(wall) - now.Sub(began)
		}
	})
}
