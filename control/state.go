// SPDX-License-Identifier: MIT

package control

import (
	"lynxramp.org/event"
	"lynxramp.org/sched"
)

// State is the root reducer of a box: the schedulers of the pools it owns.
type State struct {
	seed  uint64
	pools map[string]*sched.State
	names []string // of the pools, in the order in which they came
}

// NewState returns a State that owns no pool.
func NewState(seed uint64) *State {
	return &State{seed: seed, pools: make(map[string]*sched.State)}
}

// Step takes one event and adds to out what follows from it.
func (s *State) Step(now event.Time, e event.Event, out *event.Effects) {
	switch e := e.(type) {
	case *event.PoolChanged:
		s.changePool(now, e, out)
	case *event.Submitted:
		s.submit(now, e, out)
	case *event.Withdrawn:
		s.stepPool(now, e.Pool, e, out)
	case *event.Finished:
		s.stepPool(now, e.Pool, e, out)
	case *event.SlotReported:
		s.stepPool(now, e.Report.Pool, e, out)
	default:
		for _, name := range s.names {
			s.pools[name].Step(now, e, out)
		}
	}
}

// Pool returns the scheduler of a pool; nil if this box does not own it.
func (s *State) Pool(name string) *sched.State { return s.pools[name] }

func (s *State) changePool(now event.Time, e *event.PoolChanged, out *event.Effects) {
	if p, ok := s.pools[e.Pool.Name]; ok {
		p.Step(now, e, out)
		return
	}
	s.pools[e.Pool.Name] = sched.New(now, e.Pool, s.seed)
	s.names = append(s.names, e.Pool.Name)
}

func (s *State) submit(now event.Time, e *event.Submitted, out *event.Effects) {
	p, ok := s.pools[e.Ticket.Pool]
	if !ok {
		out.Refusals = append(out.Refusals, event.Refused{
			Entry:      e.Entry,
			ID:         e.Ticket.ID,
			Reason:     event.ReasonNoPool,
			RetryAfter: sched.MinRetryAfter,
		})
		return
	}
	p.Step(now, e, out)
}

// stepPool hands e to the scheduler of a pool, if this box owns it.
func (s *State) stepPool(now event.Time, pool string, e event.Event, out *event.Effects) {
	if p, ok := s.pools[pool]; ok {
		p.Step(now, e, out)
	}
}
