// SPDX-License-Identifier: MIT

package backpressure

import "lynxramp.org/event"

const (
	// leastRate is what is spent of a limit that allows less, in requests a second: an endpoint that gets no
	// request can't say that its limit is over.
	leastRate = 0.1
	// burstTime is how long an unspent limit adds up, beyond one request: some ticks of whoever spends it.
	burstTime = 0.1 // seconds
	// mostRate is what is spent of a limit that allows more: a limit may be any number, and this is far above what
	// an endpoint takes.
	mostRate = 1e6
)

// Pacer spends a rate of requests. The zero Pacer has no rate and spends nothing.
type Pacer struct {
	rate  float64 // a second
	saved float64 // requests
	at    event.Time
}

// Set has a part of a limit spent from now on. What is saved stays.
func (p *Pacer) Set(now event.Time, limit, part float64) {
	p.save(now)
	p.rate = min(max(limit, leastRate), mostRate) * part
	p.saved = min(p.saved, p.most())
}

// Rate returns what is spent, in requests a second.
func (p *Pacer) Rate() float64 { return p.rate }

// most returns how many requests are saved at the most.
func (p *Pacer) most() float64 { return max(1, p.rate*burstTime) }

func (p *Pacer) save(now event.Time) {
	if now > p.at {
		p.saved = min(p.most(), p.saved+p.rate*now.Sub(p.at).Seconds())
		p.at = now
	}
}

// Room returns how many requests may be sent now.
func (p *Pacer) Room(now event.Time) int {
	p.save(now)
	return int(p.saved + roundingSlack)
}

// roundingSlack is what sums of many small parts may lack of a whole request.
const roundingSlack = 1e-6

// Take spends a request.
func (p *Pacer) Take(now event.Time) {
	p.save(now)
	p.saved--
}

// GiveBack takes back a request that was spent and not sent.
func (p *Pacer) GiveBack() { p.saved = min(p.most(), p.saved+1) }
