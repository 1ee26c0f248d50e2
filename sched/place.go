// SPDX-License-Identifier: MIT

package sched

import (
	"lynxramp.org/event"
	"lynxramp.org/worth"
)

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
		if k.standing == standingLate && float64(s.free) <= lateRoom*float64(s.places) {
			break // so are all behind it
		}
		c := s.choose(now, k)
		switch {
		case c.room == nil && len(k.Avoid) > 0:
			s.queue.remove(k)
			s.passed = append(s.passed, k)
		case c.room == nil:
			s.unpass()
			return
		case k.Target == 0 && c.fastest > c.left && s.length(k.Service).known():
			// No endpoint can answer in time, whatever else waits.
			s.refuse(now, k, event.ReasonDeadline, out)
		case c.hold, s.isWorthWaiting(k, &c), k.Target == 0 && c.est.total*startMargin > c.left && s.length(k.Service).known():
			s.queue.remove(k)
			s.passed = append(s.passed, k)
		default:
			s.grant(now, k, c.room, c.est, out)
		}
	}
	s.unpass()
}

// lateRoom is the part of the places that stays free of late requests, for those that come
// and can be in time: one that has no choice of endpoints waits behind others' prompts.
const lateRoom = 1.0 / 3

// unpass puts back what was passed over.
func (s *State) unpass() {
	for _, k := range s.passed {
		s.queue.add(k)
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
	}
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
	t := s.queue.tier(k.Rank, k.standing)
	t.drain.add(now, k.hold)
	t.front, t.went = k.place, true
	s.usual.add(now, k.hold)
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
	before, ahead := s.queue.workAhead(now, k)
	s.refuseWorth(now, k, why, worth.Weigh(s.weighed(now, k, before, ahead)), out)
}

// refuseWorth refuses a request with what was weighed.
func (s *State) refuseWorth(now event.Time, k *ticket, why event.Reason, w worth.Weighing, out *event.Effects) {
	before, ahead := s.queue.workAhead(now, k)
	wait := s.expectedWait(now, k, before, ahead)
	s.queue.remove(k)
	k.class.refused.add(now, 1)
	if k.Asked {
		k.class.refusedAgain.add(now, 1)
	}
	s.refused[Group{Team: k.Team, Rank: k.Rank, Reason: why}]++
	out.Refusals = append(out.Refusals, event.Refused{
		Entry:      k.entry,
		ID:         k.ID,
		Reason:     why,
		RetryAfter: s.retryAfter(now),
		Inputs: event.Inputs{
			Ahead: s.queue.len(), Wait: wait, Waited: k.age(now), InTime: w.InTime, Any: w.Any, Keep: w.Keep, Refuse: w.Refuse,
		},
	})
}

// retrySpread is by how much of itself a time to come back may be longer, so that those
// who are refused together do not come back together.
const retrySpread = 0.5

// retryAfter is when the overload is expected to be over and what waits to have drained.
func (s *State) retryAfter(now event.Time) event.Span {
	wait := MinRetryAfter
	if rate := s.drain.perSecond(now); rate > 0 {
		wait = s.overload.age(now) + event.Span(float64(s.queue.len())/rate*float64(event.Second))
	}
	wait += event.Span(s.random.Float64() * retrySpread * float64(wait))
	return min(max(wait, MinRetryAfter), MaxRetryAfter)
}
