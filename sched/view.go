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
	reading  float64 // slowness at reading prompts
	// The prompts that it has to read first: firstWork seconds of the one that it
	// reads since readSince, and moreWork of those behind it, both at speed 1.
	firstWork, moreWork float64
	readSince           event.Time
	readUntil           event.Time // by plan, where beginnings are not told
	dataCentre          string
	free                int32 // places for the highest tier; 0 if it does not serve
	reserve             int32 // of these, not for lower tiers
	places              int32 // in all, in thousandths; 0 if it does not serve
	isResting           bool  // it wants nothing of some entries
	isLimited           bool  // by requests a second
}

// refresh makes an endpoint's view fit what is known of it at now.
func (s *State) refresh(now event.Time, e *endpoint) {
	v := &s.views[e.index]
	s.takeOut(v)
	first := e.reading.first()
	*v = view{
		endpoint: e, slowness: 1 / e.speed(), reading: e.pace.get(now) / e.speed(), dataCentre: e.DataCentre,
		firstWork: first, moreWork: e.reading.work - first, readSince: e.reading.since, readUntil: e.reading.until,
	}
	if e.Concurrency > 0 && e.serves(now) {
		free, places := max(0, e.room()-e.inflight), e.room()*thousandths
		if e.limit.isSet {
			v.isLimited = true
			free = min(free, e.limit.pacer.Room(now))
			places = min(places, s.limitedPlaces(now, &e.limit))
		}
		if len(e.rests) > 0 {
			e.endRests(now)
			v.isResting = len(e.rests) > 0
		}
		if v.isResting {
			s.resting++
			places = s.restedPlaces(e, places)
		}
		v.free, v.places = narrow(free), narrow(places)
		s.places += int(v.places)
		if !s.pool.Discovered {
			v.reserve = narrow(e.Concurrency / reservePart)
		}
	}
}

// narrow makes a count fit a view, which is small so that many are looked at fast.
func narrow(n int) int32 { return int32(min(n, math.MaxInt32)) }

// takeOut takes a view out of the pool's sums.
func (s *State) takeOut(v *view) {
	s.places -= int(v.places)
	if v.isResting {
		s.resting--
	}
}

// refreshAll makes all views fit. Time alone can change whether an endpoint
// serves, so it is done at each tick.
func (s *State) refreshAll(now event.Time) {
	for _, e := range s.endpoints {
		s.refresh(now, e)
	}
	s.findFastest(now)
}

// findFastest finds the speed of the fastest endpoint that serves.
func (s *State) findFastest(now event.Time) {
	s.fastest = 0
	for _, e := range s.endpoints {
		if e.Concurrency > 0 && e.serves(now) {
			s.fastest = max(s.fastest, e.speed())
		}
	}
}

// price is what a request costs at endpoints that differ in speed and in what
// they have to fill first. Times are in seconds at speed 1.
type price struct {
	now    event.Time
	left   float64 // until the deadline
	weight float64 // of prefill
	fill   float64
	decode float64
	// first says that left counts to the answer's beginning, not to its end.
	first      bool
	rate       float64 // prompt tokens a second
	end        float64 // until the answer's end is of no use
	dataCentre string
	limited    float64 // what an endpoint that names a limit costs more
}

// farCost is what an endpoint in another data centre costs: as much as so many seconds of
// waiting. It decides between endpoints that are about as good.
const farCost = 0.12

func (s *State) price(now event.Time, k *ticket) price {
	profile := s.profile()
	left := k.deadline.Sub(now).Seconds()
	p := price{now: now, left: left, end: left, weight: s.pool.PrefillWeight, rate: profile.PrefillRate, dataCentre: k.DataCentre}
	if k.Target > 0 {
		p.left = (k.Target - now.Sub(k.arrived)).Seconds()
		p.first = true
	}
	if p.weight == 0 {
		p.weight = 1
	}
	if k.OutputTokens == 0 {
		p.decode = profile.CallTime.Seconds()
		return p
	}
	p.fill = float64(k.PromptTokens) / p.rate
	p.decode = profile.TokenGap.Seconds() * float64(k.expected)
	p.limited = s.limitedPrice(p.fill + p.decode)
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

// at returns what the request costs at an endpoint that holds so many tokens of
// its prompt, and how long it takes there.
func (p *price) at(v *view, cached int) (cost float64, est estimate) {
	work := p.fill - float64(cached)/p.rate
	fill := work * v.reading
	total := fill + p.decode*v.slowness
	begin := fill
	if p.fill == 0 {
		begin = total
	}
	ahead := v.ahead(p.now)
	total += ahead
	begin += ahead
	cost = total * timeWeight
	if p.dataCentre != "" && v.dataCentre != "" && p.dataCentre != v.dataCentre {
		cost += farCost
	}
	if p.first {
		// What is before the answer's beginning counts in full: it also holds up
		// the streams beside it.
		cost += begin
	} else {
		cost += p.weight * fill
	}
	if v.isLimited {
		cost += p.limited
	}
	needed := total
	if p.first {
		needed = begin
	}
	if late := needed*margin - p.left; late > 0 {
		cost += latePenalty * late
	}
	if late := total*margin - p.end; p.first && late > 0 {
		cost += latePenalty * late
	}
	return cost, estimate{fill: fill, work: work, total: total, needed: needed, cached: cached}
}

// ahead returns how many seconds the endpoint reads other prompts first.
func (v *view) ahead(now event.Time) float64 {
	first := v.firstWork*v.reading - now.Sub(v.readSince).Seconds()
	planned := v.readUntil.Sub(now).Seconds()
	return max(0, first) + v.moreWork*v.reading + max(0, planned)
}

// choice is what choose finds for a request. Times are in seconds.
type choice struct {
	room    *endpoint // with room, where it costs least; nil if none has room
	est     estimate  // there
	cost    float64   // there
	left    float64   // until the deadline
	fastest float64   // what the fastest endpoint needs at the least
	hold    bool      // it is better to wait for a full endpoint
	rests   bool      // one with room wants nothing of its entry
}

// choose finds the endpoint with room where k costs least: a little for its
// time, more for prompt work by the pool's weight, much for being late. Those
// with room are weighed as if they held nothing of the prompt, and its holders
// once more.
func (s *State) choose(now event.Time, k *ticket) choice {
	p := s.price(now, k)
	c := choice{left: p.left, cost: math.Inf(1), fastest: p.decode / s.fastest}
	higher := k.Rank < s.top && now.Sub(s.topSeen) < topMemory
	if s.pool.LeastOutstanding {
		s.chooseLeast(now, k, &c)
		return c
	}
	for i := range s.views {
		v := &s.views[i]
		if v.free == 0 || higher && v.free <= v.reserve || k.avoids(v.endpoint) {
			continue
		}
		if v.isResting && v.restsFrom(now, k.entry) {
			c.rests = true
			continue
		}
		c.take(&p, v, 0)
	}
	s.weighHolders(&p, k, higher, &c, now)
	return c
}

// chooseLeast finds the endpoint with room that has the fewest requests.
func (s *State) chooseLeast(now event.Time, k *ticket, c *choice) {
	for i := range s.views {
		v := &s.views[i]
		if v.free == 0 || k.avoids(v.endpoint) {
			continue
		}
		if v.isResting && v.restsFrom(now, k.entry) {
			c.rests = true
			continue
		}
		if c.room == nil || v.endpoint.inflight < c.room.inflight {
			c.room = v.endpoint
		}
	}
}

// take takes an endpoint with room if it costs less than what c has.
func (c *choice) take(p *price, v *view, cached int) {
	if cost, est := p.at(v, cached); cost < c.cost {
		c.room, c.est, c.cost = v.endpoint, est, cost
	}
}

// weighHolders weighs the endpoints that hold a part of the prompt. A full one
// may be worth a short wait.
func (s *State) weighHolders(p *price, k *ticket, higher bool, c *choice, now event.Time) {
	leastFull := math.Inf(1)
	for _, h := range s.prefix.search(k.Prefix, k.PromptTokens) {
		v := &s.views[h.endpoint.index]
		switch {
		case v.isResting && v.restsFrom(now, k.entry):
		case v.free > 0 && !(higher && v.free <= v.reserve):
			c.take(p, v, h.cached)
		case h.endpoint.serves(now):
			cost, _ := p.at(v, h.cached)
			leastFull = min(leastFull, cost)
		}
	}
	mayHold := now.Sub(k.arrived) < holdTime && c.est.total*margin+holdTime.Seconds() < c.left
	c.hold = mayHold && leastFull+holdCost < c.cost
}
