// SPDX-License-Identifier: MIT

package control

import (
	"slices"

	"lynxramp.org/event"
	"lynxramp.org/sched"
)

// changePools makes the schedulers fit the catalog that is applied.
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
		s.names = append(s.names, p.Name)
	}
	slices.Sort(s.names)
}

// stepPools hands an event to the schedulers that it concerns.
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
			s.keys.voided(e.ID)
		}
	case *event.SlotReported:
		s.keys.report(e.Report)
		s.stepPool(now, e.Report.Pool, e, out)
	case *event.EntryHeartbeat:
		s.seen[e.Entry] = boxSeen{version: e.Version, at: now}
		s.stepAll(now, e, out)
	case *event.DrainListUpdated:
		s.stepAll(now, e, out)
	case *event.Tick:
		s.stepAll(now, e, out)
		s.keys.sweep(now)
	}
	for _, g := range out.Grants[granted:] {
		s.keys.granted(g, out)
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
	for _, name := range s.names {
		s.pools[name].Step(now, e, &out.Effects)
	}
}

// stepPool hands an event to one pool's scheduler.
func (s *State) stepPool(now event.Time, pool string, e event.Event, out *Effects) {
	if p, ok := s.pools[pool]; ok {
		p.Step(now, e, &out.Effects)
	}
}

// submit registers a request; one with a key first has to claim it.
func (s *State) submit(now event.Time, e *event.Submitted, out *Effects) {
	if _, ok := s.pools[e.Ticket.Pool]; !ok {
		refuse(e, event.ReasonNoPool, out)
		return
	}
	if e.Ticket.Key != "" && !s.holdsKey(now, e, out) {
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
