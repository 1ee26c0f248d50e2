// SPDX-License-Identifier: MIT

package rollout

import "lynxramp.org/event"

const (
	// shareMargin and slackMargin are the parts of the limits that the ceiling uses. The rest
	// is for requests that are sent again, and for errors of counting.
	shareMargin, slackMargin = 0.8, 0.6
	// initialSlack is the part of the slack that may be used at once. The rest is released
	// evenly during the canary phase: some versions become bad later, and a new owner counts
	// the whole ceiling as spent.
	initialSlack = 1.0 / 3
	// lookahead is how long before its use the ceiling is raised, so that grants do not wait
	// for the log.
	lookahead = 400 * event.Millisecond
)

// ceiling returns the most requests that may be granted to an unproved version, after a
// number of requests of the service and a part of the canary phase.
func (l Limits) ceiling(requests int, canary, elapsed event.Duration) int {
	released := initialSlack
	if canary > 0 {
		released += (1 - initialSlack) * float64(elapsed+lookahead) / float64(canary)
	}
	slack := slackMargin * float64(l.Slack) * min(released, 1)
	return int(shareMargin*l.Share*float64(requests) + slack)
}
