// SPDX-License-Identifier: MIT

package sched

// Parameters of the output length estimate.
const (
	lengthWeight     = 0.05
	minLengthSamples = 20
	// maxLengthRatio caps a sample: where callers only guess, some responses are
	// much longer than expected.
	maxLengthRatio = 3.0
)

// lengthRatio estimates the ratio of a service's output tokens to those its
// callers request. The zero value expects a ratio of 1.
type lengthRatio struct {
	ratio   float64
	samples int
}

// outputLength returns the output length estimate of a service.
func (s *State) outputLength(service string) *lengthRatio {
	l, ok := s.outputLengths[service]
	if !ok {
		l = &lengthRatio{}
		s.outputLengths[service] = l
	}
	return l
}

// observe adds a response with its tokens and the requested number. It ignores
// responses for which either is unknown.
func (l *lengthRatio) observe(tokens, requested int) {
	if tokens == 0 || requested == 0 {
		return
	}
	ratio := min(maxLengthRatio, float64(tokens)/float64(requested))
	l.samples++
	if l.samples == 1 {
		l.ratio = ratio
		return
	}
	l.ratio += lengthWeight * (ratio - l.ratio)
}

// hasEnoughSamples reports whether the estimate is good enough to refuse
// requests by it.
func (l *lengthRatio) hasEnoughSamples() bool { return l.samples >= minLengthSamples }

// estimate returns the expected output tokens of a response.
func (l *lengthRatio) estimate(requested int) int {
	if !l.hasEnoughSamples() || requested == 0 {
		return requested
	}
	return max(1, int(l.ratio*float64(requested)))
}
