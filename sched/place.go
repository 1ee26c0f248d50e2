// SPDX-License-Identifier: MIT

package sched

import "lynxramp.org/event"

// expire gives up what has run out of time.
func (s *State) expire(now event.Time, out *event.Effects) {
	for k := s.queue.nextExpired(now); k != nil; k = s.queue.nextExpired(now) {
		s.refuse(now, k, event.ReasonDeadline, out)
	}
}

// place grants from the queue's head while an endpoint has room. A request for
// which only endpoints have room that would be late with it is passed over, up
// to a few at once: another endpoint may come free.
func (s *State) place(now event.Time, out *event.Effects) {
	s.passed = s.passed[:0]
	if s.fastest == 0 {
		return // no endpoint serves
	}
	passes := min(maxPassed, max(1, passedLooks/len(s.views)))
	for k := s.queue.first(); k != nil && len(s.passed) < passes; k = s.queue.first() {
		c := s.choose(now, k)
		switch {
		case c.room == nil && (len(k.Avoid) > 0 || c.rests):
			s.queue.setAside(k)
			s.passed = append(s.passed, k)
		case c.room == nil:
			s.unpass()
			return
		case k.Target == 0 && c.fastest > c.left && s.length(k.Service).known():
			// No endpoint can answer in time, whatever else waits.
			s.refuse(now, k, event.ReasonDeadline, out)
		case c.hold, s.isWorthWaiting(k, &c), k.Target == 0 && c.est.total*startMargin > c.left && s.length(k.Service).known():
			s.queue.setAside(k)
			s.passed = append(s.passed, k)
		default:
			s.grant(now, k, c.room, c.est, out)
		}
	}
	s.unpass()
}

// unpass puts back what was passed over.
func (s *State) unpass() {
	for _, k := range s.passed {
		s.queue.putBack(k)
	}
}

func (s *State) grant(now event.Time, k *ticket, e *endpoint, est estimate, out *event.Effects) {
	s.queue.remove(k)
	s.queue.charge(k, float64(k.PromptTokens-est.cached+k.OutputTokens))
	g := &grant{
		endpoint: e,
		entry:    k.entry,
		at:       now,
		life:     e.report.Incarnation,
		attempt:  k.Attempt,
		team:     k.Team,
		rank:     k.Rank,
		asked:    k.class.rank,
		service:  k.Service,
		output:   k.OutputTokens,
		call:     k.OutputTokens == 0,
		prompt:   k.PromptTokens - est.cached,
		fill:     est.work,
		paced:    e.limit.wasSet,
	}
	e.limit.spend(now)
	s.prefix.add(e, k.Prefix)
	switch {
	case !s.pool.Discovered:
		e.reading.plan(now, event.Span(est.fill*float64(event.Second)))
	case !g.call:
		g.alone = len(e.reading.pending) == 0
		e.reading.add(now, g)
	}
	s.book(k.ID, g)
	s.refresh(now, e)
	s.drain.add(now, 1)
	s.queue.tier(k.Rank, k.standing).drain.add(now, k.hold)
	granted := g.effect(k.ID)
	granted.Inputs = event.Inputs{Running: e.inflight, Wait: event.Span(est.needed * float64(event.Second))}
	out.Grants = append(out.Grants, granted)
}

func (g *grant) effect(id event.RequestID) event.Granted {
	return event.Granted{
		Entry:       g.entry,
		ID:          id,
		Endpoint:    g.endpoint.ID,
		Address:     g.endpoint.report.Address,
		Incarnation: g.life,
		Attempt:     g.attempt,
		Fresh:       g.endpoint.unsure,
		Paced:       g.paced,
	}
}

// shed gives up the queue's end while it is too long.
func (s *State) shed(now event.Time, out *event.Effects) {
	if now.Sub(s.started) < SettleTime {
		return
	}
	for s.queue.len() > s.pool.MaxWaiting {
		k := s.queue.last()
		s.refuse(now, k, event.ReasonShed, out)
	}
}

func (s *State) refuse(now event.Time, k *ticket, why event.Reason, out *event.Effects) {
	s.refuseFor(now, k, why, s.retryAfter(now), out)
}

// refuseFor refuses a request with when to come back.
func (s *State) refuseFor(now event.Time, k *ticket, why event.Reason, after event.Span, out *event.Effects) {
	s.queue.remove(k)
	k.class.refused.add(now, 1)
	s.refused[Group{Team: k.Team, Rank: k.Rank, Reason: why}]++
	out.Refusals = append(out.Refusals, event.Refused{
		Entry:      k.entry,
		ID:         k.ID,
		Reason:     why,
		RetryAfter: after,
		Inputs:     event.Inputs{Ahead: s.queue.len(), Wait: s.expectedWait(now, k)},
	})
}

// retryAfter is the time the queue needs to drain, spread by up to a quarter
// so that those refused together do not come back together.
func (s *State) retryAfter(now event.Time) event.Span {
	wait := MinRetryAfter
	if rate := s.drain.perSecond(now); rate > 0 {
		wait = event.Span(float64(s.queue.len()) / rate * float64(event.Second))
	}
	return min(max(s.spread(wait), MinRetryAfter), MaxRetryAfter)
}

// spread makes a wait longer by up to a quarter.
func (s *State) spread(wait event.Span) event.Span {
	return wait + event.Span(s.random.Float64()/4*float64(wait))
}
