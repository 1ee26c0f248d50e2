// SPDX-License-Identifier: MIT

package sched

import (
	"math"

	"lynxramp.org/event"
)

// always is a time that does not come: an endpoint that is heard then never
// falls silent by itself.
const always = event.Time(math.MaxInt64 / 2)

// seeEndpoint takes in an endpoint that tells of itself, or news of one.
func (s *State) seeEndpoint(now event.Time, seen *event.EndpointSeen) {
	e := s.endpoint(seen.Endpoint.ID)
	e.Endpoint = seen.Endpoint
	e.report.Address = seen.Address
	e.report.Down = seen.Down
	e.unsure = seen.Unsure
	e.reported = true
	e.heard = always
	s.setLimit(now, e, seen)
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
	s.dropEndpoint(e)
	s.findFastest(now)
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
		asked:    a.Ticket.Rank,
		service:  a.Ticket.Service,
		output:   a.Ticket.OutputTokens,
		call:     a.Ticket.OutputTokens == 0,
		adopted:  true,
	})
	s.refresh(now, e)
}

// dropEntry forgets what an entry that has ended had here.
func (s *State) dropEntry(now event.Time, entry event.BoxID) {
	delete(s.entries, entry)
	s.dropRests(now, entry)
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
	e := g.endpoint
	if s.pool.Discovered {
		s.learnReading(now, e, g, b.After)
	}
	e.reading.remove(now, g)
	s.refresh(now, e)
}

// learnReading learns from an answer that has begun how fast prompts are read, in
// general and at its endpoint now.
func (s *State) learnReading(now event.Time, e *endpoint, g *grant, after event.Span) {
	if g.alone && after > 0 {
		s.prefill.learn(float64(g.prompt)/e.speed(), after.Seconds())
	}
	if g.fill < paceWork || s.prefill.rate() == 0 || e.reading.head() != g {
		return
	}
	read := now.Sub(e.reading.since).Seconds() - s.prefill.fixed()
	e.pace.learn(now, read*e.speed()/g.fill)
}

// isWorthWaiting reports whether a request would be late at the best endpoint that
// has room, by the prompts to be read there first, but in time at another that comes
// free soon.
func (s *State) isWorthWaiting(k *ticket, c *choice) bool {
	if !s.pool.Discovered || k.Target == 0 || c.est.work == 0 || s.pool.LeastOutstanding {
		return false
	}
	return c.est.needed > c.left && c.est.work/s.fastest < c.left
}
