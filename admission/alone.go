// SPDX-License-Identifier: MIT

package admission

import (
	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/routing"
)

// This file bounds what an entry spends of teams' quotas while it decides without an
// owner.

const (
	// aloneSpan is how much of its share's rate an entry may have saved up.
	aloneSpan = 3 * event.Second
	// tightPart is the part of a quota from which entries are told what is left of
	// it. Below it, what they may have saved up fits in the rest.
	tightPart = 0.5
	// freedSpans is for how many seconds they are told what comes free.
	freedSpans = 5
)

// bucket is what a State that has only a share may spend of one quota.
type bucket struct {
	tokens float64
	filled event.Time
	// freed is what comes in each second from began on; after it, and where it is
	// empty, the share's rate.
	freed []float64
	began event.Time
}

// fill adds what has come until now, up to most. The rate is a second's.
func (b *bucket) fill(now event.Time, rate, most float64) {
	for b.filled < now {
		until, coming := now, rate
		if span := int(b.filled.Sub(b.began) / event.Second); span < len(b.freed) {
			coming = b.freed[span]
			until = min(now, b.began.Add(event.Span(span+1)*event.Second))
		}
		b.tokens += coming * until.Sub(b.filled).Seconds()
		b.filled = until
	}
	b.tokens = min(b.tokens, most)
}

// take draws on a team's bucket. A request larger than the bucket may go when the
// bucket is full, and leaves a debt.
func (s *State) take(now event.Time, team *routing.Team, amount int) bool {
	rate := team.Rate * s.share
	most := rate * aloneSpan.Seconds()
	b, ok := s.buckets[team.Name]
	if !ok {
		b = &bucket{tokens: most, filled: now}
		s.buckets[team.Name] = b
	}
	b.fill(now, rate, most)
	if b.tokens < min(float64(amount), most) {
		return false
	}
	b.tokens -= float64(amount)
	return true
}

// Tight returns what is left of the quotas that are more than half spent.
func (s *State) Tight(now event.Time) []message.Allowance {
	if s.table == nil {
		return nil
	}
	var list []message.Allowance
	for i := range s.table.Teams {
		team := &s.table.Teams[i]
		w, ok := s.spent[team.Name]
		if !ok || team.Rate == 0 {
			continue
		}
		limit, spent := s.limitOf(team), float64(w.total(now))
		if spent <= limit*tightPart {
			continue
		}
		a := message.Allowance{Name: team.Name, Left: max(0, int(limit-spent)), Freed: make([]int, freedSpans)}
		w.each(now, func(age event.Span, amount int) {
			// A bin leaves the window when its newest part does.
			if span := int((s.limits.QuotaWindow - age + w.bin) / event.Second); span < freedSpans {
				a.Freed[span] += amount
			}
		})
		list = append(list, a)
	}
	return list
}

// SetAllowances bounds what may be spent here to this State's share of what an owner
// told of some quotas at a moment.
func (s *State) SetAllowances(list []message.Allowance, told event.Time) {
	for _, a := range list {
		b := &bucket{tokens: float64(a.Left) * s.share, filled: told, began: told}
		for _, amount := range a.Freed {
			b.freed = append(b.freed, float64(amount)*s.share)
		}
		s.buckets[a.Name] = b
	}
}
