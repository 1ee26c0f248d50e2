// SPDX-License-Identifier: MIT

package sched

// How the lengths of answers are learned.
const (
	lengthWeight  = 0.05
	lengthSamples = 20
	// maxLengthShare bounds what one answer teaches: where callers only guess, some
	// answers are much longer.
	maxLengthShare = 3.0
)

// answerLength learns which part of the tokens that callers allow a service's
// answers really have. The zero value knows nothing and expects all of them.
type answerLength struct {
	share   float64
	samples int
}

// length returns what is known of a service's answers.
func (s *State) length(service string) *answerLength {
	l, ok := s.lengths[service]
	if !ok {
		l = &answerLength{}
		s.lengths[service] = l
	}
	return l
}

// learn takes note of an answer's tokens, of those allowed. An answer whose
// tokens are not known teaches nothing.
func (l *answerLength) learn(tokens, allowed int) {
	if tokens == 0 || allowed == 0 {
		return
	}
	share := min(maxLengthShare, float64(tokens)/float64(allowed))
	l.samples++
	if l.samples == 1 {
		l.share = share
		return
	}
	l.share += lengthWeight * (share - l.share)
}

// known reports whether enough answers were seen to give up a request on what
// they had.
func (l *answerLength) known() bool { return l.samples >= lengthSamples }

// expect returns the tokens that an answer will have.
func (l *answerLength) expect(allowed int) int {
	if !l.known() || allowed == 0 {
		return allowed
	}
	return max(1, int(l.share*float64(allowed)))
}
