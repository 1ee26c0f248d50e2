// SPDX-License-Identifier: MIT

package rollout

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lynxramp.org/event"
)

const tick = 50 * event.Millisecond

var (
	testLimits = Limits{Share: 0.1, Slack: 50}
	testOrder  = Order{Service: "s", Version: newVersion, Duration: 12 * event.Second}
)

// owner is a Tracker with its log, in which all proposals are committed at once.
type owner struct {
	*Tracker
	ledger *Ledger
	phases []Phase // as committed
}

func newOwner(now event.Time, l *Ledger) *owner {
	o := &owner{Tracker: NewTracker(now, l, testLimits), ledger: l}
	o.SetCapacity("s", oldVersion, 10)
	o.SetCapacity("s", newVersion, 10)
	return o
}

func (o *owner) commit(now event.Time, r Record) {
	o.ledger.Apply(now, r)
	o.Committed(now, r)
	if n := len(o.phases); n == 0 || o.phases[n-1] != r.Phase {
		o.phases = append(o.phases, r.Phase)
	}
}

// order submits and commits an order.
func (o *owner) order(t *testing.T, now event.Time, sent Order) Record {
	t.Helper()
	r, result := o.Submit(now, sent)
	if result != ResultPropose {
		t.Fatalf("order %+v: result %d, want a proposal", sent, result)
	}
	o.commit(now, r)
	return r
}

// serve runs 100 requests a second from one time to another. Those of the new version are on
// 4 endpoints and fail as told.
func (o *owner) serve(from, to event.Time, fails func(i int) bool) {
	for now, i := from, 0; now < to; now, i = now.Add(10*event.Millisecond), i+1 {
		s := Sample{Service: "s", Version: oldVersion, Route: "r", Endpoint: "old", First: event.Second, ExpectedFirst: event.Second}
		switch o.Mode("s", newVersion) {
		case event.ModeNormal:
			s.Version = newVersion
		case event.ModeCanary:
			if o.Allowance("s") > 0 {
				s.Version = newVersion
			}
		}
		if s.Version == newVersion {
			s.Endpoint = event.EndpointID(fmt.Sprint("new", i%4))
			s.Failed = fails(i)
		}
		o.Granted("s", s.Version)
		o.Observe(s)
		if event.Duration(now)%tick == 0 {
			o.tick(now)
		}
	}
}

func (o *owner) tick(now event.Time) {
	for _, r := range o.Tick(now) {
		o.commit(now, r)
	}
}

func at(d event.Duration) event.Time { return event.Time(d) }

func never(int) bool { return false }

func (o *owner) checkPhase(t *testing.T, want Phase) {
	t.Helper()
	if r, _ := o.ledger.Get("s"); r.Phase != want {
		t.Fatalf("phase %v, want %v", r.Phase, want)
	}
}

func (o *owner) checkModes(t *testing.T, ofOld, ofNew event.EndpointMode) {
	t.Helper()
	if got := o.Mode("s", oldVersion); got != ofOld {
		t.Errorf("mode of the old version is %v, want %v", got, ofOld)
	}
	if got := o.Mode("s", newVersion); got != ofNew {
		t.Errorf("mode of the new version is %v, want %v", got, ofNew)
	}
}

// TestGoodVersionPassesAllPhases guards against wrong times of phases, and against modes that
// don't follow them.
func TestGoodVersionPassesAllPhases(t *testing.T) {
	o := newOwner(0, &Ledger{})
	o.SetRunning("s", oldVersion, 1)
	o.order(t, 0, testOrder)
	o.checkModes(t, event.ModeNormal, event.ModeCanary)
	o.serve(0, at(9*event.Second), never)
	o.checkPhase(t, PhaseCanary)
	o.serve(at(9*event.Second), at(9100*event.Millisecond), never)
	o.checkPhase(t, PhaseShifting)
	o.checkModes(t, event.ModeBlocked, event.ModeNormal)
	o.serve(at(9100*event.Millisecond), at(11500*event.Millisecond), never)
	o.checkPhase(t, PhaseShifting)
	o.serve(at(11500*event.Millisecond), at(11600*event.Millisecond), never)
	o.checkPhase(t, PhaseCompleted)
	o.checkModes(t, event.ModeBlocked, event.ModeNormal)
	if want := []Phase{PhaseCanary, PhaseShifting, PhaseCompleted}; !cmp.Equal(o.phases, want) {
		t.Errorf("phases %v, want %v", o.phases, want)
	}
}

// TestCompletedEarlyOnceOthersAreIdle guards against an order that waits for its deadline
// after the last request on an old endpoint ended.
func TestCompletedEarlyOnceOthersAreIdle(t *testing.T) {
	o := newOwner(0, &Ledger{})
	o.order(t, 0, testOrder)
	o.serve(0, at(10600*event.Millisecond), never)
	o.checkPhase(t, PhaseCompleted)
}

// TestBadVersionIsBlockedBeforeCommit guards against requests that are sent to a bad version
// while its roll-back waits for the log.
func TestBadVersionIsBlockedBeforeCommit(t *testing.T) {
	o := newOwner(0, &Ledger{})
	o.order(t, 0, testOrder)
	random := rand.New(rand.NewPCG(1, 1))
	half := func(int) bool { return random.IntN(2) == 0 }
	for now := event.Time(0); now < at(3*event.Second); now = now.Add(tick) {
		o.serve(now, now.Add(tick-10*event.Millisecond), half)
		records := o.Tick(now.Add(tick - 1))
		if o.Mode("s", newVersion) == event.ModeBlocked {
			o.checkModes(t, event.ModeNormal, event.ModeBlocked)
			if o.Allowance("s") != 0 || len(records) != 1 || records[0].Phase != PhaseRolledBack {
				t.Errorf("allowance %d, records %+v; want none, and one of a roll-back", o.Allowance("s"), records)
			}
			return
		}
		for _, r := range records {
			o.commit(now, r)
		}
	}
	t.Error("the version was not found bad")
}

// TestLostRollbackIsProposedAgain guards against an order that stays in progress because a
// proposal was lost.
func TestLostRollbackIsProposedAgain(t *testing.T) {
	o := newOwner(0, &Ledger{})
	o.order(t, 0, testOrder)
	o.Cancel("s")
	if n := len(o.Tick(at(tick))); n != 1 {
		t.Fatalf("%d records, want that of the roll-back", n)
	}
	if n := len(o.Tick(at(2 * tick))); n != 0 {
		t.Errorf("%d records while one is proposed", n)
	}
	o.tick(at(tick + retryInterval))
	o.checkPhase(t, PhaseRolledBack)
	o.checkModes(t, event.ModeNormal, event.ModeBlocked)
}

// TestUnprovedVersionIsRolledBack guards against a version that is completed without enough
// responses, endpoints or capacity.
func TestUnprovedVersionIsRolledBack(t *testing.T) {
	for _, test := range []struct {
		name  string
		slots int
		serve bool
		want  Reason
	}{
		{"no responses", 10, false, ReasonUnproved},
		{"no endpoints", 0, true, ReasonCapacity},
		{"less than half of the capacity", 4, true, ReasonCapacity},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := newOwner(0, &Ledger{})
			o.order(t, 0, testOrder)
			o.SetCapacity("s", newVersion, test.slots)
			if test.serve {
				o.serve(0, at(11400*event.Millisecond), never)
			}
			o.tick(at(11400 * event.Millisecond))
			o.checkPhase(t, PhaseCanary)
			o.tick(at(11500 * event.Millisecond))
			o.checkPhase(t, PhaseRolledBack)
			if e, _ := o.Evidence("s"); e.Reason != test.want {
				t.Errorf("reason %v, want %v", e.Reason, test.want)
			}
		})
	}
}

// TestResentOrder guards against an acknowledged order that is refused, or started twice,
// when it is sent again.
func TestResentOrder(t *testing.T) {
	other := Order{Service: "s", Version: "v3", Duration: testOrder.Duration}
	check := func(o *owner, now event.Time, sent Order, want Result) {
		t.Helper()
		if _, got := o.Submit(now, sent); got != want {
			t.Errorf("order of %s at %v: result %d, want %d", sent.Version, event.Duration(now), got, want)
		}
	}
	o := newOwner(0, &Ledger{})
	check(o, 0, testOrder, ResultPropose)
	check(o, 1, testOrder, ResultPropose)
	check(o, 1, other, ResultConflict)
	o.order(t, 2, testOrder)
	check(o, 3, testOrder, ResultKnown)
	check(o, 3, other, ResultConflict)
	longer := testOrder
	longer.Duration++
	check(o, 3, longer, ResultConflict)
	o.Cancel("s")
	o.tick(at(event.Second))
	check(o, at(2*event.Second), testOrder, ResultKnown)
	o.order(t, at(3*event.Second), other)
	check(o, at(4*event.Second), testOrder, ResultKnown)
	o = newOwner(at(5*event.Second), o.ledger)
	check(o, at(6*event.Second), testOrder, ResultKnown)
	check(o, at(6*event.Second), other, ResultKnown)
	check(o, at(10*event.Second), testOrder, ResultConflict)
	o.Cancel("s")
	o.tick(at(11 * event.Second))
	check(o, at(12*event.Second), other, ResultKnown)
	check(o, at(14*event.Second), other, ResultPropose)
}

// TestWithdrawnOrderIsForgotten guards against an order that was not stored and blocks others.
func TestWithdrawnOrderIsForgotten(t *testing.T) {
	o := newOwner(0, &Ledger{})
	r, _ := o.Submit(0, testOrder)
	o.Withdraw(r)
	o.order(t, 1, Order{Service: "s", Version: "v3", Duration: event.Second})
}

// TestNewOwnerContinues guards against an order that gets more time or exposure because its
// owner changed.
func TestNewOwnerContinues(t *testing.T) {
	o := newOwner(0, &Ledger{})
	o.order(t, 0, testOrder)
	o.serve(0, at(4*event.Second), never)
	spent, _ := o.Evidence("s")
	data, err := json.Marshal(o.ledger)
	if err != nil {
		t.Fatal(err)
	}
	var ledger Ledger
	if err := json.Unmarshal(data, &ledger); err != nil {
		t.Fatal(err)
	}
	// The clock of the next owner has another origin, and it loads a snapshot.
	start := at(1000 * event.Second)
	ledger.MarkReceived(start)
	next := newOwner(start, &ledger)
	if got, _ := next.Evidence("s"); got.Exposed < spent.Exposed || next.Allowance("s") != 0 {
		t.Errorf("the next owner counts %d as exposed and allows %d; want at least %d, and 0", got.Exposed, next.Allowance("s"), spent.Exposed)
	}
	next.serve(start, start.Add(4500*event.Millisecond), never)
	next.checkPhase(t, PhaseCanary)
	next.serve(start.Add(4500*event.Millisecond), start.Add(8500*event.Millisecond), never)
	next.checkPhase(t, PhaseCompleted)
}

// TestVersionWithoutOrderIsUsed guards against a service that loses capacity while its endpoints are replaced by those of
// another version without an order.
func TestVersionWithoutOrderIsUsed(t *testing.T) {
	o := &owner{Tracker: NewTracker(0, &Ledger{}, testLimits), ledger: &Ledger{}}
	o.SetCapacity("s", oldVersion, 10)
	o.Tick(0)
	o.Tick(at(20 * event.Second))
	o.SetCapacity("s", newVersion, 10)
	o.checkModes(t, event.ModeNormal, event.ModeNormal)
	o.order(t, at(21*event.Second), testOrder)
	o.checkModes(t, event.ModeNormal, event.ModeCanary)
}

// TestOldVersionIsBlockedWhileItStops guards against requests to endpoints that stop without draining once their
// service is completed, and against endpoints that get nothing long after.
func TestOldVersionIsBlockedWhileItStops(t *testing.T) {
	o := newOwner(0, &Ledger{})
	o.order(t, 0, testOrder)
	o.serve(0, at(12*event.Second), never)
	o.checkPhase(t, PhaseCompleted)
	o.checkModes(t, event.ModeBlocked, event.ModeNormal)
	o.Tick(at(12 * event.Second).Add(oldStopTime))
	o.checkModes(t, event.ModeNormal, event.ModeNormal)
}

// TestCompletedVersionOrderedAgain guards against a service whose only version is limited to
// the exposure of an unproved one.
func TestCompletedVersionOrderedAgain(t *testing.T) {
	o := newOwner(0, &Ledger{})
	o.order(t, 0, testOrder)
	o.serve(0, at(12*event.Second), never)
	o.checkPhase(t, PhaseCompleted)
	o.SetCapacity("s", oldVersion, 0)
	r := o.order(t, at(20*event.Second), testOrder)
	if r.Phase != PhaseCompleted || o.Mode("s", newVersion) != event.ModeNormal {
		t.Errorf("phase %v, mode %v; want it completed at once", r.Phase, o.Mode("s", newVersion))
	}
}

// TestOnlyVersionIsOrdered guards against a service whose only endpoints are limited to the exposure of an unproved
// version, by an order for the version that they have.
func TestOnlyVersionIsOrdered(t *testing.T) {
	o := &owner{Tracker: NewTracker(0, &Ledger{}, testLimits), ledger: &Ledger{}}
	o.SetCapacity("s", newVersion, 10)
	if r := o.order(t, 0, testOrder); r.Phase != PhaseCompleted || o.Mode("s", newVersion) != event.ModeNormal {
		t.Errorf("phase %v, mode %v; want it completed at once", r.Phase, o.Mode("s", newVersion))
	}
}

// TestMemoryIsBounded guards against routes and endpoints without number, as from names in
// requests or endpoints that restart.
func TestMemoryIsBounded(t *testing.T) {
	o := newOwner(0, &Ledger{})
	o.order(t, 0, testOrder)
	for i := range 10000 {
		for _, version := range []string{oldVersion, newVersion} {
			o.Observe(Sample{Service: "s", Version: version, Route: fmt.Sprint(i), Endpoint: event.EndpointID(fmt.Sprint(i))})
		}
	}
	e := &o.services["s"].newest.progress.evidence
	if len(e.routes) > maxRoutes || len(e.controls) > maxRoutes || len(e.endpoints) > maxEndpoints || len(e.list) > maxEndpoints || len(e.peers.byName) > maxEndpoints || len(e.blocks) > maxBlocks {
		t.Errorf("%d routes, %d endpoints, %d endpoints of other versions, %d blocks", len(e.routes), len(e.endpoints), len(e.peers.byName), len(e.blocks))
	}
	o.tick(at(tick))
}

// TestRestartedEndpointStaysOne guards against one endpoint that crashes repeatedly and counts
// as many bad ones.
func TestRestartedEndpointStaysOne(t *testing.T) {
	o := newOwner(0, &Ledger{})
	o.order(t, 0, testOrder)
	for i := range 40 {
		id := event.EndpointID(fmt.Sprint("crashes/", i))
		o.Observe(Sample{Service: "s", Version: newVersion, Endpoint: id, Failed: true})
		o.Observe(Sample{Service: "s", Version: newVersion, Endpoint: "good-1"})
		o.Observe(Sample{Service: "s", Version: newVersion, Endpoint: "good-2"})
		o.Observe(Sample{Service: "s", Version: oldVersion, Endpoint: "old"})
		o.tick(at(event.Duration(i) * tick))
	}
	o.checkPhase(t, PhaseCanary)
}
