// SPDX-License-Identifier: MIT

package sched

import (
	"slices"

	"lynxramp.org/event"
)

// prefillQueue is what an endpoint still has to read of the prompts that it was granted.
// An endpoint reads one prompt after the other, in the order of the grants. The zero
// value has nothing to read.
type prefillQueue struct {
	pending []*grant   // whose answers have not begun, oldest first
	work    float64    // of all pending, seconds at speed 1
	headSince   event.Time // when the first pending one came first
	plannedUntil   event.Time // when all should be read, by plan
}

// add takes in a grant whose prompt is to be read.
func (r *prefillQueue) add(now event.Time, g *grant) {
	if len(r.pending) == 0 {
		r.headSince = now
	}
	r.pending = append(r.pending, g)
	r.work += g.prefillWork
}

// remove takes note that a grant's prompt is not to be read any more: its answer has
// begun, or it has ended.
func (r *prefillQueue) remove(now event.Time, g *grant) {
	i := slices.Index(r.pending, g)
	if i < 0 {
		return
	}
	if i == 0 {
		r.headSince = now
	}
	r.pending = slices.Delete(r.pending, i, i+1)
	r.work -= g.prefillWork
	if len(r.pending) == 0 {
		r.work = 0 // without what rounding left
	}
}

// reserve takes in a prompt that takes so long, where nobody tells when it is read.
func (r *prefillQueue) reserve(now event.Time, fill event.Span) {
	r.plannedUntil = max(r.plannedUntil, now).Add(fill)
}

// head returns the grant whose prompt is being read; nil if there is none.
func (r *prefillQueue) head() *grant {
	if len(r.pending) == 0 {
		return nil
	}
	return r.pending[0]
}

// headWork returns the work of the prompt that is being read, in seconds at speed 1.
func (r *prefillQueue) headWork() float64 {
	if len(r.pending) == 0 {
		return 0
	}
	return r.pending[0].prefillWork
}

// Weights and bounds of an endpoint's pace.
const (
	prefillSlownessWeight = 0.2
	prefillSlownessMin    = 0.4
	prefillSlownessMax    = 4.0
	// minPrefillSample is the least work of a sample, in seconds at speed 1: of a short prompt
	// other times are the larger part.
	minPrefillSample = 0.02
	// prefillSlownessMaxAge is how long a sample counts.
	prefillSlownessMaxAge = 4 * event.Second
)

// prefillSlowness is how much slower an endpoint reads prompts now than by its speed alone: its
// other requests take their part. The zero value is as fast as by its speed.
type prefillSlowness struct {
	value float64
	at    event.Time
}

// get returns the pace at now.
func (p *prefillSlowness) get(now event.Time) float64 {
	if p.value == 0 || now.Sub(p.at) > prefillSlownessMaxAge {
		return 1
	}
	return p.value
}

// observe takes a sample.
func (p *prefillSlowness) observe(now event.Time, sample float64) {
	sample = min(max(sample, prefillSlownessMin), prefillSlownessMax)
	before := p.get(now)
	p.value = before + prefillSlownessWeight*(sample-before)
	p.at = now
}

// How the rate of reading prompts is learned.
const (
	minPrefillSamples = 20   // needed before the rate is used
	prefillDecay    = 0.99 // of the older samples' weight, at each new one
	// minPrefillRate bounds the rate from below, in tokens a second.
	minPrefillRate = 500.0
)

// prefillFit learns how long an endpoint of speed 1 takes for a prompt's token, by
// the least squares of the time to an answer's beginning over the prompt's length:
// what each answer takes beside its prompt does not count. Older samples fade. The
// zero value knows nothing.
type prefillFit struct {
	samples      int
	weight       float64
	x, y, xx, xy float64
}

// observe takes a sample: a prompt's tokens, over the endpoint's speed, and the seconds
// to the answer's beginning.
func (f *prefillFit) observe(tokens, seconds float64) {
	f.samples++
	f.weight = f.weight*prefillDecay + 1
	f.x = f.x*prefillDecay + tokens
	f.y = f.y*prefillDecay + seconds
	f.xx = f.xx*prefillDecay + tokens*tokens
	f.xy = f.xy*prefillDecay + tokens*seconds
}

// overhead returns the seconds that an answer takes beside its prompt; 0 while they are
// not known.
func (f *prefillFit) overhead() float64 {
	rate := f.rate()
	if rate == 0 {
		return 0
	}
	return max(0, (f.y-f.x/rate)/f.weight)
}

// rate returns the prompt tokens a second at speed 1; 0 while it is not known.
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
