// SPDX-License-Identifier: MIT

package sched

import (
	"slices"

	"lynxramp.org/event"
)

// prefillQueue is the prefill work pending at an endpoint. An endpoint processes prompts
// one at a time, in the order of the grants. The zero value is empty.
type prefillQueue struct {
	pending      []*grant   // grants whose responses have not begun, oldest first
	work         float64    // of all pending grants, in seconds at speed 1
	headSince    event.Time // when the first pending grant became the head
	plannedUntil event.Time // planned end of all prefills, for pools without Begun events
}

// add appends a grant.
func (q *prefillQueue) add(now event.Time, g *grant) {
	if len(q.pending) == 0 {
		q.headSince = now
	}
	q.pending = append(q.pending, g)
	q.work += g.prefillWork
}

// remove deletes a grant whose response has begun or which has ended.
func (q *prefillQueue) remove(now event.Time, g *grant) {
	i := slices.Index(q.pending, g)
	if i < 0 {
		return
	}
	if i == 0 {
		q.headSince = now
	}
	q.pending = slices.Delete(q.pending, i, i+1)
	q.work -= g.prefillWork
	if len(q.pending) == 0 {
		q.work = 0 // clear the rounding error
	}
}

// reserve plans a prefill of a given length, for endpoints that don't report when it
// ends.
func (q *prefillQueue) reserve(now event.Time, prefill event.Duration) {
	q.plannedUntil = max(q.plannedUntil, now).Add(prefill)
}

// head returns the grant whose prompt is being processed; nil if there is none.
func (q *prefillQueue) head() *grant {
	if len(q.pending) == 0 {
		return nil
	}
	return q.pending[0]
}

// headWork returns the work of the prompt being processed, in seconds at speed 1.
func (q *prefillQueue) headWork() float64 {
	if len(q.pending) == 0 {
		return 0
	}
	return q.pending[0].prefillWork
}

// Smoothing weight and bounds of an endpoint's prefill slowdown.
const (
	prefillSlowdownWeight = 0.2
	prefillSlowdownMin    = 0.4
	prefillSlowdownMax    = 4.0
	// minPrefillSample is the least work of a sample, in seconds at speed 1: for shorter
	// prompts the other parts of the latency dominate.
	minPrefillSample = 0.02
	// prefillSlowdownMaxAge is how long a sample is valid.
	prefillSlowdownMaxAge = 4 * event.Second
)

// prefillSlowdown is how much slower an endpoint currently processes prompts than its
// speed suggests, due to its other requests. The zero value is a factor of 1.
type prefillSlowdown struct {
	value float64
	at    event.Time
}

// get returns the factor at now.
func (p *prefillSlowdown) get(now event.Time) float64 {
	if p.value == 0 || now.Sub(p.at) > prefillSlowdownMaxAge {
		return 1
	}
	return p.value
}

// observe adds a sample.
func (p *prefillSlowdown) observe(now event.Time, sample float64) {
	sample = min(max(sample, prefillSlowdownMin), prefillSlowdownMax)
	before := p.get(now)
	p.value = before + prefillSlowdownWeight*(sample-before)
	p.at = now
}

// Parameters of the prefill rate estimate.
const (
	minPrefillSamples = 20   // required before the rate is used
	prefillDecay      = 0.99 // decay factor of older samples' weight per new sample
	// minPrefillRate is the lower bound of the rate, in tokens per second.
	minPrefillRate = 500.0
)

// prefillFit estimates the prefill time per token at speed 1, by a least-squares fit of
// the time to first token over the prompt's length, which separates the fixed overhead of
// a request. Older samples decay exponentially. The zero value is ready to use.
type prefillFit struct {
	samples      int
	weight       float64
	x, y, xx, xy float64 // decayed sums over the samples; x is in tokens, y in seconds
}

// observe adds a sample: a prompt's tokens, divided by the endpoint's speed, and the time
// to first token in seconds.
func (f *prefillFit) observe(tokens, seconds float64) {
	f.samples++
	f.weight = f.weight*prefillDecay + 1
	f.x = f.x*prefillDecay + tokens
	f.y = f.y*prefillDecay + seconds
	f.xx = f.xx*prefillDecay + tokens*tokens
	f.xy = f.xy*prefillDecay + tokens*seconds
}

// overhead returns the time to first token less the prefill time, in seconds; 0 while
// unknown.
func (f *prefillFit) overhead() float64 {
	rate := f.rate()
	if rate == 0 {
		return 0
	}
	return max(0, (f.y-f.x/rate)/f.weight)
}

// rate returns the prompt tokens per second at speed 1; 0 while unknown.
func (f *prefillFit) rate() float64 {
	if f.samples < minPrefillSamples {
		return 0
	}
	spread := f.weight*f.xx - f.x*f.x
	slope := f.weight*f.xy - f.x*f.y
	if spread <= 0 || slope <= 0 {
		return 0
	}
	return max(minPrefillRate, spread/slope)
}
