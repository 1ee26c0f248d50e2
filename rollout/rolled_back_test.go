// SPDX-License-Identifier: MIT

package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lynxramp.org/event"
)

// versionsSim serves a service whose endpoints have several versions, through a series of orders.
type versionsSim struct {
	t     rapid.TB
	now   event.Time
	owner *owner
	slots map[string]int
	// failing are the versions of which all responses fail.
	failing map[string]bool
	// received counts the requests of each version, and unserved those without a version in use.
	received map[string]int
	unserved int
	sent     int
	inFlight []Sample
}

func newVersionsSim(t rapid.TB, versions ...string) *versionsSim {
	w := &versionsSim{t: t, slots: make(map[string]int), failing: make(map[string]bool), received: make(map[string]int)}
	w.owner = &owner{Tracker: NewTracker(0, &Ledger{}, testLimits), ledger: &Ledger{}}
	w.owner.ledger.KeepPastOrders()
	for _, version := range versions {
		w.start(version)
	}
	return w
}

// start starts endpoints of a version, and stop removes them.
func (w *versionsSim) start(version string) { w.setSlots(version, 10) }
func (w *versionsSim) stop(version string)  { w.setSlots(version, 0) }

func (w *versionsSim) setSlots(version string, slots int) {
	w.slots[version] = slots
	w.owner.SetCapacity("s", version, slots)
}

// replaceOwner starts a new owner from a snapshot.
func (w *versionsSim) replaceOwner() {
	data, err := json.Marshal(w.owner.ledger)
	if err != nil {
		w.t.Fatal(err)
	}
	var ledger Ledger
	if err := json.Unmarshal(data, &ledger); err != nil {
		w.t.Fatal(err)
	}
	ledger.KeepPastOrders()
	ledger.MarkReceived(w.now)
	w.owner = &owner{Tracker: NewTracker(w.now, &ledger, testLimits), ledger: &ledger}
	for version, slots := range w.slots {
		w.owner.SetCapacity("s", version, slots)
	}
	w.inFlight = nil
}

// order orders a version.
func (w *versionsSim) order(version string) Result {
	r, result := w.owner.Submit(w.now, Order{Service: "s", Version: version, Duration: testOrder.Duration})
	if result == ResultPropose {
		w.owner.commit(w.now, r)
	}
	return result
}

func (w *versionsSim) mustOrder(version string) {
	if result := w.order(version); result != ResultPropose {
		w.t.Fatalf("order of %s: result %d, want a proposal", version, result)
	}
}

// run serves 100 requests a second for a time. A response arrives 100 ms after its request.
func (w *versionsSim) run(d event.Duration) {
	for end := w.now.Add(d); w.now < end; w.now = w.now.Add(10 * event.Millisecond) {
		w.send()
		if len(w.inFlight) > 10 {
			w.owner.Observe(w.inFlight[0])
			w.inFlight = w.inFlight[1:]
		}
		if event.Duration(w.now)%tick == 0 {
			w.owner.tick(w.now)
		}
	}
}

func (w *versionsSim) send() {
	w.sent++
	var inUse []string
	for _, version := range slices.Sorted(maps.Keys(w.slots)) {
		if w.slots[version] == 0 {
			continue
		}
		switch w.owner.Mode("s", version) {
		case event.ModeNormal:
			inUse = append(inUse, version)
		case event.ModeCanary:
			if w.owner.Allowance("s") > 0 {
				w.sendTo(version)
				return
			}
		}
	}
	if len(inUse) == 0 {
		w.unserved++
		return
	}
	w.sendTo(inUse[w.sent%len(inUse)])
}

func (w *versionsSim) sendTo(version string) {
	w.received[version]++
	w.owner.Granted("s", version)
	w.inFlight = append(w.inFlight, Sample{
		Service: "s", Version: version, Route: "r", Endpoint: event.EndpointID(fmt.Sprint(version, "-", w.sent%4)), Failed: w.failing[version],
		First: event.Second, ExpectedFirst: event.Second,
	})
}

// runUntilEnd runs until the newest order ended, and returns its phase.
func (w *versionsSim) runUntilEnd() Phase {
	for range 300 {
		w.run(tick)
		if r, _ := w.owner.ledger.Get("s"); r.Phase.IsFinal() {
			return r.Phase
		}
	}
	w.t.Fatal("the order did not end")
	return 0
}

// mustEnd runs until the newest order ended, and checks its phase.
func (w *versionsSim) mustEnd(want Phase) {
	if got := w.runUntilEnd(); got != want {
		e, _ := w.owner.Evidence("s")
		w.t.Fatalf("the order is %v, want %v: %+v", got, want, e)
	}
}

// rollBack orders a version of which all responses fail, until it is rolled back.
func (w *versionsSim) rollBack(version string) {
	w.failing[version] = true
	w.start(version)
	w.mustOrder(version)
	w.mustEnd(PhaseRolledBack)
}

// mustGetNothing checks that a version gets no request while a function runs.
func (w *versionsSim) mustGetNothing(version string, run func()) {
	before := w.received[version]
	run()
	if n := w.received[version] - before; n > 0 {
		w.t.Fatalf("%d requests reached %s, which was rolled back and not ordered again", n, version)
	}
}

// TestRolledBackVersionGetsNothingDuringLaterOrders guards against a version that was rolled back and is used again
// because another one was ordered: while that order is in progress, once it has ended, and at a new owner.
func TestRolledBackVersionGetsNothingDuringLaterOrders(t *testing.T) {
	for _, next := range []string{"v1", "v3"} {
		t.Run(next, func(t *testing.T) {
			w := newVersionsSim(t, "v1")
			w.run(event.Second)
			w.rollBack("v2")
			w.mustGetNothing("v2", func() {
				w.run(event.Second)
				w.start("v3")
				w.mustOrder(next)
				w.run(event.Second)
				w.replaceOwner()
				w.mustEnd(PhaseCompleted)
				w.run(testOrder.Duration + oldStopTime + event.Second)
				w.replaceOwner()
				w.run(event.Second)
			})
		})
	}
}

// TestAllRolledBackVersionsAreKept guards against a version that is used again once enough others were rolled back.
func TestAllRolledBackVersionsAreKept(t *testing.T) {
	w := newVersionsSim(t, "v1")
	for i := range maxRolledBack {
		version := fmt.Sprint("bad", i)
		w.rollBack(version)
		w.replaceOwner()
		w.run(event.Second)
	}
	for i := range maxRolledBack {
		w.mustGetNothing(fmt.Sprint("bad", i), func() { w.run(event.Second) })
	}
	if n := len(w.owner.ledger.lines["s"].RolledBack); n != maxRolledBack {
		t.Errorf("%d versions are kept, want %d", n, maxRolledBack)
	}
	w.rollBack("another")
	if n := len(w.owner.ledger.lines["s"].RolledBack); n != maxRolledBack {
		t.Errorf("%d versions are kept, want at most %d", n, maxRolledBack)
	}
}

// TestRolledBackVersionOrderedAgainIsUnproved guards against a version that can't be ordered again after a roll-back,
// and against one that is completed without being judged as it has the only endpoints.
func TestRolledBackVersionOrderedAgainIsUnproved(t *testing.T) {
	for _, isOnly := range []bool{false, true} {
		w := newVersionsSim(t, "v1")
		w.rollBack("v2")
		w.run(resendTime)
		w.failing["v2"] = false
		if isOnly {
			w.stop("v1")
		}
		w.mustOrder("v2")
		if mode := w.owner.Mode("s", "v2"); mode != event.ModeCanary {
			t.Errorf("only %v: mode %v, want canary", isOnly, mode)
		}
		w.mustEnd(PhaseCompleted)
	}
}

// TestGoodVersionAfterBadOnes guards against a good version that is rolled back because it is held against the
// responses and the capacity of versions that were rolled back before.
func TestGoodVersionAfterBadOnes(t *testing.T) {
	w := newVersionsSim(t, "v1")
	for _, bad := range []string{"v2", "v3", "v4"} {
		w.rollBack(bad)
	}
	w.start("v9")
	w.mustOrder("v9")
	w.mustEnd(PhaseCompleted)
	if e, _ := w.owner.Evidence("s"); e.ControlFailed > 0 {
		t.Errorf("v9 was compared with %d failed responses of versions that were rolled back", e.ControlFailed)
	}
}

// TestLateResponsesAreNoEvidence guards against a bad version that passes because it is compared with the responses of
// one that was rolled back, to requests that were sent before.
func TestLateResponsesAreNoEvidence(t *testing.T) {
	w := newVersionsSim(t, "v1")
	w.rollBack("v2")
	w.start("v3")
	w.mustOrder("v3")
	for range 20 {
		w.owner.Observe(Sample{Service: "s", Version: "v2", Route: "r", Endpoint: "v2-0", Failed: true})
	}
	if e, _ := w.owner.Evidence("s"); e.ControlFailed > 0 {
		t.Errorf("v3 is compared with %d late responses of v2", e.ControlFailed)
	}
}

// TestVersionInUseIsOrderedAfterRollback guards against a service whose only version in use is limited to the
// exposure of an unproved one by an order for it.
func TestVersionInUseIsOrderedAfterRollback(t *testing.T) {
	w := newVersionsSim(t, "v1")
	w.rollBack("v2")
	w.mustOrder("v1")
	w.run(event.Second)
	if w.unserved > 0 {
		t.Errorf("%d requests are not served", w.unserved)
	}
	if r, _ := w.owner.ledger.Get("s"); r.Phase != PhaseCompleted {
		t.Errorf("the order is %v, want it completed at once", r.Phase)
	}
}

// TestCompletedVersionIsOrderedAfterRollback guards against a proved version that is limited to the exposure of an
// unproved one, as the newest order was for another.
func TestCompletedVersionIsOrderedAfterRollback(t *testing.T) {
	w := newVersionsSim(t, "v1", "v2")
	w.mustOrder("v2")
	w.mustEnd(PhaseCompleted)
	w.stop("v1")
	w.rollBack("v3")
	w.run(oldStopTime + testOrder.Duration)
	w.start("v4")
	w.replaceOwner()
	w.mustOrder("v2")
	if mode := w.owner.Mode("s", "v2"); mode != event.ModeNormal {
		t.Errorf("mode %v, want normal", mode)
	}
}

// TestStoppingVersionGetsNothingDuringNextOrder guards against requests to endpoints that stop without draining, as
// their service was completed, because another version is ordered meanwhile.
func TestStoppingVersionGetsNothingDuringNextOrder(t *testing.T) {
	w := newVersionsSim(t, "v1", "v2")
	w.mustOrder("v2")
	w.mustEnd(PhaseCompleted)
	before := w.received["v1"]
	w.rollBack("v3")
	w.run(event.Second)
	w.replaceOwner()
	w.run(event.Second)
	if n := w.received["v1"] - before; n > 0 {
		t.Errorf("%d requests reached v1, whose endpoints are stopping", n)
	}
}

// TestNextOrderKeepsVersionsInUse guards against a version that is blocked for a moment when another is ordered, as if a
// completed order of long ago had just ended.
func TestNextOrderKeepsVersionsInUse(t *testing.T) {
	w := newVersionsSim(t, "v1", "v2")
	w.mustOrder("v2")
	w.mustEnd(PhaseCompleted)
	w.stop("v1")
	w.run(testOrder.Duration + oldStopTime)
	w.start("v3") // without an order
	for _, step := range []struct {
		name string
		do   func()
	}{
		{"it was started", func() {}},
		{"v4 was ordered", func() { w.start("v4"); w.mustOrder("v4") }},
		{"the owner changed", func() {
			w.owner = &owner{Tracker: NewTracker(w.now, w.owner.ledger, testLimits), ledger: w.owner.ledger}
		}},
		{"the order was rolled back", func() { w.owner.Cancel("s"); w.owner.tick(w.now) }},
	} {
		step.do()
		w.owner.SetCapacity("s", "v2", 10)
		if mode := w.owner.Mode("s", "v3"); mode != event.ModeNormal {
			t.Errorf("mode %v of v3 once %s", mode, step.name)
		}
	}
}

// TestServicesAreIndependent guards against a version that is not used at a service because another service rolled
// back the version with that name.
func TestServicesAreIndependent(t *testing.T) {
	w := newVersionsSim(t, "v1")
	w.rollBack("v2")
	w.owner.SetCapacity("other", "v2", 1)
	if mode := w.owner.Mode("other", "v2"); mode != event.ModeNormal {
		t.Errorf("mode %v of v2 at another service, want normal", mode)
	}
	if mode := w.owner.Mode("s", ""); mode != event.ModeNormal {
		t.Errorf("mode %v of endpoints without a version, want normal", mode)
	}
}

// TestRolledBackVersionsUnderRandomOrders checks over random series of orders, changes of owner and endpoints that
// come and go: a version that was rolled back gets nothing until it is ordered again, v1 serves all others, and a
// good version that serves beside it is completed.
func TestRolledBackVersionsUnderRandomOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newVersionsSim(t, "v1")
		rolledBack := make(map[string]bool)
		for range rapid.IntRange(2, 8).Draw(t, "orders") {
			version := rapid.SampledFrom([]string{"v1", "v2", "v3", "v4", "bad1", "bad2"}).Draw(t, "version")
			w.failing["bad1"], w.failing["bad2"] = true, true
			w.start(version)
			before := maps.Clone(w.received)
			if w.order(version) == ResultPropose {
				delete(rolledBack, version)
			}
			if rapid.Bool().Draw(t, "owner changes") {
				w.run(event.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * event.Millisecond)
				w.replaceOwner()
			}
			phase := w.runUntilEnd()
			newest, _ := w.owner.ledger.Get("s") // not of this version if it was taken for an earlier order, sent again
			switch {
			case phase == PhaseRolledBack:
				rolledBack[newest.Version] = true
			case w.failing[newest.Version]:
				t.Fatalf("%s is completed", newest.Version)
			}
			w.run(event.Duration(rapid.IntRange(0, 60).Draw(t, "seconds")) * event.Second)
			for name := range rolledBack {
				if n := w.received[name] - before[name]; n > 0 && name != newest.Version {
					t.Fatalf("%d requests reached %s, which was rolled back and not ordered again", n, name)
				}
			}
		}
		if w.unserved > 0 {
			t.Fatalf("%d of %d requests had no version in use", w.unserved, w.sent)
		}
	})
}
