// SPDX-License-Identifier: MIT

package poison

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"lynxramp.org/event"
)

const (
	bad  = Fingerprint("a request")
	at   = event.Time(event.Second)
	left = 3 * event.Second
)

// save commits the state of a Tracker to a ledger.
func save(b *Tracker, l *Ledger) {
	for b.Due() {
		r, _ := b.MakeRecord()
		l.Apply(r)
		b.Committed()
	}
}

func call(id int) *Call {
	return &Call{Fingerprint: bad, Entry: "entry", Request: event.RequestID(fmt.Sprint(id)), Remaining: left}
}

// reportTermination reports that an endpoint terminated during a call.
func reportTermination(b *Tracker, now event.Time, id int, endpoint string) {
	b.RecordTermination(now, &Termination{Print: bad, Endpoint: event.EndpointID(endpoint), Request: call(id).Request, Ran: event.Millisecond})
}

// tryRun checks a call, commits its trial if it has one, and reports whether the call may run.
func tryRun(b *Tracker, l *Ledger, now event.Time, id int, endpoint string) bool {
	verdict, _ := b.Check(now, call(id))
	if verdict == Wait {
		save(b, l)
		verdict, _ = b.Check(now, call(id))
	}
	if verdict != Allow {
		return false
	}
	b.RecordGrant(call(id).Request, event.EndpointID(endpoint))
	return true
}

// TestRequestIsQuarantinedAfterFourTerminations: a request that terminates
// each endpoint that runs it runs four times, with a pause between trials, and then not until its
// quarantine is over.
func TestRequestIsQuarantinedAfterFourTerminations(t *testing.T) {
	var l Ledger
	b := NewTracker(0, &l)
	ran := 0
	var times []event.Duration
	for now := at; now < at.Add(provenQuarantine); now = now.Add(100 * event.Millisecond) {
		if tryRun(b, &l, now, ran, fmt.Sprint("e", ran)) {
			reportTermination(b, now, ran, fmt.Sprint("e", ran))
			b.RecordFinish(now, call(ran).Request, false)
			times = append(times, now.Sub(at))
			ran++
		} else if _, wait := b.Check(now, call(ran)); wait <= 0 || wait > provenQuarantine {
			t.Fatalf("retry after %v", wait)
		}
		b.Tick(now)
	}
	want := []event.Duration{0, 100 * event.Millisecond, 200 * event.Millisecond, 200*event.Millisecond + provenPause}
	if diff := cmp.Diff(want, times); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
	if now := at.Add(2 * provenQuarantine); !func() bool { b.Tick(now); return tryRun(b, &l, now, 99, "e") }() {
		t.Error("the request is still quarantined after its quarantine")
	}
}

// TestCallsAreSerializedAfterTermination: while one call of a request that
// terminated an endpoint runs, others wait; a run that succeeds lets all of them run.
func TestCallsAreSerializedAfterTermination(t *testing.T) {
	var l Ledger
	b := NewTracker(0, &l)
	reportTermination(b, at, 1, "e1")
	for range 2 {
		if v, _ := b.Check(at, call(2)); v != Wait {
			t.Errorf("a run that is not committed: %v", v)
		}
	}
	save(b, &l)
	if v, _ := b.Check(at, call(2)); v != Allow {
		t.Errorf("a committed run: %v", v)
	}
	if v, _ := b.Check(at, call(3)); v != Wait {
		t.Errorf("a second concurrent run: %v", v)
	}
	b.RecordSuccess(at, bad)
	if v, _ := b.Check(at, call(3)); v != Allow {
		t.Errorf("after a successful run: %v", v)
	}
	save(b, &l)
	if n := len(l.Record().Lines); n != 0 {
		t.Errorf("the log has %d requests", n)
	}
}

// TestRecentlySuccessfulRequestIsNotSerialized: a request with a successful run within
// successWindow is not serialized, however many endpoints terminate while they run it; later it is.
func TestRecentlySuccessfulRequestIsNotSerialized(t *testing.T) {
	var l Ledger
	b := NewTracker(0, &l)
	b.RecordSuccess(at, bad)
	for i := range 5 {
		reportTermination(b, at, i, fmt.Sprint("e", i))
	}
	if v, _ := b.Check(at, call(9)); v != Allow || len(b.TakeSerialized()) > 0 {
		t.Errorf("a request with a recent success: %v", v)
	}
	later := at.Add(successWindow)
	b.Tick(later)
	if list := b.TakeSerialized(); len(list) != 1 {
		t.Errorf("%d requests became serialized, want 1", len(list))
	}
	if v, _ := b.Check(later, call(9)); v != Wait {
		t.Errorf("a request without a recent success: %v", v)
	}
}

// TestTerminationIsCountedOnce: an entry may report a termination again, and two calls may
// run on an endpoint when it terminates. A run that started later is on another instance with the
// same name.
func TestTerminationIsCountedOnce(t *testing.T) {
	var l Ledger
	b := NewTracker(0, &l)
	reportTermination(b, at, 1, "e")
	reportTermination(b, at.Add(event.Millisecond), 2, "e")
	b.RecordTermination(at.Add(event.Second), &Termination{Print: bad, Endpoint: "e", Request: "1", Ran: event.Millisecond, Ago: event.Second})
	if n := len(b.cases[bad].terminations); n != 1 {
		t.Errorf("%d terminations, want 1", n)
	}
	reportTermination(b, at.Add(2*event.Second), 3, "e")
	if n := len(b.cases[bad].terminations); n != 2 {
		t.Errorf("%d terminations of two instances of an endpoint, want 2", n)
	}
}

// TestUnreportedRunCountsAsTermination: a run after a first termination counts as another
// one if its entry or the owner terminated before it was reported. A counted trial counts as proof.
func TestUnreportedRunCountsAsTermination(t *testing.T) {
	for name, lose := range map[string]func(b *Tracker, l *Ledger) *Tracker{
		"entry terminated":  func(b *Tracker, l *Ledger) *Tracker { b.EntryTerminated(at, "entry"); return b },
		"no report in time": func(b *Tracker, l *Ledger) *Tracker { b.Tick(at.Add(left + trialMargin)); return b },
		"owner terminated":  func(b *Tracker, l *Ledger) *Tracker { return NewTracker(at, l) },
		"another attempt of the same call": func(b *Tracker, l *Ledger) *Tracker {
			again := call(2)
			again.Attempt = 1
			b.Check(at, again)
			b.RecordUnsent(again.Request)
			return b
		},
	} {
		t.Run(name, func(t *testing.T) {
			var l Ledger
			b := NewTracker(0, &l)
			reportTermination(b, at, 1, "e1")
			if !tryRun(b, &l, at, 2, "e2") {
				t.Fatal("the request does not run after one termination")
			}
			b = lose(b, &l)
			if n := len(b.cases[bad].terminations); n != 2 {
				t.Errorf("%d terminations, want 2", n)
			}
			b = NewTracker(at, ledgerOf(b)) // a new owner that reads the log
			if !tryRun(b, &l, at, 2, "e3") {
				t.Fatal("the request gets no trial after two terminations")
			}
			b = lose(b, ledgerOf(b))
			if c := b.cases[bad]; c.trials != 1 || !c.isProven {
				t.Errorf("%d trials, proven %v", c.trials, c.isProven)
			}
		})
	}
}

func ledgerOf(b *Tracker) *Ledger {
	l := &Ledger{}
	for _, c := range b.cases {
		l.Apply(Record{Lines: []Line{c.line()}})
	}
	return l
}

// TestUnsentTrialIsNotCounted: a trial that was not sent to an endpoint is not counted.
func TestUnsentTrialIsNotCounted(t *testing.T) {
	var l Ledger
	b := NewTracker(0, &l)
	reportTermination(b, at, 1, "e1")
	reportTermination(b, at, 2, "e2")
	for i := range 20 {
		if !tryRun(b, &l, at, i, "e") {
			t.Fatalf("no trial after %d unsent ones", i)
		}
		b.RecordUnsent(call(i).Request)
	}
}

// TestTrialsUseDifferentEndpoints: trials of two requests do not share an endpoint.
func TestTrialsUseDifferentEndpoints(t *testing.T) {
	var l Ledger
	b := NewTracker(0, &l)
	other := Call{Fingerprint: "another", Request: "other", Remaining: left}
	for _, p := range []Fingerprint{bad, other.Fingerprint} {
		for _, endpoint := range []event.EndpointID{"e1", "e2"} {
			b.RecordTermination(at, &Termination{Print: p, Endpoint: endpoint, Ran: event.Millisecond})
		}
	}
	if !tryRun(b, &l, at, 1, "e3") {
		t.Fatal("the first request gets no trial")
	}
	if v, _ := b.Check(at, &other); v != Wait {
		t.Fatal("the second request does not wait for its trial")
	}
	if diff := cmp.Diff([]event.EndpointID{"e3"}, b.Avoid(other.Request)); diff != "" {
		t.Errorf("avoided endpoints (-want +got):\n%s", diff)
	}
}

// TestTrackerIsBounded: a Tracker and the log have at most maxCases requests, and suspected ones
// are not evicted while there are others with a single termination.
func TestTrackerIsBounded(t *testing.T) {
	var l Ledger
	b := NewTracker(0, &l)
	reportTermination(b, at, 1, "e1")
	reportTermination(b, at, 2, "e2")
	for i := range 5 * maxCases {
		b.RecordTermination(at.Add(event.Duration(i)), &Termination{Print: Fingerprint(fmt.Sprint("p", i)), Endpoint: "e", Ran: event.Millisecond})
		if b.Due() && i%7 == 0 {
			r, _ := b.MakeRecord()
			if len(r.Lines) > maxRecordLines {
				t.Fatalf("a record of %d lines", len(r.Lines))
			}
			l.Apply(r)
			b.Committed()
		}
		if len(b.cases) > maxCases || len(l.lines) > maxCases {
			t.Fatalf("%d requests in the tracker, %d in the log", len(b.cases), len(l.lines))
		}
	}
	save(b, &l)
	if len(l.lines) != len(b.cases) {
		t.Errorf("the log has %d requests, the tracker %d", len(l.lines), len(b.cases))
	}
	if c := b.cases[bad]; c == nil || !c.isSuspected() {
		t.Error("a suspected request was evicted")
	}
	for i := range 5 * maxSuccesses {
		b.RecordSuccess(at, Fingerprint(fmt.Sprint("w", i)))
	}
	if n := len(b.successes.current) + len(b.successes.previous); n > 2*maxSuccesses {
		t.Errorf("%d requests with recent successes are kept", n)
	}
	if n := len(b.TakeChanges()); n > maxChanges {
		t.Errorf("%d changes are kept", n)
	}
}

// TestDegradedTrackerRejectsSuspects: the list of suspects is bounded and has the newest; a
// degraded Tracker rejects them, and requests with two terminations that it observed.
func TestDegradedTrackerRejectsSuspects(t *testing.T) {
	var l Ledger
	b := NewTracker(0, &l)
	_, first := b.Suspects()
	for i := range 2 * maxListed {
		p := Fingerprint(fmt.Sprint("p", i))
		for _, endpoint := range []event.EndpointID{"e1", "e2"} {
			b.RecordTermination(at.Add(event.Duration(i)), &Termination{Print: p, Endpoint: endpoint, Ran: event.Millisecond})
		}
		b.Check(at.Add(event.Duration(i)), &Call{Fingerprint: p, Request: event.RequestID(p), Remaining: left})
	}
	list, revision := b.Suspects()
	if len(list) != maxListed || revision == first {
		t.Errorf("%d suspects, revision %d after %d", len(list), revision, first)
	}
	degraded := NewDegradedTracker(list)
	if v, wait := degraded.Check(at, &Call{Fingerprint: list[0], Request: "1"}); v != Reject || wait <= 0 {
		t.Errorf("a suspect at an entry without an owner: %v, retry after %v", v, wait)
	}
	degraded.RecordTermination(at, &Termination{Print: bad, Endpoint: "e1"})
	if v, _ := degraded.Check(at, call(1)); v != Allow {
		t.Errorf("after one termination: %v", v)
	}
	degraded.RecordTermination(at, &Termination{Print: bad, Endpoint: "e2"})
	if v, _ := degraded.Check(at, call(1)); v != Reject {
		t.Errorf("after two terminations: %v", v)
	}
}

// TestRunsAreBoundedAcrossOwners: owners change at any time and read the log; entries
// terminate and records are lost. Of a request without a successful run, at most 1 + maxTrials runs
// start after its first known termination until it is removed.
func TestRunsAreBoundedAcrossOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Ledger
		now := at
		b := NewTracker(now, &l)
		known, started, next := false, 0, 0
		var running []int
		finish := func(i int, isEntryLost bool) {
			id := running[i]
			running = append(running[:i], running[i+1:]...)
			if isEntryLost {
				b.EntryTerminated(now, "entry")
				return
			}
			reportTermination(b, now, id, fmt.Sprint("e", id))
			b.RecordFinish(now, call(id).Request, false)
		}
		for range 60 {
			now = now.Add(event.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * event.Millisecond)
			b.Tick(now)
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1: // a call arrives
				next++
				if tryRun(b, &l, now, next, fmt.Sprint("e", next)) {
					running = append(running, next)
					if known {
						started++
					}
				}
			case 2: // a termination is reported
				if len(running) > 0 {
					finish(rapid.IntRange(0, len(running)-1).Draw(t, "run"), false)
				}
			case 3: // the entry terminates with the endpoint
				if len(running) > 0 {
					finish(rapid.IntRange(0, len(running)-1).Draw(t, "run"), true)
				}
			case 4: // a record is committed
				if b.Due() {
					r, _ := b.MakeRecord()
					l.Apply(r)
					b.Committed()
				}
			case 5: // a new owner reads the log
				b = NewTracker(now, &l)
			}
			known = len(l.lines) > 0
		}
		if started > 1+maxTrials {
			t.Fatalf("%d runs started after the first termination in the log", started)
		}
	})
}
