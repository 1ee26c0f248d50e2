// SPDX-License-Identifier: MIT

package uptime

import (
	"testing"
	"time"
)

// TestNow: it goes as fast as the steady clock while the computer is not suspended, and never back.
func TestNow(t *testing.T) {
	from := Now()
	began := time.Now()
	last := from
	for time.Since(began) < 50*time.Millisecond {
		now := Now()
		if now < last {
			t.Fatalf("%v came after %v", now, last)
		}
		last = now
	}
	steady := time.Since(began)
	if took := Now() - from; took < 50*time.Millisecond || took > steady+time.Second {
		t.Errorf("%v passed, %v by the steady clock", took, steady)
	}
}

// BenchmarkNow compares the clock with the steady one of package time.
func BenchmarkNow(b *testing.B) {
	b.Run("uptime", func(b *testing.B) {
		for b.Loop() {
			Now()
		}
	})
	b.Run("steady", func(b *testing.B) {
		began := time.Now()
		for b.Loop() {
			_ = time.Since(began)
		}
	})
	// The other way: the steady clock, and the time of day beside it, whose difference tells when to look.
	b.Run("day and steady", func(b *testing.B) {
		began := time.Now()
		day := began.Round(0)
		for b.Loop() {
			now := time.Now()
			_ = now.Round(0).Sub(day) - now.Sub(began)
		}
	})
}
