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
	burst    float64 // lines
	tokens   float64 // lines that may be written now
	refilled time.Time
	dropped  uint64 // lines since the last TakeDropped
}

// NewRateLimiter returns a limiter of rate lines per second with a burst of one
// second's lines.
func NewRateLimiter(rate float64) *RateLimiter {
	return &RateLimiter{rate: rate, burst: rate, tokens: rate}
}

// Allow reports whether n lines may be written now; if not, all of them are
// counted as dropped.
func (l *RateLimiter) Allow(now time.Time, n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.refilled.IsZero() {
		l.tokens = min(l.burst, l.tokens+l.rate*now.Sub(l.refilled).Seconds())
	}
	l.refilled = now
	if l.tokens < float64(n) {
		l.dropped += uint64(n)
		return false
	}
	l.tokens -= float64(n)
	return true
}

// TakeDropped returns how many lines were dropped since the last call.
func (l *RateLimiter) TakeDropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.dropped
	l.dropped = 0
	return n
}
