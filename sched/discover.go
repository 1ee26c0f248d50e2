// SPDX-License-Identifier: MIT

package sched

import (
	"math"

	"lynxramp.org/event"
)

// farFuture is never reached. As the last report time it keeps a discovered
// endpoint from becoming stale.
const farFuture = event.Time(math.MaxInt64 / 2)

// updateEndpoint adds a discovered endpoint or applies its new state.
func (s *State) updateEndpoint(now event.Time, seen *event.EndpointUpdated) {
	e := s.ensureEndpoint(seen.Endpoint.ID)
	s.countRestricted(e.Mode, seen.Endpoint.Mode)
	e.Endpoint = seen.Endpoint
	e.report.Address = seen.Address
	e.report.Down = seen.Down
	e.halfOpen = seen.HalfOpen
	e.hasReport = true
	e.lastReport = farFuture
	s.setLimit(now, e, seen)
	s.refreshView(now, e)
	switch {
	case e.Concurrency == 0 || !e.isAvailable(now):
	case e.Mode == event.ModeNormal || s.maxSpeed == 0:
		s.maxSpeed = max(s.maxSpeed, e.presentSpeed(now))
	}
}

// removeEndpoint removes an endpoint and releases its grants.
func (s *State) removeEndpoint(now event.Time, id event.EndpointID) {
	e, ok := s.byID[id]
	if !ok {
		return
	}
	for request := range e.grants {
		s.release(now, request)
	}
	for hash := range e.cachedHashes.young {
		s.prefix.remove(hash, e)
	}
	for hash := range e.cachedHashes.old {
		s.prefix.remove(hash, e)
	}
	s.countRestricted(e.Mode, event.ModeNormal)
	s.dropEndpoint(e)
	s.updateMaxSpeed(now)
}

// adopt records a grant for a request that already runs.
func (s *State) adopt(now event.Time, a *event.Adopted) {
	e, ok := s.byID[a.Endpoint]
	if !ok || s.grants[a.Ticket.ID] != nil {
		return
	}
	s.addGrant(a.Ticket.ID, &grant{
		endpoint:        e,
		entry:           a.Entry,
		at:              now,
		team:            a.Ticket.Team,
		rank:            a.Ticket.Rank,
		originalRank:    a.Ticket.Rank,
		service:         a.Ticket.Service,
		requestedOutput: a.Ticket.OutputTokens,
		tokenless:       a.Ticket.OutputTokens == 0,
		adopted:         true,
	})
	s.refreshView(now, e)
}

// removeEntry drops the waiting requests, grants and cooldowns of a terminated
// entry.
func (s *State) removeEntry(now event.Time, entry event.BoxID) {
	delete(s.entries, entry)
	s.dropCooldowns(now, entry)
	for _, k := range s.queue.byID {
		if k.entry == entry {
			s.queue.remove(k)
		}
	}
	for id, g := range s.grants {
		if g.entry == entry {
			s.release(now, id)
		}
	}
}

// observeSpeed updates an endpoint's measured speed from a finished request.
func (s *State) observeSpeed(now event.Time, g *grant, f *event.Finished) {
	if !s.pool.Discovered {
		return
	}
	profile := s.profile()
	switch {
	case f.TokenGap > 0:
		g.observeSlowness(now, f.TokenGap.Seconds()/profile.TokenGap.Seconds())
	case g.tokenless && f.FirstAfter > 0 && !f.Failed:
		g.observeSlowness(now, f.FirstAfter.Seconds()/profile.CallTime.Seconds())
	}
}

// recordBegun removes a request from its endpoint's prefill queue: its response
// has begun, so its prompt has been processed.
func (s *State) recordBegun(now event.Time, b *event.Begun) {
	g, ok := s.grants[b.ID]
	if !ok {
		return
	}
	e := g.endpoint
	s.applySlowdown(now, g, b.Slowdown, b.SlowdownAge, true)
	g.startSlowdown(now)
	if s.pool.Discovered && !b.Delayed {
		s.observePrefill(now, e, g, b.After)
	}
	e.prefillQueue.remove(now, g)
	s.refreshView(now, e)
}

// observePrefill updates the pool's prefill rate and the endpoint's prefill
// slowdown from a response that has begun.
func (s *State) observePrefill(now event.Time, e *endpoint, g *grant, firstToken event.Duration) {
	if g.firstPrefill && firstToken > 0 {
		s.prefill.observe(float64(g.prefillTokens)/e.presentSpeed(now), firstToken.Seconds())
	}
	if g.prefillWork < minPrefillSample || s.prefill.rate() == 0 || e.prefillQueue.head() != g {
		return
	}
	elapsed := now.Sub(e.prefillQueue.headSince).Seconds() - s.prefill.overhead()
	e.prefillSlowdown.observe(now, elapsed*e.presentSpeed(now)/g.prefillWork)
}

// isWorthWaiting reports whether k would miss its target at the best endpoint
// with free capacity because of prompts queued there, but could meet it at an
// endpoint that is freed soon.
func (s *State) isWorthWaiting(k *ticket, c *choice) bool {
	if !s.pool.Discovered || k.Target == 0 || c.est.prefillWork == 0 || s.pool.LeastOutstanding {
		return false
	}
	return c.est.latency > c.timeLeft && c.est.prefillWork/s.maxSpeed < c.timeLeft
}
