// SPDX-License-Identifier: MIT

package overload

import (
	"math"
	"time"
)

const (
	// burstTime is the time whose connections are accepted at once.
	burstTime = 100 * time.Millisecond
	// maxClosed is the longest time for which no connection is accepted.
	maxClosed = 2 * time.Second
)

// bucket counts the connections that a limit allows. All times are passed to it.
type bucket struct {
	rate      float64 // connections a second; +Inf without a limit
	isPaused  bool    // the limit is 0 for now
	tokens    float64 // connections that may be accepted; negative if too many were
	countedAt time.Time
}

// newBucket returns a bucket without a limit.
func newBucket() bucket { return bucket{rate: math.Inf(1)} }

// hasLimit reports whether there is a limit.
func (b *bucket) hasLimit() bool { return !math.IsInf(b.rate, 1) }

// burst returns how many connections are accepted at once.
func (b *bucket) burst() float64 { return max(1, b.rate*burstTime.Seconds()) }

// set changes the limit. A new one begins with an empty bucket.
func (b *bucket) set(now time.Time, rate float64, isPaused bool) {
	hadLimit := b.hasLimit()
	b.refill(now)
	b.rate, b.isPaused = rate, isPaused
	if !hadLimit {
		b.tokens = 0
	}
}

func (b *bucket) refill(now time.Time) {
	if b.hasLimit() && !b.isPaused {
		b.tokens = min(b.burst(), b.tokens+b.rate*now.Sub(b.countedAt).Seconds())
	}
	b.countedAt = now
}

// spend takes tokens, for which the bucket may go into debt.
func (b *bucket) spend(now time.Time, tokens float64) {
	b.refill(now)
	if b.hasLimit() {
		b.tokens = max(b.tokens-tokens, -b.rate*maxClosed.Seconds())
	}
}

// untilFull returns the time until a burst may be accepted; maxClosed if that takes longer.
func (b *bucket) untilFull(now time.Time) time.Duration {
	b.refill(now)
	missing := b.burst() - b.tokens
	switch {
	case !b.hasLimit() || missing <= 0 && !b.isPaused:
		return 0
	case b.isPaused:
		return maxClosed
	}
	return min(maxClosed, time.Duration(missing/b.rate*float64(time.Second)))
}
