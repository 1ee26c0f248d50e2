// SPDX-License-Identifier: MIT

package rollout

import (
	"math"

	"lynxramp.org/event"
)

const (
	// outlierEndpoint is the assumed probability that an endpoint is bad by itself. It bounds the
	// evidence of one endpoint to a factor of 48/outlierEndpoint for failures and
	// 72/outlierEndpoint for slowness, as its weight is spread over blocks and alternatives. With
	// one or two endpoints it is smaller, so that together they reach reachable. The true
	// share may be larger: with
	// 0.1 fewer bad versions were found, and with 3 endpoints as many good ones rolled back.
	outlierEndpoint = 0.03
	reachable       = 5000.0
	// minEndpointResponses is the least number of responses of an endpoint that counts as one.
	minEndpointResponses = 3
	// badFactor is the factor by which the responses must be more likely for a bad version
	// than for a good one: a good version exceeds it with probability 1/badFactor at most.
	badFactor = 200.0
	// doubtFactor is the factor above which a version is not proved.
	doubtFactor = 8.0
	// minBadSamples is the least number of responses that condemn a version. Of fewer, most may
	// be of one or two outlier endpoints, while the usual failure rate is not known yet.
	minBadSamples = 24
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
	if e.last.factor() >= badFactor && e.counts.Responses >= minBadSamples {
		p.condemn(e.last.reason())
	}
}

// isDoubted reports whether an order of an earlier owner must not be completed though it was proved: this owner has seen
// few responses, and these are much more likely for a bad version.
func (p *progress) isDoubted() bool {
	return p.isInherited && p.evidence.counts.Responses >= minSamples && p.evidence.last.factor() >= doubtFactor
}

// reason returns why a version is bad.
func (j judgement) reason() Reason {
	if j.fails >= j.slow {
		return ReasonFails
	}
	return ReasonSlow
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
	e.updateRatios()
	outlier := e.outlierProbability()
	j := e.judgeScope(outlier, allRoutes)
	if len(e.controls) < 2 {
		return j
	}
	weight := 0.5 / float64(len(e.controls))
	j.fails, j.slow = j.fails/2, j.slow/2
	for route := range e.controls {
		r := e.judgeScope(outlier, route)
		j.fails += weight * r.fails
		j.slow += weight * r.slow
	}
	return j
}

// outlierProbability returns the assumed probability that an endpoint is bad by itself.
func (e *evidence) outlierProbability() float64 {
	n := 0
	for _, endpoint := range e.list {
		if endpoint.total >= minEndpointResponses {
			n++
		}
	}
	return min(outlierEndpoint, math.Pow(reachable, -1/float64(max(n, 1))))
}

// allRoutes is the scope of a version that is bad on all routes.
const allRoutes = -1

// cell has a figure for each alternative and block.
type cell [maxBlocks][alternativeCount]float64

// updateRatios sets the ratios of outcomes by route and block.
func (e *evidence) updateRatios() {
	for route, c := range e.controls {
		for i, rate := range c.failureRates(len(e.blocks)) {
			if i < len(e.blocks) {
				e.ratios[route][i] = failRatiosOf(rate)
			}
		}
	}
}

// ones is the product of no ratios.
var ones = func() (c cell) {
	for block := range c {
		for i := range c[block] {
			c[block][i] = 1
		}
	}
	return c
}()

// judgeScope compares the responses on one route, or on all of them.
func (e *evidence) judgeScope(outlier float64, scope int) judgement {
	var sums cell
	total := ones
	for _, n := range e.list {
		if e.since(n, scope, &sums) {
			e.multiply(&total, &sums, outlier, 0, failAlternatives)
			e.multiply(&total, &sums, outlier, failAlternatives, alternativeCount)
		}
	}
	return judgement{
		fails: e.mean(&total, 0, failAlternatives),
		slow:  e.mean(&total, failAlternatives, alternativeCount),
	}
}

// since sets the sums of an endpoint from the beginning of each block until now. It returns
// false if the endpoint has no response in the scope.
func (e *evidence) since(n *endpoint, scope int, sums *cell) bool {
	*sums = cell{}
	found := false
	for route, h := range n.histories {
		if h == nil || scope != allRoutes && scope != route {
			continue
		}
		sums.addSince(h, e.ratios[route][:len(e.blocks)])
		found = true
	}
	return found
}

func (c *cell) addSince(h *history, ratios []failRatios) {
	var sum [alternativeCount]float64
	for i := len(ratios) - 1; i >= 0; i-- {
		b := &h[i]
		for a, r := range ratios[i] {
			sum[a] += b.failed*r.failed + b.passed*r.passed
		}
		for a, r := range b.slow {
			sum[failAlternatives+a] += r
		}
		for a, s := range sum {
			c[i][a] += s
		}
	}
}

// multiply multiplies the ratios of all endpoints by those of one: that the version is bad, and
// the endpoint may be an outlier besides, over that the version is good, and the endpoint may be one.
// Each ratio is below 10,000 with 3 endpoints or more, so the product over maxEndpoints is finite.
func (e *evidence) multiply(total, sums *cell, outlier float64, from, to int) {
	likelihoods := sums.exponentials(len(e.blocks), from, to)
	outlierRatio := e.outlierRatio(&likelihoods, from, to)
	null := 1 - outlier + outlier*outlierRatio
	// An outlier endpoint says nothing about its version. One that is better than usual does,
	// so likelihood below that of a good endpoint is left out.
	besides := outlier * max(0, outlierRatio-1)
	for block := range e.blocks {
		for i := from; i < to; i++ {
			total[block][i] *= ((1-outlier)*likelihoods[block][i] + besides) / null
		}
	}
}

// maxExponent keeps exponentials finite.
const maxExponent = 300.0

// exponentials returns the likelihood ratios of a range of alternatives.
func (c *cell) exponentials(blocks, from, to int) (likelihoods cell) {
	for block := range blocks {
		for i := from; i < to; i++ {
			likelihoods[block][i] = math.Exp(min(c[block][i], maxExponent))
		}
	}
	return likelihoods
}

// outlierRatio returns the likelihood ratio of an outlier endpoint: the mean over a range of
// alternatives. Half of the weight is on those from the beginning of the order: most outlier
// endpoints are outliers from their start.
func (e *evidence) outlierRatio(likelihoods *cell, from, to int) float64 {
	first, all := 0.0, 0.0
	for block := range e.blocks {
		for i := from; i < to; i++ {
			all += likelihoods[block][i]
		}
		if block == 0 {
			first = all
		}
	}
	n := float64(to - from)
	return first/(2*n) + all/(2*n*float64(len(e.blocks)))
}

// mean returns the mean ratio over the blocks and a range of alternatives, in which each of
// the alternatives has the same weight.
func (e *evidence) mean(total *cell, from, to int) float64 {
	sum := 0.0
	for block := range e.blocks {
		for i := from; i < to; i++ {
			sum += total[block][i]
		}
	}
	return sum / float64(len(e.blocks)*alternativeCount)
}
