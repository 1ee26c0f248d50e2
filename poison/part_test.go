// SPDX-License-Identifier: MIT

package poison

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lynxramp.org/event"
)

var (
	badPart    = Part("s", "bad")
	sharedPart = Part("s", "shared")
)

func partCall(id int, parts ...Fingerprint) *PartCall {
	return &PartCall{Parts: parts, Entry: "entry", Request: event.RequestID(fmt.Sprint(id)), Remaining: left}
}

// tryPrompt checks a call with parts, commits its trial if it has one, and reports whether the call may run.
func tryPrompt(b *Tracker, l *Ledger, now event.Time, call *PartCall) bool {
	verdict, _ := b.Parts().Check(now, call)
	if verdict == Wait {
		save(b, l)
		verdict, _ = b.Parts().Check(now, call)
	}
	if verdict == Allow {
		b.RecordGrant(call.Request, event.EndpointID("e"+call.Request))
	}
	return verdict == Allow
}

// terminate reports that the endpoint of a call terminated before it began the response.
func terminate(b *Tracker, now event.Time, call *PartCall) {
	b.RecordTermination(now, &Termination{Parts: call.Parts, Endpoint: event.EndpointID("e" + call.Request), Request: call.Request, Ran: event.Millisecond})
	b.Parts().RecordFinish(now, call.Request, false)
}

// succeed reports that the response to a call began and ended.
func succeed(b *Tracker, now event.Time, call *PartCall) {
	b.Parts().RecordSuccess(now, call.Parts)
	b.Parts().RecordFinish(now, call.Request, true)
}

// TestPartIsQuarantinedAfterItsTrials: requests that share only a part, which terminates each endpoint, run four times,
// and then not until the quarantine is over.
func TestPartIsQuarantinedAfterItsTrials(t *testing.T) {
	var l Ledger
	b := NewTracker(0, &l)
	ran := 0
	for now := at; now < at.Add(partQuarantine); now = now.Add(100 * event.Millisecond) {
		id := int(now.Sub(at) / (100 * event.Millisecond))
		call := partCall(id, badPart, Part("s", fmt.Sprint("own", id)))
		if tryPrompt(b, &l, now, call) {
			terminate(b, now, call)
			ran++
		} else if _, wait := b.Parts().Check(now, call); wait <= 0 || wait > partQuarantine {
			t.Fatalf("retry after %v", wait)
		}
		b.Tick(now)
	}
	if ran != partThreshold+maxSoloTrials+maxJointTrials-1 && ran != partThreshold+maxSoloTrials {
		t.Errorf("%d runs", ran)
	}
}

// TestPartsOfOneRequestAreTriedAtOnce guards against innocent requests that are held off: both attempts of one ran on
// endpoints that terminated for other reasons, so that its parts, which no other request has, are suspected together. A part
// that does terminate endpoints has no more runs by that.
func TestPartsOfOneRequestAreTriedAtOnce(t *testing.T) {
	for _, isInnocent := range []bool{true, false} {
		var l Ledger
		b := NewTracker(0, &l)
		call := partCall(1, badPart, Part("s", "own"))
		for attempt := range partThreshold {
			call.Attempt = attempt + 1
			if !tryPrompt(b, &l, at, call) {
				t.Fatal("a request with an unknown part does not run")
			}
			b.RecordTermination(at, &Termination{
				Parts: call.Parts, Endpoint: event.EndpointID(fmt.Sprint("e", attempt)), Request: call.Request, Attempt: call.Attempt, Ran: event.Millisecond,
			})
			b.Parts().RecordFinish(at, call.Request, false)
		}
		again := partCall(2, call.Parts...)
		if !tryPrompt(b, &l, at, again) {
			t.Fatalf("innocent %v: the repeated request is held off", isInnocent)
		}
		if isInnocent {
			succeed(b, at, again)
		} else {
			terminate(b, at, again)
		}
		if runs := tryPrompt(b, &l, at.Add(jointPause), partCall(3, call.Parts...)); runs != isInnocent {
			t.Errorf("innocent %v: the next request runs: %v", isInnocent, runs)
		}
	}
}

// TestSharedPartIsClearedByOthers: a part that all requests have is suspected with one that terminates endpoints. A
// request without the latter must clear it, and not be held off for longer than one run.
func TestSharedPartIsClearedByOthers(t *testing.T) {
	var l Ledger
	b := NewTracker(0, &l)
	for i := range partThreshold {
		call := partCall(i, sharedPart, badPart)
		if !tryPrompt(b, &l, at, call) {
			t.Fatal("a request with an unknown part does not run")
		}
		terminate(b, at, call)
	}
	if verdict, wait := b.Parts().Check(at, partCall(10, sharedPart, badPart)); verdict != Reject || wait != jointPause {
		t.Errorf("a request with both parts: %v, retry after %v", verdict, wait)
	}
	trial := partCall(11, sharedPart)
	if !tryPrompt(b, &l, at, trial) {
		t.Fatal("a request with the shared part alone gets no trial")
	}
	if verdict, _ := b.Parts().Check(at, partCall(12, sharedPart)); verdict != Wait {
		t.Errorf("a second request during the trial: %v", verdict)
	}
	succeed(b, at, trial)
	for i := range 20 {
		if verdict, _ := b.Parts().Check(at, partCall(20+i, sharedPart)); verdict != Allow {
			t.Errorf("after the trial: %v", verdict)
		}
	}
	now := at.Add(successWindow)
	for i := range 3 {
		call := partCall(50+i, sharedPart, badPart)
		if tryPrompt(b, &l, now, call) {
			terminate(b, now, call)
		}
		if verdict, _ := b.Parts().Check(now, partCall(60+i, sharedPart)); verdict != Allow {
			t.Errorf("after a trial of the other part: %v", verdict)
		}
		succeed(b, now, partCall(60+i, sharedPart))
		now = now.Add(provenPause)
	}
	if verdict, _ := b.Parts().Check(now, partCall(70, badPart)); verdict != Reject {
		t.Errorf("the part that terminates endpoints: %v", verdict)
	}
}

// TestFrequentPartIsNotSuspected: a part with a recent success is not suspected, however many endpoints terminate.
func TestFrequentPartIsNotSuspected(t *testing.T) {
	b := NewTracker(0, &Ledger{})
	b.Parts().RecordSuccess(at, []Fingerprint{sharedPart})
	for i := range 10 {
		terminate(b, at.Add(event.Second), partCall(i, sharedPart))
	}
	if verdict, _ := b.Parts().Check(at.Add(event.Second), partCall(20, sharedPart)); verdict != Allow {
		t.Errorf("verdict %v", verdict)
	}
	if verdict, _ := b.Parts().Check(at.Add(successWindow), partCall(20, sharedPart)); verdict != Wait {
		t.Errorf("without a recent success: %v", verdict)
	}
}

// TestPartTrackerIsBounded: a caller that lists new parts in each request does not make the tracker or the log grow, nor
// evict a suspected part.
func TestPartTrackerIsBounded(t *testing.T) {
	var l Ledger
	b := NewTracker(0, &l)
	for i := range partThreshold {
		terminate(b, at, partCall(i, badPart))
	}
	for i := range 200 {
		call := partCall(100 + i)
		for j := range 32 {
			call.Parts = append(call.Parts, Part("s", fmt.Sprint(i, "-", j)))
		}
		terminate(b, at.Add(event.Duration(i)), call)
		save(b, &l)
	}
	if len(b.parts.cases) > maxCases || len(l.lines) > maxCases {
		t.Errorf("%d parts, %d in the log", len(b.parts.cases), len(l.lines))
	}
	if c := b.parts.cases[badPart]; c == nil || !c.isSuspected() {
		t.Error("a suspected part was evicted")
	}
}

// TestDegradedTrackerRejectsParts: an entry without an owner sends no part that the last owner listed, and none under which
// it observed two terminations.
func TestDegradedTrackerRejectsParts(t *testing.T) {
	var l Ledger
	b := NewTracker(0, &l)
	for i := range partThreshold + 1 {
		terminate(b, at, partCall(i, badPart))
	}
	list, _ := b.Suspects()
	if !slices.Contains(list, badPart) {
		t.Fatalf("the part is not listed: %v", list)
	}
	degraded := NewDegradedTracker(list)
	if verdict, wait := degraded.Parts().Check(at, partCall(10, sharedPart, badPart)); verdict != Reject || wait <= 0 {
		t.Errorf("a listed part: %v", verdict)
	}
	other := Part("s", "other")
	for i := range partThreshold {
		terminate(degraded, at, partCall(20+i, other))
	}
	if verdict, _ := degraded.Parts().Check(at, partCall(30, other)); verdict != Reject {
		t.Errorf("a part with two terminations: %v", verdict)
	}
}

// TestPartsOfServicesDiffer: a part of one service says nothing of another's.
func TestPartsOfServicesDiffer(t *testing.T) {
	if Part("s", "a") == Part("r", "a") || Part("s", "a") == Part("sa", "") || !Part("s", "a").IsPart() || bad.IsPart() {
		t.Error("fingerprints of parts are not distinct")
	}
}

// TestPartTrialsAreBoundedAcrossOwners: owners change at any time and read the log, entries terminate and records are lost.
// Of a part without a success at most maxSoloTrials + maxJointTrials runs start once the log has two of its terminations.
func TestPartTrialsAreBoundedAcrossOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Ledger
		now := at
		b := NewTracker(now, &l)
		known, started, next := false, 0, 0
		var running []*PartCall
		for range 80 {
			now = now.Add(event.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * event.Millisecond)
			b.Tick(now)
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1: // a call arrives
				next++
				call := partCall(next, badPart)
				if rapid.Bool().Draw(t, "shared") {
					call.Parts = append(call.Parts, sharedPart)
				}
				if tryPrompt(b, &l, now, call) {
					running = append(running, call)
					if known {
						started++
					}
				}
			case 2, 3: // a termination is reported, or the entry terminates with the endpoint
				if len(running) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "run")
				call := running[i]
				running = slices.Delete(running, i, i+1)
				if rapid.Bool().Draw(t, "lost") {
					b.EntryTerminated(now, "entry")
				} else {
					terminate(b, now, call)
				}
			case 4: // a request with the shared part alone
				next++
				if call := partCall(next, sharedPart); tryPrompt(b, &l, now, call) {
					succeed(b, now, call)
				}
			case 5: // a record is committed
				save(b, &l)
			case 6: // a new owner reads the log
				b = NewTracker(now, &l)
			}
			known = len(l.lines[badPart].Terminations) >= partThreshold
		}
		if started > maxSoloTrials+maxJointTrials {
			t.Fatalf("%d runs started after the part was suspected in the log", started)
		}
	})
}

// BenchmarkPart measures what the parts of a prompt cost an owner while none has a termination.
func BenchmarkPart(b *testing.B) {
	tracker := NewTracker(0, &Ledger{})
	call := partCall(1, sharedPart, Part("s", "other"))
	b.ReportAllocs()
	now := at
	for b.Loop() {
		now = now.Add(50 * event.Microsecond)
		if verdict, _ := tracker.Parts().Check(now, call); verdict != Allow {
			b.Fatal(verdict)
		}
		tracker.Parts().RecordSuccess(now, call.Parts)
	}
}
