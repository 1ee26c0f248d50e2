// SPDX-License-Identifier: MIT

package rollout

import (
	"math"

	"lynxramp.org/event"
)

const (
	// oddEndpoint is the assumed probability that an endpoint is bad by itself. It bounds the
	// evidence of one endpoint to a factor of some 1/oddEndpoint. With one or two endpoints it
	// is smaller, so that together they reach reachable. The true share may be larger: with
	// 0.1 fewer bad versions were found, and with 3 endpoints as many good ones rolled back.
	oddEndpoint = 0.05
	reachable   = 5000.0
	// minEndpointResponses is the least number of responses of an endpoint that counts as one.
	minEndpointResponses = 3
	// badFactor is the factor by which the responses must be more likely for a bad version
	// than for a good one: a good version exceeds it with probability 1/badFactor at most.
	badFactor = 100.0
	// doubtFactor is the factor above which a version is not proved.
	doubtFactor = 5.0
	// minBadSamples is the least number of responses that condemn a version. Of fewer, most may
	// be of one or two odd endpoints, while the usual failure rate is not known yet.
	minBadSamples = 16
	// minSamples is the least number of responses that prove a version.
	minSamples = 8
	// minFinished is the least part of the granted requests that must have ended before a
	// version is proved: the responses of a slow version come late.
	minFinished = 0.5
	// judgeInterval bounds the work for judgements.
	judgeInterval = 50 * event.Millisecond
)

// judgement is the result of a comparison.
type judgement struct {
	// fails and slow are the evidence that the version fails more, or is slower: the factor
	// by which the responses are more likely then.
	fails, slow float64
}

// factor returns the evidence that the version is bad.
func (j judgement) factor() float64 { return j.fails + j.slow }

// Evidence has the figures of an order in progress, for the log.
type Evidence struct {
	Counts
	// Fails and Slow are the factors by which the responses are more likely if the version
	// fails more, or is slower.
	Fails, Slow float64
	// Exposed is what counts as granted to the version, and Ceiling what is committed.
	Exposed, Ceiling int
	// Reason is that of the last change of phase.
	Reason Reason
}

// Evidence returns the figures of the order in progress of a service.
func (t *Tracker) Evidence(name string) (Evidence, bool) {
	s, _ := t.active(name)
	if s == nil || s.newest == nil {
		return Evidence{}, false
	}
	if p := s.newest.progress; p != nil {
		return p.figures(), true
	}
	return s.newest.final, s.newest.hasFinal
}

func (p *progress) figures() Evidence {
	return Evidence{
		Counts: p.evidence.counts, Fails: p.evidence.last.fails, Slow: p.evidence.last.slow,
		Exposed: p.spent, Ceiling: p.ceiling, Reason: p.reason,
	}
}

// judge condemns the version if there is enough evidence against it.
func (p *progress) judge(now event.Time) {
	e := &p.evidence
	if !e.isChanged || now.Sub(e.judgedAt) < judgeInterval {
		return
	}
	e.isChanged, e.judgedAt = false, now
	e.last = e.judgement()
	switch {
	case e.last.factor() < badFactor || e.counts.Responses < minBadSamples:
	case e.last.fails >= e.last.slow:
		p.condemn(ReasonFails)
	default:
		p.condemn(ReasonSlow)
	}
}

// isProved reports whether there is enough evidence for the version.
func (p *progress) isProved() bool {
	e := &p.evidence
	if e.counts.Responses < minSamples || float64(e.counts.Responses) < minFinished*float64(p.granted) {
		return false
	}
	return e.last.factor() < doubtFactor
}

// judgement compares the version with the others.
//
// It is a mixture of likelihood ratios over what may be bad (alternatives), since when (the
// blocks), and where (all routes, or one). Under the null hypothesis each endpoint is bad by
// itself with a probability, and otherwise as those of the other versions. Each ratio is a
// product of probabilities of responses given the past, so the mixture is a martingale under
// the null hypothesis: it exceeds a factor with at most the inverse probability, whenever it
// is evaluated.
func (e *evidence) judgement() judgement {
	odd := e.oddProbability()
	j := e.judgeScope(odd, allRoutes)
	if len(e.controls) < 2 {
		return j
	}
	weight := 0.5 / float64(len(e.controls))
	j.fails, j.slow = j.fails/2, j.slow/2
	for route := range e.controls {
		r := e.judgeScope(odd, route)
		j.fails += weight * r.fails
		j.slow += weight * r.slow
	}
	return j
}

// oddProbability returns the assumed probability that an endpoint is bad by itself.
func (e *evidence) oddProbability() float64 {
	n := 0
	for _, endpoint := range e.list {
		if endpoint.total >= minEndpointResponses {
			n++
		}
	}
	return min(oddEndpoint, math.Pow(reachable, -1/float64(max(n, 1))))
}

// allRoutes is the scope of a version that is bad on all routes.
const allRoutes = -1

// judgeScope compares the responses on one route, or on all of them.
func (e *evidence) judgeScope(odd float64, scope int) judgement {
	var total cell
	for _, n := range e.list {
		sums := n.since(scope, len(e.blocks))
		if sums == nil {
			continue
		}
		e.addEndpoint(&total, sums, odd)
	}
	return judgement{
		fails: e.mean(&total, 0, failAlternatives),
		slow:  e.mean(&total, failAlternatives, alternativeCount),
	}
}

// since returns the sums of an endpoint from the beginning of each block until now; nil if it
// has no response in the scope.
func (n *endpoint) since(scope, blocks int) *cell {
	var sums *cell
	for route, c := range n.cells {
		if c == nil || scope != allRoutes && scope != route {
			continue
		}
		if sums == nil {
			sums = &cell{}
		}
		sums.addSince(c, blocks)
	}
	return sums
}

func (c *cell) addSince(d *cell, blocks int) {
	var sum [alternativeCount]float64
	for block := blocks - 1; block >= 0; block-- {
		for i, ratio := range d[block] {
			sum[i] += ratio
			c[block][i] += sum[i]
		}
	}
}

// addEndpoint adds the evidence of an endpoint to that of the others.
func (e *evidence) addEndpoint(total, sums *cell, odd float64) {
	e.addRatios(total, sums, odd, 0, failAlternatives)
	e.addRatios(total, sums, odd, failAlternatives, alternativeCount)
}

// addRatios adds the logarithms of likelihood ratios: that the version is bad, and the
// endpoint may be odd besides, over that the version is good, and the endpoint may be odd.
func (e *evidence) addRatios(total, sums *cell, odd float64, from, to int) {
	oddRatio := math.Exp(min(e.meanLikelihood(sums, from, to), maxExponent))
	null := math.Log(1 - odd + odd*oddRatio)
	// An odd endpoint says nothing about its version. One that is better than usual does,
	// so likelihood below that of a good endpoint is left out.
	besides := odd * max(0, oddRatio-1)
	for block := range e.blocks {
		for i := from; i < to; i++ {
			bad := (1 - odd) * math.Exp(min(sums[block][i], maxExponent))
			total[block][i] += math.Log(max(bad+besides, minLikelihood)) - null
		}
	}
}

// maxExponent and minLikelihood keep exponentials and logarithms finite.
const (
	maxExponent   = 300.0
	minLikelihood = 1e-100
)

// meanLikelihood returns the logarithm of the mean likelihood ratio of an endpoint over a
// range of alternatives. Half of the weight is on those from the beginning of the order: most
// odd endpoints are odd from their start.
func (e *evidence) meanLikelihood(sums *cell, from, to int) float64 {
	most := e.most(sums, from, to)
	first, all := 0.0, 0.0
	for block := range e.blocks {
		for i := from; i < to; i++ {
			all += math.Exp(sums[block][i] - most)
		}
		if block == 0 {
			first = all
		}
	}
	n := float64(to - from)
	return most + math.Log(first/(2*n)+all/(2*n*float64(len(e.blocks))))
}

// most returns the largest sum of a range of alternatives.
func (e *evidence) most(sums *cell, from, to int) float64 {
	most := sums[0][from]
	for block := range e.blocks {
		for i := from; i < to; i++ {
			most = max(most, sums[block][i])
		}
	}
	return most
}

// mean returns the mean likelihood ratio over the blocks and a range of alternatives, in
// which each of the alternatives has the same weight.
func (e *evidence) mean(total *cell, from, to int) float64 {
	sum := 0.0
	for block := range e.blocks {
		for i := from; i < to; i++ {
			sum += math.Exp(min(total[block][i], maxExponent))
		}
	}
	return sum / float64(len(e.blocks)*alternativeCount)
}
