// SPDX-License-Identifier: MIT

package sched

import "lynxramp.org/event"

// refuseExpired refuses requests whose deadline has passed.
func (s *State) refuseExpired(now event.Time, out *event.Effects) {
	for k := s.queue.nextExpired(now); k != nil; k = s.queue.nextExpired(now) {
		s.refuse(now, k, event.ReasonDeadline, out)
	}
}

// schedule grants requests from the head of the queue while endpoints have free
// capacity. A request is skipped, up to a limit, if it would miss its deadline
// or target at the endpoints that are free now: another endpoint may be freed.
func (s *State) schedule(now event.Time, out *event.Effects) {
	s.skipped = s.skipped[:0]
	if s.maxSpeed == 0 {
		return // no endpoint is available
	}
	skipLimit := s.skipLimit()
	var full map[string]bool // versions without free capacity in this step
	for k := s.queue.first(); k != nil && len(s.skipped) < skipLimit; k = s.queue.first() {
		if k.Bound && full[k.Version] {
			s.skipBound(k)
			skipLimit++
			continue
		}
		c := s.chooseEndpoint(now, k)
		switch {
		case c.best == nil && k.Bound && len(k.Avoid) == 0 && !c.inCooldown && !c.isTooSlow && s.restricted == 0:
			// Requests of other versions must not wait behind those of one that is full.
			if full == nil {
				full = make(map[string]bool)
			}
			full[k.Version] = true
			s.skipBound(k)
			skipLimit++
		case c.best == nil && (k.Bound || len(k.Avoid) > 0 || c.inCooldown || c.isTooSlow):
			s.queue.detach(k)
			s.skipped = append(s.skipped, k)
		case c.best == nil:
			s.requeueSkipped()
			return
		case k.Target == 0 && c.minTime > c.timeLeft && s.outputLength(k.Service).hasEnoughSamples():
			// Not even the fastest endpoint can meet the deadline.
			s.refuse(now, k, event.ReasonDeadline, out)
		case c.waitForHolder, s.isWorthWaiting(k, &c), s.isFasterSoon(now, k, &c), k.Target == 0 && c.est.total*startMargin > c.timeLeft && s.outputLength(k.Service).hasEnoughSamples():
			s.queue.detach(k)
			s.skipped = append(s.skipped, k)
		default:
			s.grant(now, k, c.best, c.est, out)
		}
	}
	s.requeueSkipped()
}

// skipBound skips a resumed stream whose version has no free capacity.
func (s *State) skipBound(k *ticket) {
	s.queue.detach(k)
	s.skipped = append(s.skipped, k)
}

// skipLimit returns how many requests may be skipped in one step.
func (s *State) skipLimit() int { return min(maxSkipped, max(1, skipScanBudget/max(1, len(s.views)))) }

// requeueSkipped returns skipped requests to the queue.
func (s *State) requeueSkipped() {
	for _, k := range s.skipped {
		s.queue.insert(k)
	}
}

func (s *State) grant(now event.Time, k *ticket, e *endpoint, est estimate, out *event.Effects) {
	usualFirst := event.Duration(0)
	if s.restricted > 0 {
		usualFirst = s.usualFirst(k, e, est.cached)
	}
	s.queue.remove(k)
	s.queue.charge(k, s.chargeOf(k, est))
	g := &grant{
		endpoint:        e,
		entry:           k.entry,
		at:              now,
		incarnation:     e.report.Incarnation,
		attempt:         k.Attempt,
		team:            k.Team,
		rank:            k.Rank,
		originalRank:    k.class.rank,
		service:         k.Service,
		requestedOutput: k.OutputTokens,
		tokenless:       k.OutputTokens == 0,
		prefillTokens:   k.PromptTokens - est.cached,
		prefillWork:     est.prefillWork,
		paced:           e.rateLimit.everSet,
	}
	if s.pool.ExpectedWork {
		g.expectedWork = s.profileWork(k)
	}
	e.rateLimit.take(now)
	s.takeCanary(e)
	s.prefix.add(e, k.Prefix)
	switch {
	case !s.pool.Discovered:
		e.prefillQueue.reserve(now, event.Duration(est.prefill*float64(event.Second)))
	case !g.tokenless:
		g.firstPrefill = len(e.prefillQueue.pending) == 0
		e.prefillQueue.add(now, g)
	}
	s.addGrant(k.ID, g)
	s.refreshView(now, e)
	s.grantRate.add(now, 1)
	s.queue.tier(k.Rank, k.precedence).grantedWork.add(now, k.runTime)
	if s.pool.ExpectedWork {
		k.class.sizes.granted[k.group].add(now, 1)
	}
	granted := g.effect(k.ID)
	granted.Inputs = event.Inputs{Running: e.inflight, Wait: event.Duration(est.latency * float64(event.Second)), UsualFirst: usualFirst}
	out.Grants = append(out.Grants, granted)
}

func (g *grant) effect(id event.RequestID) event.Granted {
	return event.Granted{
		Entry:       g.entry,
		ID:          id,
		Endpoint:    g.endpoint.ID,
		Address:     g.endpoint.report.Address,
		Incarnation: g.incarnation,
		Attempt:     g.attempt,
		Fresh:       g.endpoint.halfOpen,
		Paced:       g.paced,
	}
}

// shedOverflow refuses requests from the end of the queue while it exceeds
// MaxWaiting.
func (s *State) shedOverflow(now event.Time, out *event.Effects) {
	if now.Sub(s.started) < SettleTime {
		return
	}
	for s.queue.len() > s.pool.MaxWaiting {
		k := s.queue.last()
		s.refuse(now, k, event.ReasonShed, out)
	}
}

func (s *State) refuse(now event.Time, k *ticket, reason event.Reason, out *event.Effects) {
	if s.pool.ExpectedWork && reason == event.ReasonShed {
		s.refuseWithRetry(now, k, reason, s.retryAfterOwnWait(now, k), out)
		return
	}
	s.refuseWithRetry(now, k, reason, s.retryAfter(now), out)
}

// refuseWithRetry refuses a request with the given time to retry after.
func (s *State) refuseWithRetry(now event.Time, k *ticket, reason event.Reason, retryAfter event.Duration, out *event.Effects) {
	s.queue.remove(k)
	k.class.refused.add(now, 1)
	if s.pool.ExpectedWork {
		k.class.sizes.refused[k.group].add(now, 1)
	}
	s.refused[Group{Team: k.Team, Rank: k.Rank, Reason: reason}]++
	out.Refusals = append(out.Refusals, event.Refused{
		Entry:      k.entry,
		ID:         k.ID,
		Reason:     reason,
		RetryAfter: retryAfter,
		Inputs:     s.refusalInputs(now, k),
	})
}

// refusalInputs returns the figures that a refusal is based on.
func (s *State) refusalInputs(now event.Time, k *ticket) event.Inputs {
	inputs := event.Inputs{Ahead: s.queue.len(), Wait: s.expectedWait(now, k)}
	if s.pool.ExpectedWork {
		inputs.Run = event.Duration(k.runTime * float64(event.Second))
		inputs.RunError = k.class.workRatio.deviation()
		inputs.Work = k.group
	}
	return inputs
}

// retryAfter returns the time the queue takes to drain, with jitter so that
// requests refused together are not retried together.
func (s *State) retryAfter(now event.Time) event.Duration {
	wait := MinRetryAfter
	if rate := s.grantRate.perSecond(now); rate > 0 {
		wait = event.Duration(float64(s.queue.len()) / rate * float64(event.Second))
	}
	return min(max(s.addJitter(wait), MinRetryAfter), MaxRetryAfter)
}

// addJitter lengthens a wait by a random fraction of up to a quarter.
func (s *State) addJitter(wait event.Duration) event.Duration {
	return wait + event.Duration(s.random.Float64()/4*float64(wait))
}
