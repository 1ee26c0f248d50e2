// SPDX-License-Identifier: MIT

package logx

import (
	"sync"
	"time"
)

// RateLimiter bounds how many lines of a kind are written. It is safe for concurrent
// use.
type RateLimiter struct {
	mu      sync.Mutex
	rate    float64 // lines a second
	most    float64
	lines   float64
	filled  time.Time
	leftOut uint64
}

// NewRateLimiter returns a budget of so many lines a second, and as many at once.
func NewRateLimiter(rate float64) *RateLimiter {
	return &RateLimiter{rate: rate, most: rate, lines: rate}
}

// Allow reports whether so many lines may be written now; if not, they are counted
// as left out.
func (b *RateLimiter) Allow(now time.Time, lines int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.filled.IsZero() {
		b.lines = min(b.most, b.lines+b.rate*now.Sub(b.filled).Seconds())
	}
	b.filled = now
	if b.lines < float64(lines) {
		b.leftOut += uint64(lines)
		return false
	}
	b.lines -= float64(lines)
	return true
}

// TakeDropped returns how many lines were left out since it was last called.
func (b *RateLimiter) TakeDropped() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.leftOut
	b.leftOut = 0
	return n
}
