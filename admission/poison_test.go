// SPDX-License-Identifier: MIT

package admission

import (
	"fmt"
	"testing"

	"lynxramp.org/budget"
	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/poison"
	"lynxramp.org/registry"
)

const badPrint = poison.Fingerprint("a request")

// poisonRig is a State with some endpoints, and the log of its tracker.
type poisonRig struct {
	*State
	t       *testing.T
	tracker *poison.Tracker
	ledger  poison.Ledger
	now     event.Time
	out     event.Effects
}

func newPoisonRig(t *testing.T, endpoints, slots int) *poisonRig {
	r := &poisonRig{t: t, now: event.Time(event.Second)}
	r.tracker = poison.NewTracker(r.now, &r.ledger)
	r.State = New(testLimits, 1, committingAllocator{budget.NewAllocator(r.now, 5*event.Second)}, r.tracker)
	r.SetTable(r.now, testTable())
	for i := range endpoints {
		r.SetEndpoint(r.now, message.Endpoint{Endpoint: registry.Endpoint{
			ID: fmt.Sprint("e", i+1), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i+1), Slots: slots, Sequence: 1,
		}}, &r.out)
	}
	return r
}

// save commits the state of the tracker and checks held calls again.
func (r *poisonRig) save() {
	for r.tracker.Due() {
		record, _ := r.tracker.MakeRecord()
		r.ledger.Apply(record)
		r.tracker.Committed()
	}
	r.ReleaseHeld(r.now, &r.out)
}

func (r *poisonRig) submit(id int, p poison.Fingerprint) {
	m := submission(id, 100, false)
	m.Print = p
	m.Ticket.Patience = 700 * event.Millisecond
	r.Submit(r.now, "entry", m, &r.out)
}

// granted returns the endpoint that a call was granted; empty if none.
func (r *poisonRig) granted(id int) event.EndpointID {
	for _, g := range r.out.Grants {
		if g.ID == event.RequestID(fmt.Sprint(id)) {
			return g.Endpoint
		}
	}
	return ""
}

func (r *poisonRig) refused(id int) *event.Refused {
	for i, one := range r.out.Refusals {
		if one.ID == event.RequestID(fmt.Sprint(id)) {
			return &r.out.Refusals[i]
		}
	}
	return nil
}

// reportTermination reports that the endpoint of a call terminated.
func (r *poisonRig) reportTermination(id int, p poison.Fingerprint) {
	request, endpoint := event.RequestID(fmt.Sprint(id)), r.granted(id)
	r.RecordTerminations(r.now, []poison.Termination{{Print: p, Endpoint: endpoint, Request: request, Ran: event.Millisecond}}, &r.out)
	r.Finish(r.now, &message.Finish{Finished: event.Finished{ID: request, Pool: "s", Failed: true}, Endpoint: endpoint, Print: p}, &r.out)
}

func (r *poisonRig) succeed(id int, p poison.Fingerprint) {
	r.Finish(r.now, &message.Finish{
		Finished: event.Finished{ID: event.RequestID(fmt.Sprint(id)), Pool: "s"}, Endpoint: r.granted(id), Print: p, Ran: message.OutcomeSuccess,
	}, &r.out)
}

// TestHeldCallsWaitForRunningCall: after a termination one call of the request runs, once its run is
// committed; the others are held until it succeeds, and do not spend quota.
func TestHeldCallsWaitForRunningCall(t *testing.T) {
	r := newPoisonRig(t, 6, 4)
	r.submit(1, badPrint)
	r.reportTermination(1, badPrint)
	before := spentOf(r.State, r.now, budget.Team("t"))
	for id := 2; id < 6; id++ {
		r.submit(id, badPrint)
	}
	r.submit(9, "another")
	if r.granted(9) == "" {
		t.Error("another request is held")
	}
	if r.granted(2) != "" {
		t.Error("a run that is not committed")
	}
	r.save()
	if r.granted(2) == "" || r.granted(3) != "" {
		t.Errorf("granted at %q and %q, want one of them", r.granted(2), r.granted(3))
	}
	if spent := spentOf(r.State, r.now, budget.Team("t")) - before; spent != 200 {
		t.Errorf("%d tokens spent by two running calls, want 200", spent)
	}
	r.succeed(2, badPrint)
	for id := 3; id < 6; id++ {
		if r.granted(id) == "" {
			t.Errorf("call %d is not granted after a successful run", id)
		}
	}
}

// TestHeldCallsAreRefusedWithRetryAfter: a held call is refused after its timeout, and a call of a
// quarantined request at once.
func TestHeldCallsAreRefusedWithRetryAfter(t *testing.T) {
	r := newPoisonRig(t, 6, 4)
	for id := range 2 {
		r.submit(id, badPrint)
		r.save()
		r.reportTermination(id, badPrint)
		r.RemoveEndpoint(r.now, r.granted(id), &r.out)
	}
	r.submit(2, badPrint)
	r.submit(3, badPrint)
	r.save()
	r.now = r.now.Add(800 * event.Millisecond)
	r.Tick(r.now, &r.out)
	if one := r.refused(3); one == nil || one.Reason != event.ReasonPoison || one.RetryAfter <= 0 {
		t.Errorf("a held call after its timeout: %+v", one)
	}
	r.reportTermination(2, badPrint)
	r.submit(4, badPrint)
	if one := r.refused(4); one == nil || one.Reason != event.ReasonPoison || one.RetryAfter <= event.Second {
		t.Errorf("a call of a quarantined request: %+v", one)
	}
	if len(r.held) != 0 || len(r.runs) != 0 {
		t.Errorf("%d calls held, %d runs kept", len(r.held), len(r.runs))
	}
}

// TestQueuedCallsAreHeld: calls that are queued for an endpoint when their request is serialized are held.
func TestQueuedCallsAreHeld(t *testing.T) {
	r := newPoisonRig(t, 2, 1)
	r.submit(1, "busy")
	r.submit(2, badPrint)
	r.submit(3, badPrint)
	r.submit(4, badPrint)
	if r.granted(3) != "" || r.granted(4) != "" {
		t.Fatal("calls 3 and 4 are not queued")
	}
	r.reportTermination(2, badPrint)
	r.succeed(1, "busy")
	r.save()
	if r.granted(3) == "" || r.granted(4) != "" {
		t.Errorf("granted at %q and %q, want one of them", r.granted(3), r.granted(4))
	}
}

// TestCallsWaitingForQuotaAreHeld: calls that wait for a quota when their request is serialized are held.
func TestCallsWaitingForQuotaAreHeld(t *testing.T) {
	r := newPoisonRig(t, 2, 200)
	r.submit(1, badPrint)
	for id := 100; ; id++ { // use up the quota
		m := submission(id, 100, false)
		m.Ticket.Deadline = 20 * event.Second
		r.Submit(r.now, "other", m, &r.out)
		if r.refused(id) != nil {
			break
		}
	}
	// The quota is available again soon: the calls wait for it.
	r.now = r.now.Add(7900 * event.Millisecond)
	for id := 2; id < 5; id++ {
		m := submission(id, 100, false)
		m.Print, m.Ticket.Target, m.Ticket.Deadline = badPrint, 20*event.Second, 30*event.Second
		r.Submit(r.now, "entry", m, &r.out)
	}
	if len(r.parked) != 3 {
		t.Fatalf("%d calls wait for the quota", len(r.parked))
	}
	r.reportTermination(1, badPrint)
	for range 40 {
		r.now = r.now.Add(50 * event.Millisecond)
		r.Tick(r.now, &r.out)
		r.save()
	}
	if r.granted(2) == "" || r.granted(3) != "" || r.granted(4) != "" {
		t.Errorf("granted at %q, %q and %q, want one of them", r.granted(2), r.granted(3), r.granted(4))
	}
}

// TestUnreportedTerminationIsDetected: if the entry of a run terminates too, the run counts when the
// endpoint becomes unreachable; a run that finished before the last heartbeat of the endpoint does not.
func TestUnreportedTerminationIsDetected(t *testing.T) {
	r := newPoisonRig(t, 3, 4)
	r.submit(1, badPrint)
	r.submit(2, "finished before")
	r.Finish(r.now, &message.Finish{Finished: event.Finished{ID: "2", Pool: "s"}, Endpoint: r.granted(2), Print: "finished before"}, &r.out)
	lastHeartbeat := r.now.Add(event.Second)
	r.EntryRemoved(r.now, "entry", &r.out)
	r.now = lastHeartbeat.Add(4 * event.Second)
	r.EndpointsLost(r.now, map[event.EndpointID]event.Time{"e1": lastHeartbeat, "e2": lastHeartbeat, "e3": lastHeartbeat}, &r.out)
	for id, p := range []poison.Fingerprint{badPrint, "finished before"} {
		r.submit(10+id, p)
	}
	if r.granted(10) != "" {
		t.Error("an unreported termination does not count")
	}
	if r.granted(11) == "" {
		t.Error("a run counts that finished before its endpoint became unreachable")
	}
}

// TestTrialAvoidsEndpointsOfOtherTrials: unless its service has no other endpoint.
func TestTrialAvoidsEndpointsOfOtherTrials(t *testing.T) {
	for endpoints, isSeparate := range map[int]bool{1: false, 2: true} {
		r := newPoisonRig(t, endpoints, 4)
		for _, p := range []poison.Fingerprint{badPrint, "another"} {
			for _, endpoint := range []event.EndpointID{"x1", "x2"} {
				r.RecordTerminations(r.now, []poison.Termination{{Print: p, Endpoint: endpoint, Ran: event.Millisecond}}, &r.out)
			}
		}
		r.submit(1, badPrint)
		r.save()
		r.submit(2, "another")
		r.save()
		if r.granted(1) == "" || r.granted(2) == "" {
			t.Fatalf("%d endpoints: granted at %q and %q", endpoints, r.granted(1), r.granted(2))
		}
		if (r.granted(1) != r.granted(2)) != isSeparate {
			t.Errorf("%d endpoints: both trials at %q", endpoints, r.granted(1))
		}
	}
}

// TestRunsAreRemoved: runs are removed when they succeed and when they expire.
func TestRunsAreRemoved(t *testing.T) {
	r := newPoisonRig(t, 6, 100)
	for id := range 200 {
		r.submit(id, poison.Fingerprint(fmt.Sprint("p", id)))
		if id%2 == 0 {
			r.succeed(id, poison.Fingerprint(fmt.Sprint("p", id)))
		}
	}
	if len(r.runs) == 0 || len(r.runs) > 100 {
		t.Errorf("%d runs are kept, want those of the 100 in progress", len(r.runs))
	}
	r.now = r.now.Add(event.Second + inconclusiveRunTTL + sweepInterval)
	r.Tick(r.now, &r.out)
	if len(r.runs) != 0 {
		t.Errorf("%d expired runs are kept", len(r.runs))
	}
}
