// SPDX-License-Identifier: MIT

package rollout

import (
	"math"

	"lynxramp.org/event"
)

const (
	// priorFailures and priorResponses are the failure rate of a route with no control
	// response yet. 14% is a usual rate, so the first failures are no evidence.
	priorFailures, priorResponses = 1.0, 8.0
	// minFailureRate bounds the evidence of one failure.
	minFailureRate = 0.01
	// sameTimeWeight is the weight, in responses, of the failure rate of the whole order beside
	// that of a block.
	sameTimeWeight = 60.0
	// A block in which the other versions fail by outageDeviations standard deviations more
	// than usual has its own rate: with the weight above, an outage of what both versions
	// depend on spoke against the new one.
	outageWeight     = 2.0
	outageDeviations = 2.5
	// recentResponses is the number of control responses of a route above which the counts of
	// slowness are halved: the comparison is with the same time, not with the whole order.
	recentResponses = 256

	// slownessBins are half octaves of the time relative to the expected one, from
	// 2^minOctave.
	slownessBins   = 28
	binsPerOctave  = 2
	minOctave      = -4
	priorSlowness  = 6.0  // weight of the prior distribution, in responses
	priorBinDecay  = 0.6  // of the prior, for each bin away from the expected time
	minProbability = 0.01 // bounds the evidence of one slow response
	// gapSmoothing is the weight of a response in the usual time between tokens of a route.
	gapSmoothing = 0.05
)

// alternative is a way in which a version may be bad.
type alternative struct {
	// addedFailures is the probability that a response fails that would not fail otherwise.
	addedFailures float64
	// shift is the added slowness, in bins; 0 for failures.
	shift int
}

// alternatives are the ways that are tested, failures first. The test also finds what is
// between and beyond them.
var alternatives = [...]alternative{
	{addedFailures: 0.18},
	{addedFailures: 0.5},
	{shift: 1 * binsPerOctave},
	{shift: 2 * binsPerOctave},
	{shift: 3 * binsPerOctave},
}

const (
	alternativeCount = len(alternatives)
	failAlternatives = 2 // the first ones
	slowAlternatives = alternativeCount - failAlternatives
)

// outcomes counts responses.
type outcomes struct{ failed, passed float64 }

func (o *outcomes) add(failed bool) {
	if failed {
		o.failed++
		return
	}
	o.passed++
}

func (o *outcomes) merge(p outcomes) {
	o.failed += p.failed
	o.passed += p.passed
}

// control has the responses of the other versions on one route.
type control struct {
	outcomes [maxBlocks]outcomes
	// slowness counts recent responses by bin, and timed is the sum.
	slowness [slownessBins]float64
	timed    float64
	// gap is the usual time between tokens, for responses without an expected one; 0 if
	// unknown.
	gap float64
}

// add adds a response of another version to a block. Those of outlier endpoints are left out.
func (c *control) add(s Sample, block int, all *peers) {
	bin, isTimed := c.bin(s)
	n := all.add(s, bin, isTimed)
	if !n.isFailing {
		c.outcomes[block].add(s.Failed)
	}
	if n.isSlow || s.Failed {
		return
	}
	if isTimed {
		c.addSlowness(bin)
	}
	if s.TokenGap > 0 {
		c.addGap(float64(s.TokenGap))
	}
}

func (c *control) addSlowness(bin float64) {
	c.slowness[clampBin(int(math.Floor(bin)))]++
	c.timed++
	if c.timed <= recentResponses {
		return
	}
	c.timed /= 2
	for i := range c.slowness {
		c.slowness[i] /= 2
	}
}

func (c *control) addGap(gap float64) {
	if c.gap == 0 {
		c.gap = gap
		return
	}
	c.gap *= math.Pow(gap/c.gap, gapSmoothing)
}

// failureRates returns the failure rates of the other versions by block.
func (c *control) failureRates(blocks int) (rates [maxBlocks]float64) {
	var all outcomes
	for _, o := range c.outcomes[:blocks] {
		all.merge(o)
	}
	usual := (all.failed + priorFailures) / (all.failed + all.passed + priorResponses)
	for i, o := range c.outcomes[:blocks] {
		weight := sameTimeWeight
		if o.isAbove(usual) {
			weight = outageWeight
		}
		rate := (o.failed + weight*usual) / (o.failed + o.passed + weight)
		rates[i] = max(minFailureRate, rate)
	}
	return rates
}

// isAbove reports whether more responses failed than a rate explains.
func (o outcomes) isAbove(rate float64) bool {
	n := o.failed + o.passed
	return o.failed-n*rate > outageDeviations*math.Sqrt(n*rate*(1-rate))
}

// bin returns how slow a response was, in bins; false if unknown. It is the slower of the
// time to the first byte and the time between tokens. Failed responses are not timed: many
// fail at once.
func (c *control) bin(s Sample) (float64, bool) {
	if s.Failed {
		return 0, false
	}
	ratio := max(relative(s.First, float64(s.ExpectedFirst)), relative(s.TokenGap, c.expectedGap(s)))
	if ratio <= 0 {
		return 0, false
	}
	return (math.Log2(ratio) - minOctave) * binsPerOctave, true
}

func (c *control) expectedGap(s Sample) float64 {
	if s.ExpectedGap > 0 {
		return float64(s.ExpectedGap)
	}
	return c.gap
}

// relative returns a time relative to the expected one; 0 if either is unknown.
func relative(measured event.Duration, expected float64) float64 {
	if measured <= 0 || expected <= 0 {
		return 0
	}
	return float64(measured) / expected
}

// probability returns that of a bin for the other versions.
func (c *control) probability(bin int) float64 {
	if bin < 0 || bin >= slownessBins {
		return minProbability
	}
	distance := math.Abs(float64(bin - minOctave*-binsPerOctave))
	prior := (1 - priorBinDecay) / (1 + priorBinDecay) * math.Pow(priorBinDecay, distance)
	p := (c.slowness[bin] + priorSlowness*prior) / (c.timed + priorSlowness)
	return max(minProbability, p)
}

// shifted returns the probability of a bin for a version that is slower by a shift. It is
// blurred by a bin, as the true shift is between those that are tested.
func (c *control) shifted(bin, shift int) float64 {
	b := bin - shift
	return (c.probability(b-1) + 2*c.probability(b) + c.probability(b+1)) / 4
}

func clampBin(bin int) int { return min(max(bin, 0), slownessBins-1) }

// slowRatios returns the logarithms of the likelihood ratios of the slowness of a response of
// the new version: that of each alternative over that of the other versions. cold is the
// slowness that is allowed, in bins.
func (c *control) slowRatios(s Sample, cold float64) (ratios [slowAlternatives]float64) {
	bin, isTimed := c.bin(s)
	if !isTimed {
		return ratios
	}
	at := clampBin(int(math.Floor(bin - cold)))
	for i, a := range alternatives[failAlternatives:] {
		ratios[i] = math.Log(c.shifted(at, a.shift) / c.shifted(at, 0))
	}
	return ratios
}

// failRatios are the logarithms of the likelihood ratios of one response for the alternatives
// that add failures.
type failRatios [failAlternatives]struct{ failed, passed float64 }

// failRatiosOf returns those at a failure rate of the other versions.
func failRatiosOf(usual float64) (ratios failRatios) {
	for i, a := range alternatives[:failAlternatives] {
		ratios[i].failed = math.Log((usual + (1-usual)*a.addedFailures) / usual)
		ratios[i].passed = math.Log(1 - a.addedFailures)
	}
	return ratios
}
