// SPDX-License-Identifier: MIT

package cluster

import (
	"bytes"
	"os"
	"slices"
	"testing"

	"lynxramp.org/affinity"
	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/message"
	"lynxramp.org/registry"
	"lynxramp.org/rollout"
)

// TestEntriesReceiveRestrictions guards against an entry that may use an unproved version by itself: it must get
// the restriction with the endpoint, one of an earlier build as a draining endpoint.
func TestEntriesReceiveRestrictions(t *testing.T) {
	s := newRolloutSim(t, 3)
	owner := s.mustOwner()
	s.step(owner, &SessionOpened{FormatVersion: level.Rollouts, Session: 1, Hello: message.Hello{Entry: "new"}})
	s.step(owner, &SessionOpened{FormatVersion: level.Feedback, Session: 2, Hello: message.Hello{Entry: "old"}})
	s.heartbeat(owner, registry.Endpoint{ID: "e1", Service: "s", Address: "a", Slots: 1, Sequence: 1, Version: "v1"})
	s.mustOrder(simOrder, StatusDone)
	s.heartbeat(owner, registry.Endpoint{ID: "e2", Service: "s", Address: "b", Slots: 1, Sequence: 1, Version: "v2"})
	s.run(affinity.AdmissionDelay + 200*event.Millisecond) // no entry gives its lease back earlier
	s.step(owner, &SessionOpened{FormatVersion: level.Rollouts, Session: 3, Hello: message.Hello{Entry: "new2"}})
	s.step(owner, &SessionOpened{FormatVersion: level.Feedback, Session: 4, Hello: message.Hello{Entry: "old2", Revision: owner.state.machine.registry.Revision}})
	for session, isOld := range map[SessionID]bool{1: false, 2: true, 3: false, 4: true} {
		leaving, restricted := map[string]bool{}, []message.Restriction(nil)
		for _, m := range s.sends[session] {
			if m.View == nil {
				continue
			}
			list, err := m.View.DecodeEndpoints()
			if err != nil {
				t.Fatal(err)
			}
			if m.View.Restrictions != nil {
				restricted = m.View.Restrictions.List
			}
			for _, e := range list {
				leaving[e.ID] = e.Leaving
				if e.ID == "e2" && !isOld && (len(restricted) != 1 || e.Version != "v2") {
					t.Errorf("session %d got %+v with the restrictions %+v", session, e, restricted)
				}
			}
		}
		if _, ok := leaving["e2"]; !ok || leaving["e1"] || leaving["e2"] != isOld {
			t.Errorf("session %d got draining endpoints %v", session, leaving)
		}
		want := []message.Restriction{{Service: "s", Version: "v2", Mode: event.ModeCanary}}
		if isOld {
			want = nil
		}
		if !slices.Equal(restricted, want) {
			t.Errorf("session %d got the restrictions %+v", session, restricted)
		}
	}
}

// TestEntriesMayNotUseAnotherVersionBeforeItsOrder guards against an entry that loses the owner before it hears of an
// order, and sends the new version its share of the requests: it must be restricted from its first heartbeat on, at the
// entries, while the owner may use it.
func TestEntriesMayNotUseAnotherVersionBeforeItsOrder(t *testing.T) {
	s := newRolloutSim(t, 3)
	owner := s.mustOwner()
	s.step(owner, &SessionOpened{FormatVersion: level.Rollouts, Session: 1, Hello: message.Hello{Entry: "entry"}})
	s.heartbeat(owner, registry.Endpoint{ID: "e1", Service: "s", Address: "a", Slots: 1, Sequence: 1, Version: "v1"})
	s.run(200 * event.Millisecond)
	s.heartbeat(owner, registry.Endpoint{ID: "e2", Service: "s", Address: "b", Slots: 1, Sequence: 1, Version: "v2"})
	s.run(affinity.AdmissionDelay + 200*event.Millisecond)
	var restricted []message.Restriction
	for _, m := range s.sends[1] {
		if m.View == nil {
			continue
		}
		if m.View.Restrictions != nil {
			restricted = m.View.Restrictions.List
		}
		list, err := m.View.DecodeEndpoints()
		if err != nil {
			t.Fatal(err)
		}
		if slices.ContainsFunc(list, func(e message.Endpoint) bool { return e.ID == "e2" }) && len(restricted) != 1 {
			t.Errorf("the entry got the endpoint before its restriction %+v", restricted)
		}
	}
	if want := []message.Restriction{{Service: "s", Version: "v2", Mode: event.ModeCanary}}; !slices.Equal(restricted, want) {
		t.Errorf("the entry got the restrictions %+v", restricted)
	}
	if mode := owner.state.owner.modeOf(owner.state.machine.registry.Endpoints["e2"]); mode != event.ModeNormal {
		t.Errorf("the owner has mode %s before the order", mode)
	}
}

// TestProposedOrderBlocksItsVersion guards against requests of the new version between an order and its commit, which
// count for its exposure.
func TestProposedOrderBlocksItsVersion(t *testing.T) {
	s := newRolloutSim(t, 3)
	owner := s.mustOwner()
	s.heartbeat(owner, registry.Endpoint{ID: "e1", Service: "s", Address: "a", Slots: 1, Sequence: 1, Version: "v1"})
	s.heartbeat(owner, registry.Endpoint{ID: "e2", Service: "s", Address: "b", Slots: 1, Sequence: 1, Version: "v2"})
	s.run(affinity.AdmissionDelay + 200*event.Millisecond)
	mode := func() event.EndpointMode {
		return owner.state.owner.modeOf(owner.state.machine.registry.Endpoints["e2"])
	}
	s.submitOrder(owner, simOrder)
	if got := mode(); got != event.ModeBlocked {
		t.Errorf("mode %s before the order is committed", got)
	}
	s.run(200 * event.Millisecond)
	if got := mode(); got != event.ModeCanary {
		t.Errorf("mode %s after the order is committed", got)
	}
}

// TestEntriesMayUseWhatReplacedTheCompletedVersion guards against entries that have no endpoint once they lose the
// owner: the endpoints of the version that the last order completed were all replaced by another one without an order.
func TestEntriesMayUseWhatReplacedTheCompletedVersion(t *testing.T) {
	s := newRolloutSim(t, 3)
	owner := s.mustOwner()
	s.heartbeat(owner, registry.Endpoint{ID: "e2", Service: "s", Address: "b", Slots: 1, Sequence: 1, Version: "v2"})
	s.run(200 * event.Millisecond)
	s.mustOrder(simOrder, StatusDone) // completed at once: there is no other version
	restricted := func() int { return len(owner.state.owner.restrictions().List) }
	s.heartbeat(owner, registry.Endpoint{ID: "e3", Service: "s", Address: "c", Slots: 1, Sequence: 1, Version: "v3"})
	s.run(200 * event.Millisecond)
	if n := restricted(); n != 1 {
		t.Errorf("%d versions are restricted beside the completed one, want 1", n)
	}
	s.lastCall++
	s.step(owner, &EndpointRemoved{CallID: s.lastCall, Name: "e2"})
	s.run(200 * event.Millisecond)
	if n := restricted(); n != 0 {
		t.Errorf("%d versions are restricted where no endpoint has the completed one, want 0", n)
	}
}

// TestStandingEndpointsAreUsedAgainAfterCompletion guards against endpoints that get nothing for good: those of another
// version than the completed one get nothing while they have the time to stop, and stand on without any change.
func TestStandingEndpointsAreUsedAgainAfterCompletion(t *testing.T) {
	const stopTime = 30 * event.Second
	s := newRolloutSim(t, 3)
	owner := s.mustOwner()
	s.heartbeat(owner, registry.Endpoint{ID: "e2", Service: "s", Address: "b", Slots: 1, Sequence: 1, Version: "v2"})
	s.run(200 * event.Millisecond)
	s.mustOrder(simOrder, StatusDone) // completed at once: there is no other version
	s.heartbeat(owner, registry.Endpoint{ID: "e3", Service: "s", Address: "c", Slots: 1, Sequence: 1, Version: "v3"})
	s.run(affinity.AdmissionDelay + 200*event.Millisecond)
	if n := len(owner.state.owner.restrictions().List); n != 1 {
		t.Errorf("%d versions are restricted beside the completed one, want 1", n)
	}
	for sequence := uint64(2); s.now < event.Time(simOrder.Duration+stopTime+5*event.Second); sequence++ {
		s.heartbeat(owner, registry.Endpoint{ID: "e2", Service: "s", Address: "b", Slots: 1, Sequence: sequence, Version: "v2"})
		s.heartbeat(owner, registry.Endpoint{ID: "e3", Service: "s", Address: "c", Slots: 1, Sequence: sequence, Version: "v3"})
		s.run(event.Second)
	}
	for _, r := range owner.state.owner.rollouts.restricted {
		t.Errorf("mode %s, cause %s after the time to stop", r.Mode, r.Cause)
	}
	want := []message.Restriction{{Service: "s", Version: "v3", Mode: event.ModeCanary}} // entries without an owner
	if got := owner.state.owner.restrictions().List; !slices.Equal(got, want) {
		t.Errorf("entries have the restrictions %+v, want %+v", got, want)
	}
}

// TestEntriesMayUseTheVersionInUseAfterRollbacks guards against entries that have no endpoint once they lose the owner:
// the endpoints of versions that were rolled back have not changed for longest.
func TestEntriesMayUseTheVersionInUseAfterRollbacks(t *testing.T) {
	s := newRolloutSim(t, 3)
	owner := s.mustOwner()
	report := func(version string, sequence uint64, slots int) {
		s.heartbeat(owner, registry.Endpoint{ID: "e-" + version, Service: "s", Address: version, Slots: slots, Sequence: sequence, Version: version})
		s.run(200 * event.Millisecond)
	}
	report("v1", 1, 1)
	report("v2", 1, 1)
	report("v3", 1, 1)
	s.run(affinity.AdmissionDelay)
	for _, version := range []string{"v2", "v3"} {
		order := rollout.Order{Service: "s", Version: version, Duration: event.Second}
		s.mustOrder(order, StatusDone)
		s.run(order.Duration)
		if a := s.readRollout("s"); a.Rollout.Order != order || a.Rollout.Phase != rollout.PhaseRolledBack {
			t.Fatalf("the order of %s is %+v", version, a.Rollout)
		}
	}
	report("v1", 2, 2)
	want := []message.Restriction{{Service: "s", Version: "v2", Mode: event.ModeBlocked}, {Service: "s", Version: "v3", Mode: event.ModeBlocked}}
	if got := owner.state.owner.restrictions().List; !slices.Equal(got, want) {
		t.Errorf("entries have the restrictions %+v, want %+v", got, want)
	}
}

// TestEarlierSnapshotsKeepTheLastOrders guards against versions that were rolled back and are used again by the first
// owner of this build, as the snapshots of earlier builds have the last two orders only.
func TestEarlierSnapshotsKeepTheLastOrders(t *testing.T) {
	data, err := os.ReadFile("testdata/snapshots/82950f4")
	if err != nil {
		t.Fatal(err)
	}
	var m stateMachine
	if err := m.restore(data, level.Newest); err != nil || m.formatVersion != level.Versions {
		t.Fatalf("format version %d, error %v", m.formatVersion, err)
	}
	if !bytes.Equal(m.snapshot(), data) {
		t.Errorf("the snapshot of that build is %q, of this one for its level %q", data, m.snapshot())
	}
	for _, isRaised := range []bool{false, true} {
		if isRaised {
			m.observeFormat(level.PastOrders)
		}
		tracker := rollout.NewTracker(0, &m.rollouts, simRolloutLimits)
		for version, want := range map[string]event.EndpointMode{"v2": event.ModeBlocked, "v3": event.ModeCanary, "v1": event.ModeNormal} {
			if got := tracker.Mode("s", version); got != want {
				t.Errorf("raised %v: mode %v of %s, want %v", isRaised, got, version, want)
			}
		}
	}
}

// TestRestrictionIsLoggedUntilItEnds guards against a log that says that a version which was rolled back is used normally,
// as its endpoints have gone.
func TestRestrictionIsLoggedUntilItEnds(t *testing.T) {
	tracker := rollout.NewTracker(0, &rollout.Ledger{}, simRolloutLimits)
	order := func(now event.Time) {
		r, result := tracker.Submit(now, simOrder)
		if result != rollout.ResultPropose {
			t.Fatalf("result %v of an order", result)
		}
		tracker.Committed(now, r)
	}
	key := versionKey{simOrder.Service, simOrder.Version}
	p := &rolloutOwner{tracker: tracker}
	tracker.SetCapacity("s", "v1", 1)
	order(0)
	tracker.Cancel("s")
	for _, r := range tracker.Tick(0) {
		tracker.Committed(0, r)
	}
	now := event.Time(simOrder.Duration)
	for _, step := range []struct {
		name         string
		hasEndpoints bool
		do           func()
		want         []string
	}{
		{"it has endpoints", true, func() {}, []string{"rolled_back"}},
		{"they are gone", false, func() {}, nil},
		{"they are back", true, func() {}, nil},
		{"it is ordered again", true, func() { order(now) }, []string{"unproved"}},
	} {
		step.do()
		p.restricted = make(map[versionKey]rollout.Use)
		if step.hasEndpoints {
			p.restricted[key] = p.useOf(key)
		}
		var out Effects
		p.logRestrictions(&out)
		var causes []string
		for _, record := range out.LogRecords {
			for _, f := range record.Fields {
				if f.Name == "cause" {
					causes = append(causes, f.Value.(string))
				}
			}
		}
		if !slices.Equal(causes, step.want) {
			t.Errorf("%s: logged %q, want %q", step.name, causes, step.want)
		}
	}
}
