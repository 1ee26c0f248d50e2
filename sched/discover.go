// SPDX-License-Identifier: MIT

package sched

import (
	"math"
	"slices"

	"lynxramp.org/event"
)

// always is a time that does not come: an endpoint that is heard then never
// falls silent by itself.
const always = event.Time(math.MaxInt64 / 2)

// seeEndpoint takes in an endpoint that tells of itself, or news of one.
func (s *State) seeEndpoint(now event.Time, seen *event.EndpointSeen) {
	e, ok := s.byID[seen.Endpoint.ID]
	if !ok {
		e = &endpoint{grants: make(map[event.RequestID]*grant)}
		s.byID[seen.Endpoint.ID] = e
		s.endpoints = append(s.endpoints, e)
	}
	e.Endpoint = seen.Endpoint
	e.report.Address = seen.Address
	e.report.Down = seen.Down
	e.reported = true
	e.heard = always
	if !ok {
		s.orderEndpoints(now)
		return
	}
	s.refresh(now, e)
	if e.Concurrency > 0 && e.serves(now) {
		s.fastest = max(s.fastest, e.speed())
	}
}

// removeEndpoint forgets an endpoint and what was granted to it.
func (s *State) removeEndpoint(now event.Time, id event.EndpointID) {
	e, ok := s.byID[id]
	if !ok {
		return
	}
	for request := range e.grants {
		s.release(now, request)
	}
	for mark := range e.memory.young {
		s.prefix.forget(mark, e)
	}
	for mark := range e.memory.old {
		s.prefix.forget(mark, e)
	}
	delete(s.byID, id)
	s.endpoints = slices.DeleteFunc(s.endpoints, func(other *endpoint) bool { return other == e })
	s.orderEndpoints(now)
}

// adopt books a request that runs already.
func (s *State) adopt(now event.Time, a *event.Adopted) {
	e, ok := s.byID[a.Endpoint]
	if !ok || s.grants[a.Ticket.ID] != nil {
		return
	}
	s.book(a.Ticket.ID, &grant{
		endpoint: e,
		entry:    a.Entry,
		at:       now,
		team:     a.Ticket.Team,
		rank:     a.Ticket.Rank,
		service:  a.Ticket.Service,
		output:   a.Ticket.OutputTokens,
		call:     a.Ticket.OutputTokens == 0,
	})
	s.refresh(now, e)
}

// dropEntry forgets what an entry that has ended had here.
func (s *State) dropEntry(now event.Time, entry event.BoxID) {
	delete(s.entries, entry)
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

// measure learns an endpoint's speed from a request that has ended there.
func (s *State) measure(now event.Time, g *grant, f *event.Finished) {
	if !s.pool.Discovered || f.Void {
		return
	}
	profile := s.profile()
	switch {
	case f.TokenGap > 0:
		g.endpoint.learn(now, f.TokenGap.Seconds()/profile.TokenGap.Seconds())
	case g.call && f.FirstAfter > 0 && !f.Failed:
		g.endpoint.learn(now, f.FirstAfter.Seconds()/profile.CallTime.Seconds())
	}
}

// begin takes note that an answer has begun: its prompt is read.
func (s *State) begin(now event.Time, b *event.Begun) {
	g, ok := s.grants[b.ID]
	if !ok {
		return
	}
	if g.alone && s.pool.Discovered && b.After > 0 {
		s.prefill.learn(float64(g.prompt)/g.endpoint.speed(), b.After.Seconds())
	}
	g.endpoint.reading.remove(now, g)
	s.refresh(now, g.endpoint)
}

// isWorthWaiting reports whether a request would be late at the best endpoint that
// has room, by the prompts to be read there first, but in time at another that comes
// free soon.
func (s *State) isWorthWaiting(now event.Time, k *ticket, c *choice) bool {
	if !s.pool.Discovered || k.Target == 0 || c.est.work == 0 || s.pool.LeastOutstanding {
		return false
	}
	left := (k.Target - now.Sub(k.arrived)).Seconds()
	return c.est.needed > left && c.est.work/s.fastest < left
}

// earlyPart is the part of its target within which a request may be refused for
// its wait. Later it is held: who waited so long is not sent away.
const earlyPart = 4

// forecast refuses what would wait longer than it may, by what waits before it and
// how fast the queue drains: at its arrival and a short time after.
func (s *State) forecast(now event.Time, e event.Event, out *event.Effects) {
	switch e := e.(type) {
	case *event.Submitted:
		k, ok := s.queue.byID[e.Ticket.ID]
		if ok && s.isHopeless(now, k) {
			s.refuse(now, k, event.ReasonShed, out)
		}
	case *event.Tick:
		var late []*ticket
		for _, k := range s.queue.byID {
			if s.isHopeless(now, k) {
				late = append(late, k)
			}
		}
		slices.SortFunc(late, func(a, b *ticket) int { return int(a.number) - int(b.number) })
		for _, k := range late {
			s.refuse(now, k, event.ReasonShed, out)
		}
	}
}

// isHopeless reports whether a request is to be refused for its wait.
func (s *State) isHopeless(now event.Time, k *ticket) bool {
	if k.Patience == 0 || s.pool.LeastOutstanding {
		return false
	}
	waited := now.Sub(k.arrived) + k.Waited
	if k.Target > 0 && waited > (k.Target+k.Waited)/earlyPart {
		return false
	}
	patience := k.Patience
	if k.Target > 0 && k.OutputTokens > 0 {
		// Its own prompt has to be read in the time, too.
		fill := event.Span(float64(k.PromptTokens) / s.profile().PrefillRate * float64(event.Second))
		patience = max(patience-fill, patience/earlyPart)
	}
	return waited+s.expectedWait(now, k) > patience
}

// expectedWait returns how long the queue before a ticket takes to drain. What
// ranks above it leave over is what its own rank and those below got lately.
func (s *State) expectedWait(now event.Time, k *ticket) event.Span {
	above, beside := 0, 0
	lower, all := 0.0, 0.0
	for _, t := range s.queue.tiers {
		drained := t.drain.perSecond(now)
		all += drained
		switch {
		case t.rank > k.Rank:
			above += t.size
			continue
		case t.rank == k.Rank:
			beside = t.size
		}
		lower += drained
	}
	rate := s.drainRate(now)
	if rate <= 0 {
		return 0
	}
	left := rate
	if all > 0 {
		left = max(rate*lower/all, rate*leastLeft)
	}
	return event.Span((float64(above)/rate + float64(beside)/left) * float64(event.Second))
}

// leastLeft is the least part of the drain that is taken as left for a rank.
const leastLeft = 0.02

// drainRate returns how many requests a second leave the queue while places are
// taken: as many as did lately, or as the running ones will by the time that
// requests ran. The former alone is too little after a time without a queue.
func (s *State) drainRate(now event.Time) float64 {
	rate := s.drain.perSecond(now)
	if s.holding.samples < holdingSamples {
		return rate
	}
	return max(rate, heldPart*float64(len(s.grants))/s.holding.mean)
}

// heldPart is the part of what the running requests promise that is counted on: a
// queue that is forecast too short lets requests in that will be late.
const heldPart = 0.7

// holdingWeight is the weight of a request in the mean time that requests run, and
// holdingSamples how many are needed: the first to end are the short ones.
const (
	holdingWeight  = 0.02
	holdingSamples = 200
)

// holding is the mean time that requests run, in seconds. The zero value is ready.
type holding struct {
	mean    float64
	samples int
}

func (h *holding) learn(ran event.Span) {
	h.samples++
	h.mean += max(holdingWeight, 1/float64(h.samples)) * (ran.Seconds() - h.mean)
}
