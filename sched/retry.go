// SPDX-License-Identifier: MIT

package sched

import "lynxramp.org/event"

// retryAfterOwnWait returns when there is expected to be capacity for a request that is
// refused: the time that the work before it takes, by its rank and expected run time. Jitter
// spreads the returns of requests that are refused together. The request must be queued.
func (s *State) retryAfterOwnWait(now event.Time, k *ticket) event.Duration {
	return min(max(s.addJitter(s.expectedWait(now, k)), MinRetryAfter), MaxRetryAfter)
}

// returnWaitDivisor relates the time that a returned request has left to the time that its
// caller waited since the refusal: callers wait for at most a third of the time they had left,
// which is half of what is left then.
const returnWaitDivisor = 2

// placeTime returns the arrival time by which a request is ordered. A request that returns
// after its Retry-After keeps its place of before.
func placeTime(now event.Time, k *ticket) event.Time {
	if k.Returned {
		return now.Add(-k.Waited - k.Deadline/returnWaitDivisor)
	}
	return now.Add(-k.Waited)
}
