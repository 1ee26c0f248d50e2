// SPDX-License-Identifier: MIT

package cluster

import (
	"slices"
	"strings"
	"testing"

	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/registry"
	"lynxramp.org/rollout"
	"lynxramp.org/routing"
)

// simRolloutLimits are the bounds of exposure in simulations.
var simRolloutLimits = rollout.Limits{Share: 0.1, Slack: 50}

// simRolloutSettings are simSettings with roll-outs.
func simRolloutSettings(seed uint64) Settings {
	s := simSettings(seed)
	s.Rollouts = &simRolloutLimits
	return s
}

// simOrder is the order of most tests.
var simOrder = rollout.Order{Service: "s", Version: "v2", Duration: 12 * event.Second}

// newRolloutSim returns a group with roll-outs and a configuration with service s.
func newRolloutSim(t *testing.T, boxes int) *sim {
	s := newSim(t, boxes, 0)
	s.settings = simRolloutSettings
	for _, name := range s.order {
		s.stop(name)
		s.restart(name)
	}
	s.run(2 * event.Second)
	s.put(s.mustOwner(), 1)
	s.run(100 * event.Millisecond)
	return s
}

// submitOrder submits an order to a box and returns the id of the call.
func (s *sim) submitOrder(b *simBox, o rollout.Order) CallID {
	s.lastCall++
	s.step(b, &RolloutSubmitted{CallID: s.lastCall, Order: o})
	return s.lastCall
}

// mustOrder submits an order to the owner and checks its status.
func (s *sim) mustOrder(o rollout.Order, want Status) {
	s.t.Helper()
	call := s.submitOrder(s.mustOwner(), o)
	s.run(200 * event.Millisecond)
	if got := s.answers[call].Status; got != want {
		s.t.Errorf("order %+v: status %d, want %d", o, got, want)
	}
}

// readRollout reads the roll-out of a service from the owner.
func (s *sim) readRollout(service string) Answer {
	s.t.Helper()
	s.lastCall++
	s.step(s.mustOwner(), &RolloutRequested{CallID: s.lastCall, Service: service})
	return s.answers[s.lastCall]
}

// TestOrderIsAcknowledgedOnceCommitted guards against an acknowledgement of an order that a loss of the owner
// would undo, and against a refusal of the same order, sent again meanwhile or later.
func TestOrderIsAcknowledgedOnceCommitted(t *testing.T) {
	s := newRolloutSim(t, 3)
	owner := s.mustOwner()
	s.isCut = func(one, other string) bool { return one == owner.name || other == owner.name }
	first, again := s.submitOrder(owner, simOrder), s.submitOrder(owner, simOrder)
	s.run(50 * event.Millisecond)
	if len(s.answers[first].LeaderAddress) > 0 || s.answers[first].Status != 0 || s.answers[again].Status != 0 {
		t.Errorf("answers %+v and %+v before the order is on a quorum", s.answers[first], s.answers[again])
	}
	s.isCut = func(string, string) bool { return false }
	s.run(300 * event.Millisecond)
	if s.answers[first].Status != StatusDone || s.answers[again].Status != StatusDone {
		t.Errorf("answers %+v and %+v", s.answers[first], s.answers[again])
	}
	s.mustOrder(simOrder, StatusDone)
	if r, ok := s.mustOwner().state.machine.rollouts.Get("s"); !ok || r.Order != simOrder || r.Number != 1 {
		t.Errorf("the log has %+v, %v", r, ok)
	}
}

// TestOrderConflicts guards against a second order for a service in progress, and against keeping anything of it.
func TestOrderConflicts(t *testing.T) {
	s := newRolloutSim(t, 3)
	other := simOrder
	other.Version = "v3"
	first, second := s.submitOrder(s.mustOwner(), simOrder), s.submitOrder(s.mustOwner(), other)
	s.run(200 * event.Millisecond)
	if s.answers[first].Status != StatusDone || s.answers[second].Status != StatusConflict {
		t.Errorf("answers %+v and %+v of raced orders", s.answers[first], s.answers[second])
	}
	s.mustOrder(other, StatusConflict)
	longer := simOrder
	longer.Duration++
	s.mustOrder(longer, StatusConflict)
	s.mustOrder(rollout.Order{Service: "none", Version: "v2", Duration: event.Second}, StatusUnknownService)
	if got := s.mustOwner().state.machine.rollouts.Services(); !slices.Equal(got, []string{"s"}) {
		t.Errorf("the log has orders for %v", got)
	}
	if a := s.readRollout("s"); a.Status != StatusDone || a.Rollout.Order != simOrder || a.Rollout.Phase != rollout.PhaseCanary {
		t.Errorf("read %+v", a)
	}
	if a := s.readRollout("none"); a.Status != StatusNoRollout {
		t.Errorf("read %+v for a service without an order", a)
	}
}

// TestOrderSurvivesOwnersAndRestarts guards against losing an order, its elapsed time or its end.
func TestOrderSurvivesOwnersAndRestarts(t *testing.T) {
	s := newRolloutSim(t, 3)
	s.compactThreshold = 1 // snapshots after each entry
	s.mustOrder(simOrder, StatusDone)
	for round := range 3 {
		if owner := s.mustOwner(); round < 2 {
			s.stop(owner.name)
			s.run(2 * event.Second)
			s.restart(owner.name)
		} else {
			for _, name := range s.order {
				s.stop(name)
			}
			for _, name := range s.order {
				s.restart(name)
			}
			s.run(2 * event.Second)
		}
		s.mustOrder(simOrder, StatusDone)
		if a := s.readRollout("s"); a.Rollout.Order != simOrder || a.Rollout.Number != 1 {
			t.Fatalf("round %d: read %+v", round, a)
		}
	}
	s.run(simOrder.Duration - 5*event.Second)
	if a := s.readRollout("s"); a.Rollout.Phase != rollout.PhaseRolledBack {
		t.Errorf("an order without endpoints of the version is %+v after its deadline", a.Rollout)
	}
	for _, name := range s.order {
		s.stop(name)
	}
	for _, name := range s.order {
		s.restart(name)
	}
	s.run(2 * event.Second)
	if a := s.readRollout("s"); a.Rollout.Phase != rollout.PhaseRolledBack {
		t.Errorf("the end was lost: %+v", a.Rollout)
	}
}

// TestOrderDuringChangeOfOwner guards against a false acknowledgement: an order that a partitioned owner took is
// either lost, and then not acknowledged, or committed.
func TestOrderDuringChangeOfOwner(t *testing.T) {
	s := newRolloutSim(t, 3)
	old := s.mustOwner()
	s.isCut = func(one, other string) bool { return one == old.name || other == old.name }
	lost := s.submitOrder(old, simOrder)
	s.run(3 * event.Second)
	if got := s.answers[lost].Status; got != StatusUnknown {
		t.Errorf("an order at a partitioned owner has status %d", got)
	}
	late := s.submitOrder(old, simOrder)
	if got := s.answers[late].Status; got == StatusDone {
		t.Error("a partitioned box acknowledged an order")
	}
	other := simOrder
	other.Version = "v3"
	s.mustOrder(other, StatusDone)
	s.isCut = func(string, string) bool { return false }
	s.run(event.Second)
	if a := s.readRollout("s"); a.Rollout.Order != other {
		t.Errorf("read %+v", a.Rollout)
	}
	for _, name := range s.order {
		b := s.boxes[name]
		if b == s.mustOwner() {
			continue
		}
		s.lastCall++
		s.step(b, &RolloutRequested{CallID: s.lastCall, Service: "s"})
		if a := s.answers[s.lastCall]; a.Status != StatusNotLeader || a.LeaderAddress == "" {
			t.Errorf("%s answers %+v, want a redirect", name, a)
		}
	}
}

// TestRemovedServiceRollsBack guards against an order in progress for a service that no longer exists, and against its
// version being used when the service returns.
func TestRemovedServiceRollsBack(t *testing.T) {
	s := newRolloutSim(t, 3)
	s.mustOrder(simOrder, StatusDone)
	s.settings = func(seed uint64) Settings {
		c := simRolloutSettings(seed)
		c.Decode = func([]byte) (*routing.Table, error) {
			t := &routing.Table{Services: []routing.Service{{Name: "other"}}}
			t.Index()
			return t, nil
		}
		return c
	}
	s.put(s.mustOwner(), 2)
	s.run(event.Second)
	if a := s.readRollout("s"); a.Rollout.Phase != rollout.PhaseRolledBack {
		t.Errorf("the order is %+v", a.Rollout)
	}
	s.mustOrder(simOrder, StatusDone) // the acknowledged order, sent again
	s.settings = simRolloutSettings
	s.put(s.mustOwner(), 3)
	s.run(event.Second)
	if use := s.mustOwner().state.owner.rollouts.useOf(versionKey{"s", "v2"}); use.Cause != rollout.CauseRolledBack {
		t.Errorf("use of v2 is %+v once the service is back", use)
	}
}

// newSimOfLevel starts a group of boxes that support a format version.
func newSimOfLevel(t testing.TB, l level.Level) *sim {
	s := newSim(t, 3, 0)
	for _, name := range s.order {
		b := s.boxes[name]
		s.stop(name)
		b.formatVersion = l
		b.disk.restored.Snapshot.Data = (&stateMachine{formatVersion: l}).snapshot()
		s.restart(name)
	}
	s.run(2 * event.Second)
	return s
}

// TestRolloutsOffWriteNothing guards against new encodings in the log of a deployment without roll-outs: it has no
// orders, and no versions of endpoints before all boxes bind streams to them.
func TestRolloutsOffWriteNothing(t *testing.T) {
	for _, l := range []level.Level{level.Rollouts, level.Versions} {
		s := newSimOfLevel(t, l)
		s.put(s.mustOwner(), 1)
		s.heartbeat(s.mustOwner(), registry.Endpoint{ID: "e", Service: "s", Address: "a", Slots: 1, Sequence: 1, Version: "v1"})
		s.mustOrder(simOrder, StatusUnknown)
		m := &s.mustOwner().state.machine
		if e := m.registry.Endpoints["e"]; (e.Version == "") != (l < level.Versions) || e.Slots != 1 {
			t.Errorf("level %d: the log has %+v", l, e)
		}
		if data := string(m.snapshot()); (strings.Contains(data, "v1") || strings.Contains(data, "version")) != (l >= level.Versions) || strings.Contains(data, "newest") {
			t.Errorf("level %d: the snapshot is %s", l, data)
		}
		if m.formatVersion != l {
			t.Errorf("level %d: format version %d", l, m.formatVersion)
		}
	}
}
