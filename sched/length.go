// SPDX-License-Identifier: MIT

package sched

// How the lengths of answers are learned.
const (
	lengthWeight  = 0.05
	minLengthSamples = 20
	// maxLengthRatio bounds what one answer teaches: where callers only guess, some
	// answers are much longer.
	maxLengthRatio = 3.0
)

// outputLength learns which part of the tokens that callers allow a service's
// answers really have. The zero value knows nothing and expects all of them.
type outputLength struct {
	ratio   float64
	samples int
}

// outputLength returns what is known of a service's answers.
func (s *State) outputLength(service string) *outputLength {
	l, ok := s.outputLengths[service]
	if !ok {
		l = &outputLength{}
		s.outputLengths[service] = l
	}
	return l
}

// observe takes note of an answer's tokens, of those allowed. An answer whose
// tokens are not known teaches nothing.
func (l *outputLength) observe(tokens, allowed int) {
	if tokens == 0 || allowed == 0 {
		return
	}
	share := min(maxLengthRatio, float64(tokens)/float64(allowed))
	l.samples++
	if l.samples == 1 {
		l.ratio = share
		return
	}
	l.ratio += lengthWeight * (share - l.ratio)
}

// hasEnoughSamples reports whether enough answers were seen to give up a request on what
// they had.
func (l *outputLength) hasEnoughSamples() bool { return l.samples >= minLengthSamples }

// estimate returns the tokens that an answer will have.
func (l *outputLength) estimate(allowed int) int {
	if !l.hasEnoughSamples() || allowed == 0 {
		return allowed
	}
	return max(1, int(l.ratio*float64(allowed)))
}
