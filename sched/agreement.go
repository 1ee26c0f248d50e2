// SPDX-License-Identifier: MIT

package sched

// Parameters of an agreement.
const (
	agreementWeight = 0.05 // of a new sample
	// priorVariance is the weight of the assumption that reports are true, in the units of the variance of the
	// reports. An endpoint that takes 2.5 times as long for 15% of the time has a variance of 0.1.
	priorVariance = 0.03
	// minPriorVariance is the part of it that does not decay. It keeps the slope where reports don't vary.
	minPriorVariance = 0.005
)

// agreement is how far reported slowdowns explain measured run times: the slope of a regression of the logarithm of
// the measured time over that of the reported slowdown, from 0 (unrelated) to 1 (as reported). Older samples decay.
type agreement struct {
	samples              int
	meanX, meanY         float64
	variance, covariance float64
}

// newAgreement returns the agreement of an endpoint whose reports are assumed to be true.
func newAgreement() agreement { return agreement{variance: priorVariance, covariance: priorVariance} }

// observe adds a sample: the reported slowdown over the time of a run, and the measured slowness, both as logarithms.
func (a *agreement) observe(reported, measured float64) {
	a.samples++
	weight := max(agreementWeight, 1/float64(a.samples))
	x, y := reported-a.meanX, measured-a.meanY
	a.meanX += weight * x
	a.meanY += weight * y
	if a.samples == 1 {
		return
	}
	a.variance += agreementWeight * ((1-weight)*x*x - a.variance)
	a.covariance += agreementWeight * ((1-weight)*x*y - a.covariance)
}

// slope returns the agreement, from 0 to 1.
func (a *agreement) slope() float64 {
	return min(1, max(0, (a.covariance+minPriorVariance)/(a.variance+minPriorVariance)))
}
