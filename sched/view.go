// SPDX-License-Identifier: MIT

package sched

import (
	"math"

	"lynxramp.org/event"
)

// view is what a placement looks at of an endpoint. The views of all endpoints
// lie side by side, so that looking at a thousand of them costs microseconds.
type view struct {
	endpoint *endpoint
	slowness float64 // 1 / speed
	prefillSlowness  float64 // slowness at reading prompts
	// The prompts that it has to read first: headWork seconds of the one that it
	// reads since readSince, and queuedWork of those behind it, both at speed 1.
	headWork, queuedWork float64
	headSince           event.Time
	plannedUntil           event.Time // by plan, where beginnings are not told
	dataCentre          string
	free                int32 // places for the highest tier; 0 if it does not serve
	reserved             int32 // of these, not for lower tiers
	capacity              int32 // in all, in thousandths; 0 if it does not serve
	hasCooldowns           bool  // it wants nothing of some entries
	isRateLimited           bool  // by requests a second
}

// refreshView makes an endpoint's view fit what is known of it at now.
func (s *State) refreshView(now event.Time, e *endpoint) {
	v := &s.views[e.index]
	s.subtractView(v)
	first := e.prefills.headWork()
	*v = view{
		endpoint: e, slowness: 1 / e.speed(), prefillSlowness: e.prefillSlowness.get(now) / e.speed(), dataCentre: e.DataCentre,
		headWork: first, queuedWork: e.prefills.work - first, headSince: e.prefills.headSince, plannedUntil: e.prefills.plannedUntil,
	}
	if e.Concurrency > 0 && e.isAvailable(now) {
		free, places := max(0, e.capacity()-e.inflight), e.capacity()*capacityScale
		if e.rateLimit.isSet {
			v.isRateLimited = true
			free = min(free, e.rateLimit.pacer.Room(now))
			places = min(places, s.limitedCapacity(now, &e.rateLimit))
		}
		if len(e.cooldowns) > 0 {
			e.expireCooldowns(now)
			v.hasCooldowns = len(e.cooldowns) > 0
		}
		if v.hasCooldowns {
			s.cooldownEndpoints++
			places = s.capacityInCooldown(e, places)
		}
		v.free, v.capacity = clampInt32(free), clampInt32(places)
		s.capacity += int(v.capacity)
		if !s.pool.Discovered {
			v.reserved = clampInt32(e.Concurrency / reserveDivisor)
		}
	}
}

// clampInt32 makes a count fit a view, which is small so that many are looked at fast.
func clampInt32(n int) int32 { return int32(min(n, math.MaxInt32)) }

// subtractView takes a view out of the pool's sums.
func (s *State) subtractView(v *view) {
	s.capacity -= int(v.capacity)
	if v.hasCooldowns {
		s.cooldownEndpoints--
	}
}

// refreshViews makes all views fit. Time alone can change whether an endpoint
// serves, so it is done at each tick.
func (s *State) refreshViews(now event.Time) {
	for _, e := range s.endpoints {
		s.refreshView(now, e)
	}
	s.updateMaxSpeed(now)
}

// updateMaxSpeed finds the speed of the fastest endpoint that serves.
func (s *State) updateMaxSpeed(now event.Time) {
	s.maxSpeed = 0
	for _, e := range s.endpoints {
		if e.Concurrency > 0 && e.isAvailable(now) {
			s.maxSpeed = max(s.maxSpeed, e.speed())
		}
	}
}

// costModel is what a request costs at endpoints that differ in speed and in what
// they have to fill first. Times are in seconds at speed 1.
type costModel struct {
	now    event.Time
	timeLeft   float64 // until the deadline
	prefillWeight float64 // of prefill
	prefill   float64
	decode float64
	// toFirstToken says that left counts to the answer's beginning, not to its end.
	toFirstToken      bool
	prefillRate       float64 // prompt tokens a second
	deadline        float64 // until the answer's end is of no use
	dataCentre string
	rateLimitCost    float64 // what an endpoint that names a limit costs more
}

// crossDataCentreCost is what an endpoint in another data centre costs: as much as so many seconds of
// waiting. It decides between endpoints that are about as good.
const crossDataCentreCost = 0.12

func (s *State) costModel(now event.Time, k *ticket) costModel {
	profile := s.profile()
	left := k.deadline.Sub(now).Seconds()
	p := costModel{now: now, timeLeft: left, deadline: left, prefillWeight: s.pool.PrefillWeight, prefillRate: profile.PrefillRate, dataCentre: k.DataCentre}
	if k.Target > 0 {
		p.timeLeft = (k.Target - now.Sub(k.arrived)).Seconds()
		p.toFirstToken = true
	}
	if p.prefillWeight == 0 {
		p.prefillWeight = 1
	}
	if k.OutputTokens == 0 {
		p.decode = profile.CallTime.Seconds()
		return p
	}
	p.prefill = float64(k.PromptTokens) / p.prefillRate
	p.decode = profile.TokenGap.Seconds() * float64(k.expectedTokens)
	p.rateLimitCost = s.rateLimitCostOf(p.prefill + p.decode)
	return p
}

// profile returns the speed of an endpoint of speed 1.
func (s *State) profile() event.Profile {
	p := s.pool.Profile
	if rate := s.prefill.rate(); rate > 0 {
		p.PrefillRate = rate
	}
	if p.PrefillRate == 0 {
		p.PrefillRate = referencePrefill
	}
	if p.TokenGap == 0 {
		p.TokenGap = referenceTokenGap
	}
	if p.CallTime == 0 {
		p.CallTime = event.Span(callWork * float64(event.Second))
	}
	return p
}

// cost returns what the request costs cost an endpoint that holds so many tokens of
// its prompt, and how long it takes there.
func (p *costModel) cost(v *view, cached int) (cost float64, est estimate) {
	work := p.prefill - float64(cached)/p.prefillRate
	fill := work * v.prefillSlowness
	total := fill + p.decode*v.slowness
	begin := fill
	if p.prefill == 0 {
		begin = total
	}
	ahead := v.prefillAhead(p.now)
	total += ahead
	begin += ahead
	cost = total * timeWeight
	if p.dataCentre != "" && v.dataCentre != "" && p.dataCentre != v.dataCentre {
		cost += crossDataCentreCost
	}
	if p.toFirstToken {
		// What is before the answer's beginning counts in full: it also holds up
		// the streams beside it.
		cost += begin
	} else {
		cost += p.prefillWeight * fill
	}
	if v.isRateLimited {
		cost += p.rateLimitCost
	}
	needed := total
	if p.toFirstToken {
		needed = begin
	}
	if late := needed*estimateMargin - p.timeLeft; late > 0 {
		cost += latePenalty * late
	}
	if late := total*estimateMargin - p.deadline; p.toFirstToken && late > 0 {
		cost += latePenalty * late
	}
	return cost, estimate{prefill: fill, prefillWork: work, total: total, latency: needed, cached: cached}
}

// prefillAhead returns how many seconds the endpoint reads other prompts first.
func (v *view) prefillAhead(now event.Time) float64 {
	first := v.headWork*v.prefillSlowness - now.Sub(v.headSince).Seconds()
	planned := v.plannedUntil.Sub(now).Seconds()
	return max(0, first) + v.queuedWork*v.prefillSlowness + max(0, planned)
}

// choice is what choose finds for a request. Times are in seconds.
type choice struct {
	endpoint    *endpoint // with room, where it costs least; nil if none has room
	est     estimate  // there
	cost    float64   // there
	timeLeft    float64   // until the deadline
	minTime float64   // what the fastest endpoint needs at the least
	waitForHolder    bool      // it is better to wait for a full endpoint
	inCooldown   bool      // one with room wants nothing of its entry
}

// chooseEndpoint finds the endpoint with room where k costs least: a little for its
// time, more for prompt work by the pool's weight, much for being late. Those
// with room are weighed as if they held nothing of the prompt, and its holders
// once more.
func (s *State) chooseEndpoint(now event.Time, k *ticket) choice {
	p := s.costModel(now, k)
	c := choice{timeLeft: p.timeLeft, cost: math.Inf(1), minTime: p.decode / s.maxSpeed}
	higher := k.Rank < s.topRank && now.Sub(s.topRankAt) < reserveTime
	if s.pool.LeastOutstanding {
		s.chooseLeastOutstanding(now, k, &c)
		return c
	}
	for i := range s.views {
		v := &s.views[i]
		if v.free == 0 || higher && v.free <= v.reserved || k.avoids(v.endpoint) {
			continue
		}
		if v.hasCooldowns && v.inCooldownFor(now, k.entry) {
			c.inCooldown = true
			continue
		}
		c.consider(&p, v, 0)
	}
	s.considerHolders(&p, k, higher, &c, now)
	return c
}

// chooseLeastOutstanding finds the endpoint with room that has the fewest requests.
func (s *State) chooseLeastOutstanding(now event.Time, k *ticket, c *choice) {
	for i := range s.views {
		v := &s.views[i]
		if v.free == 0 || k.avoids(v.endpoint) {
			continue
		}
		if v.hasCooldowns && v.inCooldownFor(now, k.entry) {
			c.inCooldown = true
			continue
		}
		if c.endpoint == nil || v.endpoint.inflight < c.endpoint.inflight {
			c.endpoint = v.endpoint
		}
	}
}

// consider takes an endpoint with room if it costs less than what c has.
func (c *choice) consider(p *costModel, v *view, cached int) {
	if cost, est := p.cost(v, cached); cost < c.cost {
		c.endpoint, c.est, c.cost = v.endpoint, est, cost
	}
}

// considerHolders weighs the endpoints that hold a part of the prompt. A full one
// may be worth a short wait.
func (s *State) considerHolders(p *costModel, k *ticket, higher bool, c *choice, now event.Time) {
	leastFull := math.Inf(1)
	for _, h := range s.prefix.search(k.Prefix, k.PromptTokens) {
		v := &s.views[h.endpoint.index]
		switch {
		case v.hasCooldowns && v.inCooldownFor(now, k.entry):
		case v.free > 0 && !(higher && v.free <= v.reserved):
			c.consider(p, v, h.cached)
		case h.endpoint.isAvailable(now):
			cost, _ := p.cost(v, h.cached)
			leastFull = min(leastFull, cost)
		}
	}
	mayHold := now.Sub(k.arrived) < holderWaitTime && c.est.total*estimateMargin+holderWaitTime.Seconds() < c.timeLeft
	c.waitForHolder = mayHold && leastFull+holderMinSaving < c.cost
}
