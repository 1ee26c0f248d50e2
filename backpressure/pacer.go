// SPDX-License-Identifier: MIT

package backpressure

import "lynxramp.org/event"

const (
	// minRate is the lowest rate that is spent, in requests a second, whatever the limit: an endpoint that
	// receives no requests can't report that its limit was lifted.
	minRate = 0.1
	// burstTime is the span over which unused tokens accumulate, beyond one request. It covers some ticks of the
	// caller.
	burstTime = 0.1 // seconds
	// maxRate bounds the rate, since an endpoint may report any number. It is far above what an endpoint serves.
	maxRate = 1e6
)

// Pacer is a token bucket. The zero Pacer has no rate and no tokens.
type Pacer struct {
	rate       float64 // tokens a second
	tokens     float64
	refilledAt event.Time
}

// SetRate sets the rate to a share of a limit. Accumulated tokens are kept, up to the new burst.
func (p *Pacer) Set(now event.Time, limit, share float64) {
	p.refill(now)
	p.rate = min(max(limit, minRate), maxRate) * share
	p.tokens = min(p.tokens, p.burst())
}

// Rate returns the rate in requests a second.
func (p *Pacer) Rate() float64 { return p.rate }

// burst returns the capacity of the bucket.
func (p *Pacer) burst() float64 { return max(1, p.rate*burstTime) }

func (p *Pacer) refill(now event.Time) {
	if now > p.refilledAt {
		p.tokens = min(p.burst(), p.tokens+p.rate*now.Sub(p.refilledAt).Seconds())
		p.refilledAt = now
	}
}

// Available returns how many requests may be sent now.
func (p *Pacer) Room(now event.Time) int {
	p.refill(now)
	return int(p.tokens + roundingSlack)
}

// roundingSlack compensates for rounding in sums of many small amounts.
const roundingSlack = 1e-6

// Take takes the token of one request.
func (p *Pacer) Take(now event.Time) {
	p.refill(now)
	p.tokens--
}

// Refund returns the token of a request that was not sent.
func (p *Pacer) GiveBack() { p.tokens = min(p.burst(), p.tokens+1) }
