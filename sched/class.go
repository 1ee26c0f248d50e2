// SPDX-License-Identifier: MIT

package sched

import (
	"math"

	"lynxramp.org/event"
)

// TeamRankStride is the distance between adjacent team ranks: a request's rank
// is its team's rank times TeamRankStride plus its route's rank. Ranks that
// round to the same multiple belong to one team tier.
const TeamRankStride = 1000

// classDecayTime is the time constant of the class counters.
const classDecayTime = 10 * event.Second

// cheapWorkRatio is the largest ratio of a class's mean work to that of the
// next higher class at which it may be promoted.
const cheapWorkRatio = 0.25

// decayingCounter is an exponentially decaying count. The zero value is ready
// to use.
type decayingCounter struct {
	value   float64
	updated event.Time
}

func (c *decayingCounter) get(now event.Time) float64 {
	return c.value * math.Exp(-now.Sub(c.updated).Seconds()/classDecayTime.Seconds())
}

func (c *decayingCounter) add(now event.Time, amount float64) {
	c.value = c.get(now) + amount
	c.updated = now
}

// class has the statistics of requests submitted with one rank.
type class struct {
	rank      int
	submitted decayingCounter
	refused   decayingCounter
	meanWork  float64     // in seconds at speed 1
	runTime   meanRunTime // how long its requests run
	workRatio workRatio   // of its requests
	sizes     workSizes
}

// classes maps a rank to its class.
type classes map[int]*class

func (c classes) forRank(rank int) *class {
	cl, ok := c[rank]
	if !ok {
		cl = &class{rank: rank}
		c[rank] = cl
	}
	return cl
}

// servedFraction returns the recent fraction of the class's requests that were
// not refused.
func (c *class) servedFraction(now event.Time) float64 {
	submitted := c.submitted.get(now)
	if submitted < 1 {
		return 1
	}
	return 1 - min(1, c.refused.get(now)/submitted)
}

// nextHigher returns the next higher rank in the same team tier with recent
// requests.
func (c classes) nextHigher(now event.Time, rank int) (int, bool) {
	found, ok := 0, false
	for other, cl := range c {
		if other <= rank || teamTier(other) != teamTier(rank) || cl.submitted.get(now) < 1 {
			continue
		}
		if !ok || other < found {
			found, ok = other, true
		}
	}
	return found, ok
}

func teamTier(rank int) int { return int(math.Floor(float64(rank)/TeamRankStride + 0.5)) }

// promote updates the class statistics of k and returns the rank at which k is
// queued. That is its own rank, or the next higher one while k's class is much
// cheaper than that one and a smaller fraction of it is served.
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

// meanWorkWeight is the weight of a new request in a moving average of work.
const meanWorkWeight = 0.05

// profileWork returns the estimated work of k in seconds at speed 1, by the
// pool's profile.
func (s *State) profileWork(k *ticket) float64 {
	profile := s.profile()
	return float64(k.PromptTokens)/profile.PrefillRate + profile.TokenGap.Seconds()*float64(k.expectedTokens)
}
