// SPDX-License-Identifier: MIT

package sched

import (
	"cmp"
	"slices"

	"lynxramp.org/event"
	"lynxramp.org/worth"
)

// The forecast tells how long a request that waits will wait on, by the work before it, the
// places that serve, and how long the pool has been overloaded. Package worth says what to
// make of it: whether the request waits among those that can be in time, among those that
// are late, or is refused.

// inTimeChance is the least chance of an answer in time with which a request waits among
// those that can be in time.
const inTimeChance = 0.3

// leastLeft is the least part of the places that is taken as left for a rank, or for those
// that are late.
const leastLeft = 0.02

// weighs reports whether the pool's requests are weighed. The baseline refuses none for
// its wait.
func (s *State) weighs() bool { return s.pool.Discovered && !s.pool.LeastOutstanding }

// forecast judges a request at its arrival, and all that wait now and then.
func (s *State) forecast(now event.Time, e event.Event, out *event.Effects) {
	s.overload.see(now, s.queue.waitsInTime())
	if !s.weighs() {
		return
	}
	switch e := e.(type) {
	case *event.Submitted:
		k, ok := s.queue.byID[e.Ticket.ID]
		if !ok || k.Target == 0 {
			return
		}
		before, ahead := s.queue.workAhead(now, k)
		s.judge(now, k, before, ahead, out)
	case *event.Tick:
		s.judgeAll(now, out)
	}
}

// judgeAll judges all that wait, in the order in which they go: what is given up or put
// behind shortens the wait of those after it.
func (s *State) judgeAll(now event.Time, out *event.Effects) {
	before := 0.0
	for _, t := range s.queue.snapshot() {
		own := 0.0
		for _, k := range t {
			if k.Target == 0 || s.judge(now, k, before, own, out) {
				own += k.hold
			}
		}
		before += own
	}
}

// judge gives a request the standing that it has by now, or refuses it; before is the work
// of what goes before its rank and standing, and ahead of what goes before it there, in
// seconds. It reports whether the request stays where it is.
func (s *State) judge(now event.Time, k *ticket, before, ahead float64, out *event.Effects) bool {
	w := worth.Weigh(s.weighed(now, k, before, ahead))
	if k.standing == standingWhole && w.InTime < inTimeChance {
		s.queue.remove(k)
		k.standing = standingLate
		s.queue.add(k)
		before, ahead = s.queue.workAhead(now, k)
		w = worth.Weigh(s.weighed(now, k, before, ahead))
		if !w.IsRefused() || k.MayHaveRun {
			return false
		}
	}
	if w.IsRefused() && !k.MayHaveRun {
		s.refuseWorth(now, k, event.ReasonShed, w, out)
		return false
	}
	return true
}

// weighed is what is known of a request that waits. One whose prompt takes most of its
// target to be read is weighed as if it took half of it: it would else be late, and behind
// all others, for its size alone.
func (s *State) weighed(now event.Time, k *ticket, before, ahead float64) worth.Case {
	c := worth.Case{
		Waited: k.age(now), Target: k.Target, Left: k.deadline.Sub(now),
		Wait: s.expectedWait(now, k, before, ahead), Begin: min(s.beginTime(k), k.Target/2),
		Asked: k.Asked, Again: k.class.servedAgain(now),
	}
	if k.standing == standingLate {
		c.Overload = s.overload.age(now)
	}
	return c
}

// expectedWait returns how long the work before a request takes to drain. What ranks above
// it leave over is what its own rank and those below got lately. Those that are late go
// when the overload is over, and have what is usually left over then.
func (s *State) expectedWait(now event.Time, k *ticket, before, ahead float64) event.Span {
	places := float64(s.places)
	if places == 0 {
		return worth.NeverSoon
	}
	if k.standing == standingLate {
		left := max(places*(1-lateRoom)-s.usual.perSecond(now), places*leastLeft)
		return seconds((before + ahead) / left)
	}
	lower, all := 0.0, 0.0
	for _, t := range s.queue.tiers {
		drained := t.drain.perSecond(now)
		all += drained
		if !t.before(k.Rank, k.standing) {
			lower += drained
		}
	}
	left := places
	if all > 0 {
		left = places * max(lower/all, leastLeft)
	}
	return seconds(before/places + ahead/left)
}

// seconds makes a time of a number of seconds.
func seconds(n float64) event.Span {
	return event.Span(min(n, worth.NeverSoon.Seconds()) * float64(event.Second))
}

// beginTime returns how long the answer to a request takes to begin once it has a place: as
// long as its prompt takes to be read.
func (s *State) beginTime(k *ticket) event.Span {
	if k.OutputTokens == 0 {
		return seconds(k.hold)
	}
	return seconds(float64(k.PromptTokens) / s.profile().PrefillRate)
}

// hold returns how long a request will hold its place, in seconds: as long as others
// of its class lately, or, until some have ended, its own work.
func (s *State) hold(k *ticket) float64 {
	if k.class.held.samples < holdingSamples {
		return s.seconds(k)
	}
	return k.class.held.mean
}

// holdingWeight is the weight of a request in the mean time that requests run, and
// holdingSamples how many are needed: the first to end are the short ones.
const (
	holdingWeight  = 0.02
	holdingSamples = 50
)

// holding is the mean of a time, in seconds. The zero value is ready.
type holding struct {
	mean    float64
	samples int
}

func (h *holding) learn(ran event.Span) {
	h.samples++
	h.mean += max(holdingWeight, 1/float64(h.samples)) * (ran.Seconds() - h.mean)
}

// calmTime is how long nothing that can be in time must have waited for an overload to be
// over: places come free one by one, and the queue is empty for moments in between.
const calmTime = 200 * event.Millisecond

// overload knows since when requests that can be in time have waited without a pause. The
// zero value knows of none.
type overload struct {
	isOn       bool
	since      event.Time
	lastWaited event.Time
}

// see takes note of whether any wait.
func (o *overload) see(now event.Time, waits bool) {
	switch {
	case waits && !o.isOn:
		o.isOn, o.since, o.lastWaited = true, now, now
	case waits:
		o.lastWaited = now
	case o.isOn && now.Sub(o.lastWaited) > calmTime:
		o.isOn = false
	}
}

// age returns how long the overload has lasted; 0 if there is none.
func (o *overload) age(now event.Time) event.Span {
	if !o.isOn {
		return 0
	}
	return now.Sub(o.since)
}

// snapshot returns the requests that wait, by rank and standing in the order in which these
// go, and within one in the order of their places.
func (q *queue) snapshot() [][]*ticket {
	list := make([][]*ticket, 0, len(q.tiers))
	index := make(map[*tier]int, len(q.tiers))
	for _, t := range q.tiers {
		if t.size > 0 {
			index[t] = len(list)
			list = append(list, make([]*ticket, 0, t.size))
		}
	}
	for _, k := range q.byID {
		i := index[q.tier(k.Rank, k.standing)]
		list[i] = append(list[i], k)
	}
	for _, t := range list {
		slices.SortFunc(t, func(a, b *ticket) int {
			return cmp.Or(cmp.Compare(a.place, b.place), cmp.Compare(a.number, b.number))
		})
	}
	return list
}

// workAhead returns the work of what goes before the rank and standing of a request that
// waits, and of what goes before it there, in seconds. Where it stands among these is
// estimated by its place, between that of the last one that went and now.
func (q *queue) workAhead(now event.Time, k *ticket) (before, ahead float64) {
	for _, t := range q.tiers {
		switch {
		case t.before(k.Rank, k.standing):
			before += t.work
		case t.rank == k.Rank && t.standing == k.standing:
			ahead = (t.work - k.hold) * t.part(now, k)
		}
	}
	return before, ahead
}

// part estimates the part of a tier that goes before a request of it.
func (t *tier) part(now event.Time, k *ticket) float64 {
	behind, all := k.place.Sub(t.front), now.Sub(t.front)
	switch {
	case !t.went:
		return 1
	case behind < 0:
		return 0
	case all <= 0:
		return 1
	}
	return min(1, float64(behind)/float64(all))
}

// waitsInTime reports whether a request waits that can be in time.
func (q *queue) waitsInTime() bool {
	for _, t := range q.tiers {
		if t.size > 0 && t.standing != standingLate {
			return true
		}
	}
	return false
}
