// SPDX-License-Identifier: MIT

package control

import (
	"slices"

	"lynxramp.org/event"
	"lynxramp.org/sched"
)

// changePools creates and updates the schedulers after the applied catalog.
func (s *State) changePools(now event.Time, out *Effects) {
	c, version := s.machine.Catalog()
	if version == s.version {
		return
	}
	s.version = version
	out.NewCatalog = true
	for _, p := range c.Pools {
		q := p.SchedulerPool()
		if pool, ok := s.pools[p.Name]; ok {
			pool.Step(now, &event.PoolChanged{Pool: q}, &out.Effects)
			continue
		}
		s.pools[p.Name] = sched.New(now, q, s.seed)
		s.poolNames = append(s.poolNames, p.Name)
	}
	slices.Sort(s.poolNames)
}

// stepPools passes an event to the schedulers that it concerns.
func (s *State) stepPools(now event.Time, e event.Event, out *Effects) {
	refused, dropped := len(out.Refusals), len(out.Dropped)
	granted := len(out.Grants)
	switch e := e.(type) {
	case *event.Submitted:
		s.submit(now, e, out)
	case *event.Withdrawn:
		s.stepPool(now, e.Pool, e, out)
		s.releaseKey(e.ID, out)
	case *event.Finished:
		s.stepPool(now, e.Pool, e, out)
		if e.Void {
			s.keys.clearGrant(e.ID)
		}
	case *event.SlotReported:
		s.keys.recordRunning(e.Report)
		s.stepPool(now, e.Report.Pool, e, out)
	case *event.EntryHeartbeat:
		s.entries[e.Entry] = entryStatus{version: e.Version, lastHeartbeat: now}
		s.stepAll(now, e, out)
	case *event.DrainListUpdated:
		s.stepAll(now, e, out)
	case *event.Tick:
		s.stepAll(now, e, out)
		s.keys.expire(now)
	}
	for _, g := range out.Grants[granted:] {
		s.keys.recordGrant(g, out)
	}
	for _, r := range out.Refusals[refused:] {
		s.releaseKey(r.ID, out)
	}
	for _, id := range out.Dropped[dropped:] {
		s.releaseKey(id, out)
	}
	s.proposeClaims(now, out)
}

func (s *State) stepAll(now event.Time, e event.Event, out *Effects) {
	for _, name := range s.poolNames {
		s.pools[name].Step(now, e, &out.Effects)
	}
}

// stepPool passes an event to one pool's scheduler.
func (s *State) stepPool(now event.Time, pool string, e event.Event, out *Effects) {
	if p, ok := s.pools[pool]; ok {
		p.Step(now, e, &out.Effects)
	}
}

// submit passes a request to its pool; a request with a key has to claim it first.
func (s *State) submit(now event.Time, e *event.Submitted, out *Effects) {
	if _, ok := s.pools[e.Ticket.Pool]; !ok {
		refuse(e, event.ReasonNoPool, out)
		return
	}
	if e.Ticket.Key != "" && !s.checkKey(now, e, out) {
		return
	}
	s.stepPool(now, e.Ticket.Pool, e, out)
}

func refuse(e *event.Submitted, why event.Reason, out *Effects) {
	out.Refusals = append(out.Refusals, event.Refused{
		Entry:      e.Entry,
		ID:         e.Ticket.ID,
		Reason:     why,
		RetryAfter: sched.MinRetryAfter,
	})
}
