// SPDX-License-Identifier: MIT

package gateway

import (
	"strconv"
	"strings"

	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/sched"
)

// rank is the request's priority; a higher rank goes first. The team's rank takes precedence over the
// route's.
func (c *call) rank() int {
	const half = sched.TeamRankStride / 2
	route := max(-half+1, min(half-1, c.route.Rank))
	if c.team != nil && c.team.Rank != nil {
		return *c.team.Rank*sched.TeamRankStride + route
	}
	return route
}

// rankLabel is the rank of the request's team as a metric label.
func (c *call) rankLabel() string {
	if c.team != nil && c.team.Rank != nil {
		return strconv.Itoa(*c.team.Rank)
	}
	return "none"
}

// declaredTokens returns the tokens of the prompt and the maximum to generate, as the caller declared them.
func (c *call) declaredTokens() (prompt, output int) {
	a, b, ok := strings.Cut(c.r.Header.Get(c.gateway.config.Headers.Tokens), ",")
	if !ok {
		return 0, 0
	}
	prompt, _ = strconv.Atoi(strings.TrimSpace(a)) // 0 if it is not a number
	output, _ = strconv.Atoi(strings.TrimSpace(b))
	return max(0, prompt), max(0, output)
}

// expectedOutputTokens returns the tokens that the caller expects to be generated: its hint, or the maximum if
// the hint is missing or invalid.
func (c *call) expectedOutputTokens() int {
	hint, err := strconv.Atoi(c.r.Header.Get(c.gateway.config.Headers.OutputHint))
	if err != nil || hint <= 0 {
		return c.maxOutputTokens
	}
	return min(c.maxOutputTokens, hint)
}

// quotaUnits is the amount that the request is charged against its team's quota.
func (c *call) quotaUnits() int {
	switch {
	case c.team == nil:
		return 0
	case !c.team.InTokens:
		return 1
	}
	if c.promptTokens+c.maxOutputTokens > 0 {
		return c.promptTokens + c.maxOutputTokens
	}
	return c.team.PlainTokens
}

// ticket describes the request to the scheduler: the owner, or the entry itself while degraded.
func (c *call) ticket(isRetry bool) message.Submission {
	left := c.remaining()
	target := c.route.Target - c.age()
	return message.Submission{
		Ticket: event.Ticket{
			ID: c.id, Team: c.teamName(), Rank: c.rank(), Service: c.service, Pool: c.service,
			PromptTokens: c.promptTokens, OutputTokens: c.expectedOutputTokens(), Deadline: left,
			Target: max(target, event.Millisecond), Patience: c.queueTimeout(left),
			Placed: c.wasGranted, Avoid: c.tried, Attempt: c.attempts, DataCentre: c.gateway.config.DataCentre,
			Route: c.route.Name, CallerTime: c.callerTimeLeft(), Bound: c.isBound, Version: c.boundVersion,
		},
		Quota: c.quotaUnits(), Repeat: isRetry, Print: c.fingerprint, Parts: c.partKeys,
	}
}

// callerTimeLeft returns the remaining time by the caller's own timeout; 0 if it gave none.
func (c *call) callerTimeLeft() event.Duration {
	if c.callerTimeout == 0 {
		return 0
	}
	return max(c.callerTimeout-c.age(), event.Millisecond)
}

// The queue timeout of a request, as a fraction of the route's target and of the remaining time.
const (
	queueTimeoutOfTarget    = 0.9
	queueTimeoutOfRemaining = 0.5
)

// queueTimeout returns the longest expected wait with which the request is accepted; 0 is no limit, for a
// request that an endpoint may have run.
func (c *call) queueTimeout(left event.Duration) event.Duration {
	if c.mayHaveRun {
		return 0
	}
	wait := event.Duration(float64(left) * queueTimeoutOfRemaining)
	if c.route.Target > 0 {
		wait = min(wait, event.Duration(float64(c.route.Target)*queueTimeoutOfTarget))
	}
	return max(wait, event.Millisecond)
}
