// SPDX-License-Identifier: MIT

package gateway

import (
	"strconv"
	"strings"

	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/sched"
)

// rank is the request's place among others; the larger goes first. A team's rank
// comes before that of the route.
func (c *call) rank() int {
	const half = sched.RanksOfTeam / 2
	route := max(-half+1, min(half-1, c.route.Rank))
	if c.team != nil && c.team.Rank != nil {
		return *c.team.Rank*sched.RanksOfTeam + route
	}
	return route
}

// rankLabel is the rank of the request's team as figures have it.
func (c *call) rankLabel() string {
	if c.team != nil && c.team.Rank != nil {
		return strconv.Itoa(*c.team.Rank)
	}
	return "none"
}

// declaredTokens returns the declaredTokens of the prompt and the most that are generated.
func (c *call) declaredTokens() (prompt, output int) {
	a, b, ok := strings.Cut(c.r.Header.Get(c.gateway.config.Names.Tokens), ",")
	if !ok {
		return 0, 0
	}
	prompt, _ = strconv.Atoi(strings.TrimSpace(a)) // what is no number counts 0
	output, _ = strconv.Atoi(strings.TrimSpace(b))
	return max(0, prompt), max(0, output)
}

// expectedOutputTokens returns the tokens that the caller expects to be generated: its hint, or the most that
// it allows where it gives none that makes sense.
func (c *call) expectedOutputTokens() int {
	hint, err := strconv.Atoi(c.r.Header.Get(c.gateway.config.Names.Hint))
	if err != nil || hint <= 0 {
		return c.maxOutputTokens
	}
	return min(c.maxOutputTokens, hint)
}

// quotaUnits is what the request counts against its team's quotaUnits.
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

// ticket describes the request to who decides.
func (c *call) ticket(repeat bool) message.Submission {
	left := c.remaining()
	target := c.route.Target - c.age()
	return message.Submission{
		Ticket: event.Ticket{
			ID: c.id, Team: c.teamName(), Rank: c.rank(), Service: c.service, Pool: c.service,
			PromptTokens: c.promptTokens, OutputTokens: c.expectedOutputTokens(), Deadline: left,
			Target: max(target, event.Millisecond), Patience: c.maxExpectedWait(left),
			Placed: c.wasGranted, Returned: c.wasRefused, Avoid: c.tried, Attempt: c.attempts, DataCentre: c.gateway.config.DataCentre,
		},
		Quota: c.quotaUnits(), Repeat: repeat, Print: c.fingerprint,
	}
}

// Patience: how many times its target a request may be expected to wait, and the
// least part of the time left that it must leave.
const (
	maxWaitOfTarget    = 0.9
	maxWaitOfRemaining = 0.5
)

// maxExpectedWait returns the longest that the request may be expected to wait. One that an
// endpoint had before is not sent away for its wait.
func (c *call) maxExpectedWait(left event.Span) event.Span {
	if c.mayHaveRun {
		return 0
	}
	patience := event.Span(float64(left) * maxWaitOfRemaining)
	if c.route.Target > 0 {
		patience = min(patience, event.Span(float64(c.route.Target)*maxWaitOfTarget))
	}
	return max(patience, event.Millisecond)
}
