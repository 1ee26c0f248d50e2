// SPDX-License-Identifier: MIT

package sched

import (
	"math"

	"lynxramp.org/event"
)

// This file holds what endpoints report of their present slowdown: how many times as long as usual work takes there.
// All figures are natural logarithms of the slowdown, so that 2 times as slow and 2 times as fast weigh the same.
//
// The expected slowdown is the newest report while it is new, and what the endpoint usually reports once it is old. It
// is scaled by the agreement, which is how well the reports explain the run times measured so far. So a report that
// is always the same, too large or unrelated to the run times has no effect once there are measurements.

// Parameters of slowdown reports.
const (
	// slowdownDecay is the time constant with which a report loses its effect. Other work on the box of an
	// endpoint lasts some 600 ms.
	slowdownDecay = 500 * event.Millisecond
	// slowdownMaxAge is the age from which a report is ignored.
	slowdownMaxAge = 2 * event.Second
	// maxSlowdown bounds the effect of a report: an endpoint slower than this gets no requests anyway.
	maxSlowdown = 8.0
	// minSlowdown bounds the effect in the other direction: an endpoint that is found to be faster than ever
	// attracts requests.
	minSlowdown = 0.5
	// usualRiseTime is the time constant with which what an endpoint usually reports follows larger reports: much longer
	// than a slowdown. usualFallWeight is the weight of a smaller report: an endpoint is not slowed most of the time.
	usualRiseTime   = 3 * event.Second
	usualFallWeight = 0.5
	// maxRetrials is how many requests a slowed endpoint may be granted as if its last report had aged, until one of
	// them brings a new report.
	maxRetrials = 2
	// retrialAfter is the age of the newest report from which a slowed endpoint without requests is tried again.
	retrialAfter = event.Second
	// remeasureAfter is the age of the last measured run time from which an endpoint without requests is tried again.
	remeasureAfter = 4 * event.Second
	// slowedThreshold is the expected slowdown from which an endpoint counts as slowed.
	slowedThreshold = 1.4
)

// slowdown is the state of an endpoint's slowdown reports. The zero value has received none.
type slowdown struct {
	isReported bool
	last       float64    // newest report
	at         event.Time // when the entry received it
	usual      float64    // what the endpoint reports while it is not slowed
	// retrials is the number of requests granted since the newest report that may still bring one.
	retrials  int
	isSilent  bool    // a response without a report followed the newest report
	sum       float64 // integral of the slowdown up to the newest report, in seconds
	agreement agreement
}

// isValidSlowdown reports whether a reported slowdown can be used.
func isValidSlowdown(reported float64, age event.Duration) bool {
	return reported > 0 && !math.IsInf(reported, 0) && age >= 0 && age <= slowdownMaxAge
}

// report applies a slowdown that an endpoint reported, and whether it was used. Reports may arrive out of order; one
// that is older than the newest is ignored.
func (d *slowdown) report(now event.Time, reported float64, age event.Duration) bool {
	at := now.Add(-age)
	if !isValidSlowdown(reported, age) || d.isReported && at < d.at {
		return false
	}
	value := math.Log(min(max(reported, minSlowdown), maxSlowdown))
	if !d.isReported {
		d.agreement, d.usual = newAgreement(), value
	} else {
		seconds := at.Sub(d.at).Seconds()
		d.sum += d.betweenReports(value, seconds)
		d.updateUsual(value, seconds)
	}
	d.isReported = true
	d.last, d.at, d.retrials, d.isSilent = value, at, 0, false
	return true
}

// updateUsual updates what the endpoint usually reports by a report, some seconds after the previous one.
func (d *slowdown) updateUsual(value, seconds float64) {
	weight := usualFallWeight
	if value > d.usual {
		weight = -math.Expm1(-seconds / usualRiseTime.Seconds())
	}
	d.usual += weight * (value - d.usual)
}

// decayed returns the integral of a deviation that decays for some seconds.
func decayed(deviation, seconds float64) float64 {
	constant := slowdownDecay.Seconds()
	return deviation * constant * -math.Expm1(-seconds/constant)
}

// betweenReports returns the integral of the slowdown from the newest report to the next one, some seconds later. In
// the first half it follows the newest report, in the second half the next one.
func (d *slowdown) betweenReports(next, seconds float64) float64 {
	return d.usual*seconds + decayed(d.last-d.usual, seconds/2) + decayed(next-d.usual, seconds/2)
}

// integral returns the integral of the slowdown up to now, in seconds.
func (d *slowdown) integral(now event.Time) float64 {
	seconds := max(0, now.Sub(d.at).Seconds())
	return d.sum + d.usual*seconds + decayed(d.last-d.usual, seconds)
}

// expected returns the logarithm of the slowdown that is expected at now, by the reports alone.
func (d *slowdown) expected(now event.Time) float64 {
	age := max(0, now.Sub(d.at))
	if d.last > d.usual && d.awaitsRetrials(age) {
		return d.last
	}
	return d.usual + (d.last-d.usual)*math.Exp(-age.Seconds()/slowdownDecay.Seconds())
}

// awaitsRetrials reports whether enough requests were granted since the newest report. Until one of them brings a
// report, a slowdown does not age: further requests would be granted before it is known whether the endpoint has
// recovered.
func (d *slowdown) awaitsRetrials(age event.Duration) bool {
	return d.retrials >= maxRetrials && !d.isSilent && age <= slowdownMaxAge
}

// factor returns how many times as long as usual a request is expected to take at now; 1 without reports.
func (d *slowdown) factor(now event.Time) float64 {
	if !d.isReported {
		return 1
	}
	return math.Exp(d.agreement.slope() * d.expected(now))
}

// usualFactor returns the factor of an endpoint that is not slowed.
func (d *slowdown) usualFactor() float64 {
	if !d.isReported {
		return 1
	}
	return math.Exp(d.agreement.slope() * d.usual)
}

// isSlowed reports whether a request is expected to take much longer at now than it usually does.
func (d *slowdown) isSlowed(now event.Time) bool {
	return d.isReported && d.factor(now) > slowedThreshold*d.usualFactor()
}

// reported returns the newest report as a factor.
func (d *slowdown) reported() float64 { return math.Exp(d.last) }

// countGrant counts a grant as a retrial.
func (d *slowdown) countGrant() {
	if d.isReported {
		d.retrials++
	}
}

// endedWithoutReport records that a grant has ended or its response has begun without a report: none is awaited of it.
func (d *slowdown) endedWithoutReport(hasResponse bool) {
	d.retrials = max(0, d.retrials-1)
	d.isSilent = d.isSilent || hasResponse
}
