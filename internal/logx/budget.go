// SPDX-License-Identifier: MIT

package logx

import (
	"sync"
	"time"
)

// RateLimiter is a token bucket that bounds the log lines of one kind. It is safe
// for concurrent use.
type RateLimiter struct {
	mu       sync.Mutex
	rate     float64 // lines per second
	burst    float64
	tokens   float64
	refilled time.Time
	dropped  uint64
}

// NewRateLimiter returns a limiter of rate lines per second with a burst of one
// second's lines.
func NewRateLimiter(rate float64) *RateLimiter {
	return &RateLimiter{rate: rate, burst: rate, tokens: rate}
}

// Allow reports whether n lines may be written now; if not, all of them are
// counted as dropped.
func (b *RateLimiter) Allow(now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.refilled.IsZero() {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.refilled).Seconds())
	}
	b.refilled = now
	if b.tokens < float64(n) {
		b.dropped += uint64(n)
		return false
	}
	b.tokens -= float64(n)
	return true
}

// TakeDropped returns how many lines were dropped since the last call.
func (b *RateLimiter) TakeDropped() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.dropped
	b.dropped = 0
	return n
}
