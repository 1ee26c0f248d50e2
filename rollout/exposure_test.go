// SPDX-License-Identifier: MIT

package rollout

import (
	"encoding/json"
	"math/rand/v2"
	"testing"

	"lynxramp.org/event"
)

// The simulation in this file has a sequence of owners and a log. Owners stop at any time,
// and proposals are lost, or committed late, also after the owner that made them stopped.
// All owners grant as much as they may.

type exposureSim struct {
	random  *rand.Rand
	limits  Limits
	now     event.Time
	ledger  Ledger
	tracker *Tracker
	// pending are the proposals on their way to the log, in order.
	pending []Record
	// exposed and requests are of all owners, by number of the order.
	exposed, requests map[uint64]int
}

func newExposureSim(seed uint64) *exposureSim {
	random := rand.New(rand.NewPCG(seed, 1))
	w := &exposureSim{random: random, exposed: make(map[uint64]int), requests: make(map[uint64]int)}
	w.limits = Limits{Share: random.Float64() * 0.5, Slack: random.IntN(100)}
	w.replaceOwner()
	return w
}

// replaceOwner starts a new owner. Some of what the last one proposed is lost, the rest is
// committed before the new one starts. The state passes through a snapshot.
func (w *exposureSim) replaceOwner() {
	for _, r := range w.pending[:w.random.IntN(len(w.pending)+1)] {
		w.ledger.Apply(w.now, r)
	}
	w.pending = nil
	if w.random.IntN(2) == 0 {
		w.restoreSnapshot()
	}
	w.tracker = NewTracker(w.now, &w.ledger, w.limits)
	w.tracker.SetCapacity("s", oldVersion, 10)
	w.tracker.SetCapacity("s", newVersion, 10)
}

func (w *exposureSim) restoreSnapshot() {
	data, err := json.Marshal(&w.ledger)
	if err != nil {
		panic(err)
	}
	w.ledger = Ledger{}
	if err := json.Unmarshal(data, &w.ledger); err != nil {
		panic(err)
	}
}

func (w *exposureSim) step(t *testing.T) {
	switch w.random.IntN(24) {
	case 0:
		w.replaceOwner()
	case 1:
		w.order()
	case 2, 3:
		w.commit(false)
	case 4, 5, 6, 7, 8:
		w.commit(true)
	case 9, 10, 11, 12:
		w.now = w.now.Add(event.Duration(w.random.IntN(400)) * event.Millisecond)
		w.pending = append(w.pending, w.tracker.Tick(w.now)...)
	default:
		w.grant(t)
	}
	w.check(t)
}

func (w *exposureSim) order() {
	o := Order{Service: "s", Version: newVersion, Duration: event.Duration(1+w.random.IntN(15)) * event.Second}
	if r, result := w.tracker.Submit(w.now, o); result == ResultPropose {
		w.pending = append(w.pending, r)
	}
}

// commit commits the oldest proposal, or loses it.
func (w *exposureSim) commit(isKept bool) {
	if len(w.pending) == 0 {
		return
	}
	r := w.pending[0]
	w.pending = w.pending[1:]
	if !isKept {
		w.tracker.Withdraw(r)
		return
	}
	w.ledger.Apply(w.now, r)
	w.tracker.Committed(w.now, r)
}

// grant sends requests, as many as may be to the new version.
func (w *exposureSim) grant(t *testing.T) {
	newest, ok := w.ledger.Get("s")
	for range 1 + w.random.IntN(20) {
		version := oldVersion
		if w.tracker.Allowance("s") > 0 {
			version = newVersion
		}
		w.tracker.Granted("s", version)
		if !ok {
			continue
		}
		w.requests[newest.Number]++
		if version == oldVersion {
			continue
		}
		w.exposed[newest.Number]++
		if newest.Phase != PhaseCanary {
			t.Fatalf("the version has an allowance in phase %v", newest.Phase)
		}
	}
	w.observe()
}

func (w *exposureSim) observe() {
	for _, version := range []string{oldVersion, newVersion} {
		w.tracker.Observe(Sample{Service: "s", Version: version, Endpoint: "e", Failed: version == newVersion && w.random.IntN(8) == 0})
	}
}

func (w *exposureSim) check(t *testing.T) {
	r, ok := w.ledger.Get("s")
	if !ok {
		return
	}
	limit := w.limits.Share*float64(w.requests[r.Number]) + float64(w.limits.Slack)
	if w.exposed[r.Number] > r.Ceiling {
		t.Fatalf("order %d: %d requests reached the new version, the ceiling is %d", r.Number, w.exposed[r.Number], r.Ceiling)
	}
	if float64(r.Ceiling) > limit {
		t.Fatalf("order %d: the ceiling is %d, the limit %.1f", r.Number, r.Ceiling, limit)
	}
	if r.Requests > w.requests[r.Number] {
		t.Fatalf("order %d: the record has %d requests, there were %d", r.Number, r.Requests, w.requests[r.Number])
	}
}

// TestExposureStaysBelowCeiling guards against owners that together grant an unproved version
// more than was committed, or more than the limits allow.
func TestExposureStaysBelowCeiling(t *testing.T) {
	exposed := 0
	for seed := range uint64(1000) {
		w := newExposureSim(seed)
		for range 400 {
			w.step(t)
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
		for _, n := range w.exposed {
			exposed += n
		}
	}
	if exposed < 10000 {
		t.Errorf("only %d requests reached the new version: the test shows little", exposed)
	}
}

// TestAllowanceIsRarelyAwaited guards against an exposure that is limited by the commits of
// ceilings instead of the limits.
func TestAllowanceIsRarelyAwaited(t *testing.T) {
	const rate, duration = 100, 12 * event.Second
	limits := Limits{Share: 0.1, Slack: 50}
	tracker := NewTracker(0, &Ledger{}, limits)
	r, _ := tracker.Submit(0, Order{Service: "s", Version: newVersion, Duration: duration})
	tracker.Committed(0, r)
	tracker.SetCapacity("s", newVersion, 10)
	exposed, records := 0, 0
	for now := event.Time(0); now < event.Time(r.canaryTime()); now = now.Add(event.Second / rate) {
		version := oldVersion
		if tracker.Allowance("s") > 0 {
			version = newVersion
			exposed++
		}
		tracker.Granted("s", version)
		for _, r := range tracker.Tick(now) {
			records++
			tracker.Committed(now, r)
		}
	}
	most := limits.ceiling(9*rate, r.canaryTime(), r.canaryTime())
	if exposed < most*9/10 || records > 50 {
		t.Errorf("%d requests with %d records; want at least %d of %d, and at most 50 records", exposed, records, most*9/10, most)
	}
}

// BenchmarkDecision measures what an order in progress adds to a scheduling decision.
func BenchmarkDecision(b *testing.B) {
	tracker := NewTracker(0, &Ledger{}, Limits{Share: 1, Slack: 50})
	r, _ := tracker.Submit(0, Order{Service: "s", Version: newVersion, Duration: 12 * event.Second})
	tracker.Committed(0, r)
	b.ReportAllocs()
	for b.Loop() {
		if tracker.Allowance("s") >= 0 {
			tracker.Granted("s", newVersion)
		}
	}
}
