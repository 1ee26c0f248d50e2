// SPDX-License-Identifier: MIT

package budget

import (
	"encoding/json"
	"fmt"
	"testing"

	"lynxramp.org/event"
)

// benchAllocator returns an Allocator whose accounts are used at two fifths of their limits by
// all entries.
func benchAllocator(accounts, entries int) (*Allocator, event.Time) {
	b := NewAllocator(0, testLeaseTTL)
	for i := range accounts {
		b.SetLimit(0, Team(fmt.Sprintf("team-%d", i)), Limit{Window: 8 * event.Second, Max: 1_600_000, Base: 1_600_000})
	}
	for i := range entries {
		b.BeginSession(0, event.BoxID(fmt.Sprint(i)), 1, nil)
	}
	b.MakeRecord(0)
	b.Committed()
	now := event.Time(0)
	for step := range 80 {
		now = event.Time(step) * event.Time(100*event.Millisecond)
		for i := range accounts {
			if !b.Spend(now, event.BoxID(fmt.Sprint((step+i)%entries)), Team(fmt.Sprintf("team-%d", i)), 8000) {
				b.MakeRecord(now)
				b.Committed()
			}
		}
	}
	return b, now
}

var benchSizes = []struct{ accounts, entries int }{{5, 4}, {16, 22}, {40, 103}, {1200, 390}, {14000, 30}}

// BenchmarkRecord measures the Records of one second in which all teams spend two fifths of
// their limits: their total size and the largest one.
func BenchmarkRecord(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("%d teams", size.accounts), func(b *testing.B) {
			allocator, now := benchAllocator(size.accounts, size.entries)
			bytes, largest := 0, 0
			for b.Loop() {
				for range 20 {
					now = now.Add(50 * event.Millisecond)
					allocator.Tick(now)
					for i := range size.accounts {
						allocator.Spend(now, "0", Team(fmt.Sprintf("team-%d", i)), 4000)
					}
					if !allocator.Due() {
						continue
					}
					data, err := json.Marshal(allocator.MakeRecord(now))
					if err != nil {
						b.Fatal(err)
					}
					allocator.Committed()
					bytes += len(data)
					largest = max(largest, len(data))
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/s")
			b.ReportMetric(float64(largest), "largest")
		})
	}
}

// BenchmarkUpdateLeases measures one update to an entry.
func BenchmarkUpdateLeases(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("%d teams, %d entries", size.accounts, size.entries), func(b *testing.B) {
			allocator, now := benchAllocator(size.accounts, size.entries)
			sent := 0
			for i := 0; b.Loop(); i++ {
				now = now.Add(pingInterval / event.Duration(size.entries))
				name := event.BoxID(fmt.Sprint(i % size.entries))
				update := allocator.UpdateLeases(now, name, size.entries)
				sent += len(update.UpTo)
				allocator.ApplyReport(now, name, update.Number, nil)
			}
			b.ReportMetric(float64(sent)/float64(b.N), "accounts/op")
		})
	}
}

// pingInterval is the interval of an entry's pings.
const pingInterval = 200 * event.Millisecond

// BenchmarkSpend measures the spending of one request.
func BenchmarkSpend(b *testing.B) {
	allocator, now := benchAllocator(40, 103)
	for i := 0; b.Loop(); i++ {
		if !allocator.Spend(now, "7", "team/team-3", 1) {
			allocator.MakeRecord(now)
			allocator.Committed()
			now = now.Add(event.Second)
		}
	}
}

// BenchmarkLedger measures the encoding of a snapshot of the Records, and its size.
func BenchmarkLedger(b *testing.B) {
	for _, teams := range []int{16, 1200, 14000} {
		b.Run(fmt.Sprintf("%d teams", teams), func(b *testing.B) {
			l := fullLedger(teams)
			size := 0
			for b.Loop() {
				data, err := json.Marshal(l.Record())
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
