// SPDX-License-Identifier: MIT

package gateway

import (
	"strconv"
	"strings"
	"time"

	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/sched"
)

// callerStays returns how long the caller stays for an answer, or for its next event: to its
// deadline, or less where it gives up streams that are quiet for long. To hold a request for
// longer is of no use to anyone.
func (c *call) callerStays() time.Duration {
	left := time.Until(c.deadline)
	if c.route.Quiet == 0 {
		return left
	}
	last := c.arrived
	if c.begun {
		last = c.eventAt
	}
	return min(left, c.route.Quiet-time.Since(last))
}

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
	output := c.output
	if hint, err := strconv.Atoi(c.r.Header.Get(c.gateway.config.Names.Hint)); err == nil && hint > 0 {
		output = min(output, hint)
	}
	left := c.callerStays()
	waited := c.askedAgo + time.Since(c.arrived)
	target := c.route.Target
	if target == 0 {
		target = left + waited // any answer before the deadline is in time
	}
	return message.Submission{
		Ticket: event.Ticket{
			ID: c.id, Team: c.teamName(), Rank: c.rank(), Service: c.service, Pool: c.service,
			PromptTokens: c.prompt, OutputTokens: output, Deadline: left, Target: target, Waited: waited,
			Placed: c.placed, MayHaveRun: c.mayHaveRun, Asked: c.askedAgo > 0, Avoid: c.avoid, Attempt: c.attempts,
			DataCentre: c.gateway.config.DataCentre,
		},
		Quota: c.quota(), Repeat: repeat,
	}
}
