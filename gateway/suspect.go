// SPDX-License-Identifier: MIT

package gateway

import "time"

// An endpoint that is given too little time is not suspect: it must have been silent for minSilence, and for
// silenceRatio times the expected time to the first byte.
const (
	minSilence   = 500 * time.Millisecond
	silenceRatio = 3
)

// isSuspect reports whether an attempt shows that its endpoint may be unreachable: it gets no requests for a while. An
// attempt that the entry itself ended, because the caller disconnected or the deadline passed soon after the send, shows
// nothing of the endpoint.
func (c *call) isSuspect(a *attempt) bool {
	if c.r.Context().Err() != nil {
		return false
	}
	switch a.outcome {
	case outcomeNotSent:
		return !a.notTried
	case outcomeUnknown:
		return a.firstByteAfter == 0 && !c.endedEarly(a)
	default:
		return false
	}
}

// endedEarly reports whether the deadline ended an attempt before the endpoint should have responded.
func (c *call) endedEarly(a *attempt) bool {
	if c.remaining() > minRetryTime || a.sent.IsZero() || endsConnection(a.err) {
		return false
	}
	return time.Since(a.sent) < max(minSilence, silenceRatio*a.decision.Inputs.Wait)
}
