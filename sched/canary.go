// SPDX-License-Identifier: MIT

package sched

import "lynxramp.org/event"

// This file implements the endpoints of a version that is being rolled out and is not proved yet
// (event.ModeCanary). They get the allowance before other endpoints, they don't count in forecasts, and a request
// that was sent before goes to them only if there is no other endpoint.

// setCanaryAllowance sets how many requests may be granted to endpoints in canary mode, and reports
// whether waiting requests may be granted now that could not be before.
func (s *State) setCanaryAllowance(count int) bool {
	isFirst := s.canaryAllowance <= 0 && count > 0
	s.canaryAllowance = count
	return isFirst
}

// CanaryAllowance returns how many requests may be granted to endpoints in canary mode.
func (s *State) CanaryAllowance() int { return s.canaryAllowance }

// mayUseCanary reports whether a request may be granted to endpoints in canary mode.
func (s *State) mayUseCanary(k *ticket) bool {
	return s.canaryAllowance > 0 && !k.ProvedOnly && (k.Attempt == 0 || k.Bound || s.capacityUnits == 0)
}

// takeCanary counts a grant to an endpoint.
func (s *State) takeCanary(e *endpoint) {
	if e.Mode == event.ModeCanary {
		s.canaryAllowance--
		e.canaryGrants++
	}
}

// considerCanary takes an endpoint in canary mode if it was granted fewer requests than the present choice, or as
// many and costs less. The evidence of one endpoint says little, so all get the same number.
func (c *choice) considerCanary(p *costModel, v *view) {
	if c.canary != nil && v.endpoint.canaryGrants > c.canary.canaryGrants {
		return
	}
	cost, est := p.costAt(v, 0)
	if c.canary == nil || v.endpoint.canaryGrants < c.canary.canaryGrants || cost < c.canaryCost {
		c.canary, c.canaryEst, c.canaryCost = v.endpoint, est, cost
	}
}

// preferCanary chooses the endpoint in canary mode, if there is one: by cost alone, endpoints that are not measured
// yet would often get nothing, and the version would stay unproved. The request is not made late for that.
func (c *choice) preferCanary() {
	if c.canary == nil || c.best != nil && c.canaryEst.latency > c.timeLeft && c.est.latency <= c.timeLeft {
		return
	}
	c.best, c.est, c.cost, c.waitForHolder = c.canary, c.canaryEst, c.canaryCost, false
}

// countRestricted updates the number of restricted endpoints when the mode of one changes.
func (s *State) countRestricted(before, after event.EndpointMode) {
	if before != event.ModeNormal {
		s.restricted--
	}
	if after != event.ModeNormal {
		s.restricted++
	}
}

// HasRestricted reports whether any endpoint is restricted by a roll-out.
func (s *State) HasRestricted() bool { return s.restricted > 0 }

// RunningAt returns the number of granted requests at an endpoint that have not ended.
func (s *State) RunningAt(id event.EndpointID) int {
	if e, ok := s.byID[id]; ok {
		return e.inflight
	}
	return 0
}

// minUsualFirst is the least usualFirst, for prompts without tokens that are not cached.
const minUsualFirst = event.Millisecond

// usualFirst returns the expected time to the beginning of the response of a request at an endpoint of the pool's
// profile that has the prompts of e pending and so many tokens of its prompt cached. It ignores what was measured: a
// slow version would be expected to be slow, and a rate that is measured anew would make all later responses look slow
// beside the earlier ones (a good version was rolled back for it in 4 of 15 runs).
func (s *State) usualFirst(k *ticket, e *endpoint, cached int) event.Duration {
	profile := s.pool.Profile
	if k.OutputTokens == 0 {
		return max(profile.CallTime, minUsualFirst)
	}
	tokens := k.PromptTokens - cached
	for _, pending := range e.prefillQueue.pending {
		tokens += pending.prefillTokens
	}
	if profile.PrefillRate == 0 {
		profile.PrefillRate = referencePrefill
	}
	return max(event.Duration(float64(tokens)/profile.PrefillRate*float64(event.Second)), minUsualFirst)
}
