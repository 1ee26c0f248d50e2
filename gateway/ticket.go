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
	const half = sched.TeamRankStride / 2
	route := max(-half+1, min(half-1, c.route.Rank))
	if c.team != nil && c.team.Rank != nil {
		return *c.team.Rank*sched.TeamRankStride + route
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

// tokens returns the tokens of the prompt and the most that are generated.
func (c *call) tokens() (prompt, output int) {
	a, b, ok := strings.Cut(c.r.Header.Get(c.gateway.config.Names.Tokens), ",")
	if !ok {
		return 0, 0
	}
	prompt, _ = strconv.Atoi(strings.TrimSpace(a)) // what is no number counts 0
	output, _ = strconv.Atoi(strings.TrimSpace(b))
	return max(0, prompt), max(0, output)
}

// guess returns the tokens that the caller expects to be generated: its hint, or the most that
// it allows where it gives none that makes sense.
func (c *call) guess() int {
	hint, err := strconv.Atoi(c.r.Header.Get(c.gateway.config.Names.Hint))
	if err != nil || hint <= 0 {
		return c.output
	}
	return min(c.output, hint)
}

// quota is what the request counts against its team's quota.
func (c *call) quota() int {
	switch {
	case c.team == nil:
		return 0
	case !c.team.InTokens:
		return 1
	}
	if c.prompt+c.output > 0 {
		return c.prompt + c.output
	}
	return c.team.PlainTokens
}

// ticket describes the request to who decides.
func (c *call) ticket(repeat bool) message.Submission {
	left := c.left()
	target := c.route.Target - c.age()
	return message.Submission{
		Ticket: event.Ticket{
			ID: c.id, Team: c.teamName(), Rank: c.rank(), Service: c.service, Pool: c.service,
			PromptTokens: c.prompt, OutputTokens: c.guess(), Deadline: left,
			Target: max(target, event.Millisecond), Patience: c.patience(left),
			Placed: c.placed, Returned: c.returned, Avoid: c.avoid, Attempt: c.attempts, DataCentre: c.gateway.config.DataCentre,
		},
		Quota: c.quota(), Repeat: repeat, Print: c.print,
	}
}

// Patience: how many times its target a request may be expected to wait, and the
// least part of the time left that it must leave.
const (
	patienceTargets = 0.9
	patienceLeft    = 0.5
)

// patience returns the longest that the request may be expected to wait. One that an
// endpoint had before is not sent away for its wait.
func (c *call) patience(left event.Duration) event.Duration {
	if c.mayHaveRun {
		return 0
	}
	patience := event.Duration(float64(left) * patienceLeft)
	if c.route.Target > 0 {
		patience = min(patience, event.Duration(float64(c.route.Target)*patienceTargets))
	}
	return max(patience, event.Millisecond)
}
