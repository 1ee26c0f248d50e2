// SPDX-License-Identifier: MIT

package sched

import (
	"math"

	"lynxramp.org/event"
)

// RanksOfTeam is how many ranks lie within one of a team: ranks whose numbers
// divided by it, rounded down, are equal are of one tier of teams.
const RanksOfTeam = 1000

// classDecayTime is the time over which the shares of classes are averaged.
const classDecayTime = 10 * event.Second

// cheapWorkRatio is the most work, as a part of that of the class above, with which a
// class may be served beside it.
const cheapWorkRatio = 0.25

// decayingCounter is a count whose older parts fade. The zero value is ready.
type decayingCounter struct {
	value float64
	updated    event.Time
}

func (f *decayingCounter) get(now event.Time) float64 {
	return f.value * math.Exp(-now.Sub(f.updated).Seconds()/classDecayTime.Seconds())
}

func (f *decayingCounter) add(now event.Time, amount float64) {
	f.value = f.get(now) + amount
	f.updated = now
}

// class is what is known of the requests of one rank.
type class struct {
	rank    int
	submitted   decayingCounter
	refused decayingCounter
	meanWork    float64 // mean seconds at speed 1
	runTime    meanRunTime // of places
}

// classes are by rank.
type classes map[int]*class

func (c classes) forRank(rank int) *class {
	one, ok := c[rank]
	if !ok {
		one = &class{rank: rank}
		c[rank] = one
	}
	return one
}

// servedFraction returns which part of the class was lately not refused.
func (c *class) servedFraction(now event.Time) float64 {
	asked := c.submitted.get(now)
	if asked < 1 {
		return 1
	}
	return 1 - min(1, c.refused.get(now)/asked)
}

// nextHigher returns the next higher rank of the same tier of teams that asked lately.
func (c classes) nextHigher(now event.Time, rank int) (int, bool) {
	found, ok := 0, false
	for other, one := range c {
		if other <= rank || teamTier(other) != teamTier(rank) || one.submitted.get(now) < 1 {
			continue
		}
		if !ok || other < found {
			found, ok = other, true
		}
	}
	return found, ok
}

func teamTier(rank int) int { return int(math.Floor(float64(rank)/RanksOfTeam + 0.5)) }

// promote returns the rank at which a request waits: its own, or the one above
// while its class is so cheap that it takes next to nothing from that one and is
// served less.
func (s *State) promote(now event.Time, k *ticket) int {
	own := k.class
	own.submitted.add(now, 1)
	work := s.profileWork(k)
	own.meanWork += (work - own.meanWork) * meanWorkWeight
	s.meanWork += (work - s.meanWork) * meanWorkWeight
	rank, ok := s.classes.nextHigher(now, k.Rank)
	if !ok {
		return k.Rank
	}
	higher := s.classes[rank]
	if own.meanWork < cheapWorkRatio*higher.meanWork && own.servedFraction(now) < higher.servedFraction(now) {
		return rank
	}
	return k.Rank
}

// meanWorkWeight is the weight of a request in its class's mean work.
const meanWorkWeight = 0.05

// profileWork is the work of a request at speed 1 by the pool's profile.
func (s *State) profileWork(k *ticket) float64 {
	profile := s.profile()
	return float64(k.PromptTokens)/profile.PrefillRate + profile.TokenGap.Seconds()*float64(k.expectedTokens)
}
