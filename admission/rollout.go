// SPDX-License-Identifier: MIT

package admission

import (
	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/rollout"
)

// This file passes grants and their outcomes to the roll-outs, and their allowance to the pools.

// Rollouts bounds the requests of unproved versions and judges them, as rollout.Tracker does.
type Rollouts interface {
	// Granted counts a request that was granted to an endpoint of a version.
	Granted(service, version string)
	// Observe adds the outcome of a request.
	Observe(id event.RequestID, s rollout.Sample)
	// Allowance returns how many requests may be granted to the unproved version now.
	Allowance(service string) int
}

// SetRollouts turns on the roll-outs that an owner tracks.
func (s *State) SetRollouts(r Rollouts) { s.rollouts = r }

// RunningAt returns the number of granted requests at an endpoint that have not ended.
func (s *State) RunningAt(id event.EndpointID) int {
	k, ok := s.endpoints[id]
	if !ok {
		return 0
	}
	v, ok := s.services[k.Service]
	if !ok {
		return 0
	}
	return v.pool.RunningAt(id)
}

// countGrant counts a grant for the roll-out of its service. A request that is submitted and granted again without
// an end counts once, as the bound of exposure grows with the count; at an unproved version it counts each time.
func (s *State) countGrant(c *charge, g *event.Granted) {
	if s.rollouts == nil || c.granted {
		return
	}
	mode := event.ModeNormal
	if k, ok := s.endpoints[g.Endpoint]; ok {
		c.version, mode = k.Version, k.Mode
	}
	c.usualFirst = g.Inputs.UsualFirst
	if !c.isAgain || mode == event.ModeCanary {
		s.rollouts.Granted(c.service, c.version)
	}
}

// updateAllowance passes the allowance of a service to its pool. The pool may grant waiting requests then.
func (s *State) updateAllowance(now event.Time, v *service, out *event.Effects) {
	if s.rollouts == nil || !v.pool.HasRestricted() {
		return
	}
	if n := s.rollouts.Allowance(v.name); n != v.pool.CanaryAllowance() {
		s.step(now, v, &event.CanaryAllowanceChanged{Count: n}, out)
	}
}

// observeRollout passes the outcome of a request to the roll-out of its service. Requests that an endpoint
// didn't run, that their caller gave up, or whose time ran out at an overloaded entry show nothing. The charge
// has the version, as the endpoint may be gone; requests that an earlier owner granted have none.
func (s *State) observeRollout(f *message.Finish) {
	c, ok := s.charges[f.ID]
	if s.rollouts == nil || !ok || !c.granted || f.Unsent || f.Void || f.Abandoned || f.Delayed && f.NoResponse {
		return
	}
	sample := rollout.Sample{
		Service: c.service, Version: c.version, Endpoint: f.Endpoint, Route: c.submission.Ticket.Route,
		Failed: f.Failed, First: f.FirstAfter, ExpectedFirst: c.usualFirst, TokenGap: f.TokenGap,
	}
	if f.Delayed {
		sample.First, sample.TokenGap = 0, 0
	}
	s.rollouts.Observe(f.ID, sample)
}
