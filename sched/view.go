// SPDX-License-Identifier: MIT

package sched

import (
	"math"

	"lynxramp.org/event"
)

// view has the fields of an endpoint that placement reads. The views are
// contiguous in memory so that scanning a thousand of them takes microseconds.
type view struct {
	endpoint        *endpoint
	slowness        float64 // 1 / speed
	prefillSlowness float64 // 1 / speed of prefill
	// Pending prefill: headWork seconds of the prompt processed since
	// headSince, and queuedWork seconds of those behind it, both at speed 1.
	headWork, queuedWork float64
	headSince            event.Time
	plannedUntil         event.Time // planned end, for pools without Begun events
	dataCentre           string
	spread               float64 // factor on the times of a request in its cost, by what runs there
	free                 int32   // free capacity for the highest rank; 0 if unavailable
	reserved             int32   // part of free that lower ranks may not use
	capacityUnits        int32   // capacity in units; 0 if unavailable
	hasCooldowns         bool    // some entries are in cooldown
	isRateLimited        bool    // limited in requests per second
	isCanary             bool    // in event.ModeCanary; free is its capacity regardless of the allowance
	isSlowed             bool    // by its reports, requests take much longer than usual
}

// refreshView recomputes the view of an endpoint at now.
func (s *State) refreshView(now event.Time, e *endpoint) {
	v := &s.views[e.index]
	wasSlowed := v.isSlowed
	s.subtractView(v)
	headWork := e.prefillQueue.headWork()
	speed := s.placementSpeed(now, e)
	*v = view{
		endpoint: e, slowness: 1 / speed, prefillSlowness: e.prefillSlowdown.get(now) / speed, dataCentre: e.DataCentre, spread: 1,
		headWork: headWork, queuedWork: e.prefillQueue.work - headWork, headSince: e.prefillQueue.headSince, plannedUntil: e.prefillQueue.plannedUntil,
	}
	if e.slowdown.isReported {
		s.updateSlowed(now, v, wasSlowed)
	}
	if s.hasSlowdownReports() {
		v.spread += spreadWeight * float64(e.inflight) / float64(max(1, e.Concurrency))
	}
	if e.Concurrency > 0 && e.isAvailable(now) {
		capacity := s.capacityAhead(now, e)
		free, units := max(0, int(capacity)-e.inflight), int(capacity*unitsPerRequest)
		if e.rateLimit.isSet {
			v.isRateLimited = true
			free = min(free, e.rateLimit.pacer.Available(now))
			units = min(units, s.limitedCapacity(now, &e.rateLimit))
		}
		if len(e.cooldowns) > 0 {
			e.expireCooldowns(now)
			v.hasCooldowns = len(e.cooldowns) > 0
		}
		if v.hasCooldowns {
			s.cooldownEndpoints++
			units = s.capacityOutsideCooldown(e, units)
		}
		if e.Mode == event.ModeCanary {
			v.isCanary, units = true, 0 // forecasts must hold without it
		}
		v.free, v.capacityUnits = clampInt32(free), clampInt32(units)
		s.capacityUnits += int(v.capacityUnits)
		if !s.pool.Discovered {
			v.reserved = clampInt32(e.Concurrency / reserveDivisor)
		}
	}
}

// clampInt32 limits a count to the range of int32: views are kept small for fast
// scans.
func clampInt32(n int) int32 { return int32(min(n, math.MaxInt32)) }

// subtractView removes a view from the pool's sums.
func (s *State) subtractView(v *view) {
	s.capacityUnits -= int(v.capacityUnits)
	if v.hasCooldowns {
		s.cooldownEndpoints--
	}
	if v.isSlowed {
		s.slowedEndpoints--
	}
}

// refreshViews recomputes all views. An endpoint can become unavailable by the
// passage of time alone, so this is done at each tick.
func (s *State) refreshViews(now event.Time) {
	for _, e := range s.endpoints {
		s.refreshView(now, e)
	}
	s.updateMaxSpeed(now)
}

// updateMaxSpeed recomputes the speed of the fastest available endpoint. Endpoints in canary mode
// count only if there are no others.
func (s *State) updateMaxSpeed(now event.Time) {
	s.maxSpeed = 0
	canarySpeed := 0.0
	for _, e := range s.endpoints {
		switch {
		case e.Concurrency == 0 || !e.isAvailable(now):
		case e.Mode == event.ModeCanary:
			canarySpeed = max(canarySpeed, e.presentSpeed(now))
		default:
			s.maxSpeed = max(s.maxSpeed, e.presentSpeed(now))
		}
	}
	if s.maxSpeed == 0 {
		s.maxSpeed = canarySpeed
	}
}

// costModel computes the cost of a request at endpoints that differ in speed
// and pending prefill. Times are in seconds at speed 1.
type costModel struct {
	now           event.Time
	timeLeft      float64 // to the target or the deadline
	prefillWeight float64 // of prefill time in the cost
	prefill       float64
	decode        float64
	// toFirstToken says that timeLeft is to the first token, not to the end of
	// the response.
	toFirstToken  bool
	prefillRate   float64 // prompt tokens per second
	deadlineLeft  float64 // time left to the deadline
	dataCentre    string
	rateLimitCost float64 // extra cost of a rate-limited endpoint
	// mustEnd passes over endpoints where the response is not expected to end before the deadline. Responses that the
	// deadline cut off held a tenth of all slots under overload. It is not set for a request that is never refused for
	// its wait, nor once no further request can be passed over in this step, so that free slots serve others.
	mustEnd bool
}

// crossDataCentreCost is the extra cost of an endpoint in another data centre,
// in seconds. It decides only between endpoints of similar cost.
const crossDataCentreCost = 0.12

func (s *State) costModel(now event.Time, k *ticket) costModel {
	profile := s.profile()
	timeLeft := k.deadline.Sub(now).Seconds()
	p := costModel{now: now, timeLeft: timeLeft, deadlineLeft: timeLeft, prefillWeight: s.pool.PrefillWeight, prefillRate: profile.PrefillRate, dataCentre: k.DataCentre}
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
	p.mustEnd = s.pool.ExpectedWork && k.Patience > 0 && len(s.skipped)+1 < s.skipLimit()
	return p
}

// profile returns the speeds of an endpoint of speed 1.
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
		p.CallTime = event.Duration(callWork * float64(event.Second))
	}
	return p
}

// costAt returns the cost of the request at an endpoint that has so many prompt
// tokens cached, and the estimated times there.
func (p *costModel) costAt(v *view, cached int) (cost float64, est estimate) {
	prefillWork := p.prefill - float64(cached)/p.prefillRate
	prefill := prefillWork * v.prefillSlowness
	total := prefill + p.decode*v.slowness
	firstToken := prefill
	if p.prefill == 0 {
		firstToken = total
	}
	prefillAhead := v.prefillAhead(p.now)
	total += prefillAhead
	firstToken += prefillAhead
	est = estimate{prefill: prefill, prefillWork: prefillWork, total: total, latency: total, cached: cached}
	if p.toFirstToken {
		est.latency = firstToken
	}
	total *= v.spread
	firstToken *= v.spread
	cost = total * timeWeight
	if p.dataCentre != "" && v.dataCentre != "" && p.dataCentre != v.dataCentre {
		cost += crossDataCentreCost
	}
	if p.toFirstToken {
		// Time to first token counts in full, because prefill also delays the
		// streams that run on the endpoint.
		cost += firstToken
	} else {
		cost += p.prefillWeight * prefill
	}
	if v.isRateLimited {
		cost += p.rateLimitCost
	}
	latency := total
	if p.toFirstToken {
		latency = firstToken
	}
	if late := latency*estimateMargin - p.timeLeft; late > 0 {
		cost += latePenalty * late
	}
	if late := total*estimateMargin - p.deadlineLeft; p.toFirstToken && late > 0 {
		cost += latePenalty * late
	}
	return cost, est
}

// prefillAhead returns the seconds until the endpoint has processed its pending
// prompts.
func (v *view) prefillAhead(now event.Time) float64 {
	first := v.headWork*v.prefillSlowness - now.Sub(v.headSince).Seconds()
	planned := v.plannedUntil.Sub(now).Seconds()
	return max(0, first) + v.queuedWork*v.prefillSlowness + max(0, planned)
}

// choice is the result of chooseEndpoint. Times are in seconds.
type choice struct {
	best          *endpoint // with free capacity and the least cost; nil if none has free capacity
	est           estimate  // there
	cost          float64   // there
	timeLeft      float64   // to the target or the deadline
	minTime       float64   // least time at the fastest endpoint
	waitForHolder bool      // a full endpoint with the prompt cached is worth the wait
	isTooSlow     bool      // the response would not end in time at an endpoint with free capacity
	inCooldown    bool      // an endpoint with free capacity is in cooldown for the entry
	// canary is the endpoint in canary mode that was granted fewest requests so far, of those with free
	// capacity; nil if there is none. The other fields are the estimate and cost there.
	canary     *endpoint
	canaryEst  estimate
	canaryCost float64
}

// chooseEndpoint finds the endpoint with free capacity where k costs least: run
// time counts little, prefill by the pool's weight, and lateness much.
// Endpoints are first considered as if they had nothing of the prompt cached,
// then the likely holders of the prompt again with their cache.
func (s *State) chooseEndpoint(now event.Time, k *ticket) choice {
	p := s.costModel(now, k)
	c := choice{timeLeft: p.timeLeft, cost: math.Inf(1), minTime: p.decode / s.maxSpeed}
	belowTop := k.Rank < s.topRank && now.Sub(s.topRankAt) < reserveTime
	if s.pool.LeastOutstanding {
		s.chooseLeastOutstanding(now, k, &c)
		return c
	}
	mayUseCanary := s.mayUseCanary(k)
	for i := range s.views {
		v := &s.views[i]
		if v.free == 0 || v.isCanary && !mayUseCanary || belowTop && v.free <= v.reserved || k.avoids(v.endpoint) {
			continue
		}
		if v.hasCooldowns && v.inCooldownFor(now, k.entry) {
			c.inCooldown = true
			continue
		}
		if v.isCanary {
			c.considerCanary(&p, v)
			continue
		}
		c.consider(&p, v, 0)
	}
	s.considerHolders(&p, k, belowTop, &c, now)
	c.preferCanary()
	return c
}

// chooseLeastOutstanding finds the endpoint with free capacity that runs the
// fewest requests.
func (s *State) chooseLeastOutstanding(now event.Time, k *ticket, c *choice) {
	mayUseCanary := s.mayUseCanary(k)
	for i := range s.views {
		v := &s.views[i]
		if v.free == 0 || v.isCanary && !mayUseCanary || k.avoids(v.endpoint) {
			continue
		}
		if v.hasCooldowns && v.inCooldownFor(now, k.entry) {
			c.inCooldown = true
			continue
		}
		if v.isCanary {
			c.considerCanary(&costModel{prefillRate: 1}, v) // by count alone
			continue
		}
		if c.best == nil || v.endpoint.inflight < c.best.inflight {
			c.best = v.endpoint
		}
	}
	c.preferCanary()
}

// consider takes an endpoint if it costs less than the current choice.
func (c *choice) consider(p *costModel, v *view, cached int) {
	cost, est := p.costAt(v, cached)
	if p.mustEnd && est.total > p.deadlineLeft {
		c.isTooSlow = true
		return
	}
	if cost < c.cost {
		c.best, c.est, c.cost = v.endpoint, est, cost
	}
}

// considerHolders considers the endpoints that probably have part of the prompt
// cached. A full one may be worth a short wait.
func (s *State) considerHolders(p *costModel, k *ticket, belowTop bool, c *choice, now event.Time) {
	minFullCost := math.Inf(1)
	for _, h := range s.prefix.search(k.Prefix, k.PromptTokens) {
		v := &s.views[h.endpoint.index]
		switch {
		case k.Bound && h.endpoint.Version != k.Version:
		case v.hasCooldowns && v.inCooldownFor(now, k.entry):
		case v.isCanary: // it was considered without its cache
		case v.free > 0 && !(belowTop && v.free <= v.reserved):
			c.consider(p, v, h.cached)
		case h.endpoint.isAvailable(now):
			cost, _ := p.costAt(v, h.cached)
			minFullCost = min(minFullCost, cost)
		}
	}
	mayWait := now.Sub(k.arrived) < holderWaitTime && c.est.total*estimateMargin+holderWaitTime.Seconds() < c.timeLeft
	c.waitForHolder = mayWait && minFullCost+holderMinSaving < c.cost
}
