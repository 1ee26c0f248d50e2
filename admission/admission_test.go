// SPDX-License-Identifier: MIT

package admission

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/registry"
	"lynxramp.org/routing"
)

var testLimits = Limits{
	QuotaWindow: 8 * event.Second, QuotaOvershoot: 0.1, RetryWindow: 10 * event.Second, RetryRatio: 0.2, RetryMin: 20,
}

func testTable() *routing.Table {
	t := &routing.Table{
		Services: []routing.Service{{Name: "s"}},
		Teams:    []routing.Team{{Name: "t", Keys: []string{"k"}, Rate: 1000, Burst: 1000}},
	}
	t.Index()
	return t
}

// newTestState returns a State with one endpoint that has many places.
func newTestState(now event.Time) *State {
	s := New(testLimits, 1)
	s.SetTable(now, testTable())
	var out event.Effects
	s.SetEndpoint(now, message.Endpoint{Endpoint: registry.Endpoint{ID: "e", Service: "s", Address: "10.0.0.1:80", Slots: 1 << 20, Sequence: 1}}, &out)
	return s
}

func submission(id int, quota int, repeat bool) *message.Submission {
	return &message.Submission{
		Ticket: event.Ticket{ID: event.RequestID(fmt.Sprint(id)), Team: "t", Service: "s", Pool: "s", Deadline: event.Second},
		Quota:  quota, Repeat: repeat,
	}
}

func TestWindowSumsTheLastSpan(t *testing.T) {
	w := newWindow(8 * event.Second)
	second := event.Time(event.Second)
	w.add(1*second, 10)
	w.add(5*second, 20)
	for _, c := range []struct {
		at   event.Time
		want int
	}{{5 * second, 30}, {8*second + second/2, 30}, {10 * second, 20}, {20 * second, 0}} {
		if got := w.total(c.at); got != c.want {
			t.Errorf("total at %v: %d, want %d", event.Span(c.at), got, c.want)
		}
	}
	w.add(20*second, 5)
	w.remove(20*second, 20*second, 3)
	if got := w.total(20 * second); got != 2 {
		t.Errorf("total after taking back: %d, want 2", got)
	}
}

// TestWindowTakesBackWhereItCounted: taken from what was counted last instead, the
// later amount would leave the window with the earlier one.
func TestWindowTakesBackWhereItCounted(t *testing.T) {
	w := newWindow(8 * event.Second)
	second := event.Time(event.Second)
	w.add(1*second, 10)
	w.add(5*second, 20)
	w.remove(6*second, 1*second, 10)
	for at, want := range map[event.Time]int{6 * second: 20, 10 * second: 20, 12*second + second/2: 20} {
		v := *w
		if got := v.total(at); got != want {
			t.Errorf("total at %v: %d, want %d", event.Span(at), got, want)
		}
	}
	w.remove(20*second, 5*second, 20)
	if got := w.total(20 * second); got != 0 {
		t.Errorf("total %d after taking back what counts no more, want 0", got)
	}
}

func TestWindowNeverForgetsEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWindow(8 * event.Second)
		type spent struct {
			at     event.Time
			amount int
		}
		var all []spent
		now := event.Time(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(event.Span(rapid.IntRange(0, 2000).Draw(t, "gap")) * event.Millisecond)
			amount := rapid.IntRange(0, 100).Draw(t, "amount")
			w.add(now, amount)
			all = append(all, spent{now, amount})
			least := 0
			for _, s := range all {
				if now.Sub(s.at) < 8*event.Second {
					least += s.amount
				}
			}
			if got := w.total(now); got < least {
				t.Fatalf("total %d, but %d were spent in the last 8 s", got, least)
			}
		}
	})
}

func TestQuotaHoldsInEachWindow(t *testing.T) {
	s := newTestState(0)
	var granted []event.Time
	for i := range 4000 {
		now := event.Time(i) * event.Time(10*event.Millisecond)
		var out event.Effects
		s.Submit(now, "entry", submission(i, 100, false), &out)
		if len(out.Grants) == 1 {
			granted = append(granted, now)
		} else if len(out.Refusals) != 1 || out.Refusals[0].Reason != event.ReasonQuota || out.Refusals[0].RetryAfter <= 0 {
			t.Fatalf("neither granted nor refused with when to come back: %+v", out)
		}
	}
	const limit = (8*1000 + 1000) * 1.1
	for i, from := range granted {
		sum := 0
		for _, at := range granted[i:] {
			if at.Sub(from) < 8*event.Second {
				sum += 100
			}
		}
		if float64(sum) > limit {
			t.Fatalf("%d in 8 s from %v, limit %v", sum, event.Span(from), limit)
		}
	}
}

// TestSharesAddUpWithinTheQuota lets entries go from an owner to being alone and
// back to another owner that has heard only some of them.
func TestSharesAddUpWithinTheQuota(t *testing.T) {
	const entries = 4
	const limit = (8*1000 + 1000) * 1.1
	owner := newTestState(0)
	alone := make([]*State, entries)
	ledgers := make([]*State, entries)
	for i := range ledgers {
		ledgers[i] = newTestState(0)
	}
	var spent []event.Time
	step := func(s *State, entry, id int, now event.Time) {
		var out event.Effects
		m := submission(id, 100, false)
		s.Submit(now, "entry", m, &out)
		if len(out.Grants) == 1 {
			ledgers[entry].Note(now, m)
			spent = append(spent, now)
		}
	}
	id := 0
	for ms := 0; ms < 40000; ms += 20 {
		now := event.Time(ms) * event.Time(event.Millisecond)
		if ms == 12000 { // two entries lose the owner
			for i := range 2 {
				alone[i] = newTestState(now)
				alone[i].SetShare(1.0 / entries)
				alone[i].Take(now, ledgers[i].Report(now), 8*event.Second)
			}
			owner.SetReserve(2.0 / entries)
		}
		if ms == 17000 { // their configuration is too old
			alone[0], alone[1] = nil, nil
		}
		if ms == 25000 {
			owner.SetReserve(0)
		}
		for i := range entries {
			id++
			switch {
			case ms >= 12000 && ms < 25000 && i < 2:
				if alone[i] != nil {
					step(alone[i], i, id, now)
				}
			default:
				step(owner, i, id, now)
			}
		}
	}
	for i, from := range spent {
		sum := 0
		for _, at := range spent[i:] {
			if at.Sub(from) < 8*event.Second {
				sum += 100
			}
		}
		if float64(sum) > limit {
			t.Fatalf("%d in 8 s from %v, limit %v", sum, event.Span(from), limit)
		}
	}
}

func TestNewOwnerTakesWhatWasSpent(t *testing.T) {
	second := event.Time(event.Second)
	before := newTestState(0)
	for i := range 80 {
		before.Note(5*second, submission(i, 100, false))
	}
	after := newTestState(0)
	after.Take(0, before.Report(5*second+second/5), 8*event.Second)
	granted := 0
	for i := range 40 {
		var out event.Effects
		after.Submit(second/5, "entry", submission(i, 100, false), &out)
		granted += len(out.Grants)
	}
	if granted != 16 {
		t.Errorf("%d granted, 16 are left of the quota and an owner's part of its overshoot", granted)
	}
}

func TestAssumedSpendingFades(t *testing.T) {
	s := newTestState(0)
	s.Assume(0, 100*event.Millisecond, 1)
	grants := func(now event.Time) int {
		var out event.Effects
		for i := range 200 {
			s.Submit(now, "entry", submission(int(now)+i, 100, false), &out)
		}
		return len(out.Grants)
	}
	if got := grants(0); got > 7 {
		t.Errorf("%d granted at once where the quota may be spent", got)
	}
	if got := grants(event.Time(9 * event.Second)); got < 80 {
		t.Errorf("%d granted after a whole window", got)
	}
}

func TestRetryBudgetHolds(t *testing.T) {
	s := newTestState(0)
	repeats := 0
	for i := range 1000 {
		now := event.Time(i) * event.Time(event.Millisecond)
		var out event.Effects
		s.Submit(now, "entry", submission(i, 0, false), &out)
		out.Reset()
		s.Submit(now, "entry", submission(10000+i, 0, true), &out)
		repeats += len(out.Grants)
	}
	if most := int(0.2*1000) + 20; repeats > most || repeats < most/2 {
		t.Errorf("%d repeats of 1000 requests, the budget is %d", repeats, most)
	}
}

func TestUnreachedEndpointIsLeftAlone(t *testing.T) {
	s := newTestState(0)
	var out event.Effects
	s.Submit(0, "entry", submission(1, 0, false), &out)
	s.Finish(0, &message.Finish{
		Finished: event.Finished{ID: "1", Pool: "s", Void: true}, Endpoint: "e", Suspect: true,
	}, &out)
	out.Reset()
	s.Submit(event.Time(event.Millisecond), "entry", submission(2, 0, false), &out)
	if len(out.Grants) != 0 {
		t.Fatal("an endpoint that was not reached a moment ago was granted")
	}
	s.Tick(event.Time(suspectTime+event.Millisecond), &out)
	if len(out.Grants) != 0 {
		// The request's deadline is a second: it may have been refused instead.
		return
	}
	s.Submit(event.Time(suspectTime+2*event.Millisecond), "entry", submission(3, 0, false), &out)
	if len(out.Grants) != 1 {
		t.Errorf("the endpoint was not tried again: %+v", out)
	}
}

// TestRequestWaitsForItsQuota: one that has room in a moment waits for it, another
// is told when it has.
func TestRequestWaitsForItsQuota(t *testing.T) {
	s := newTestState(0)
	var out event.Effects
	fill := submission(1, 9500, false)
	s.Submit(0, "entry", fill, &out)
	if len(out.Grants) != 1 {
		t.Fatalf("the first request was not granted: %+v", out)
	}
	out.Reset()
	near := event.Time(7900 * event.Millisecond)
	patient := submission(2, 500, false)
	patient.Ticket.Target = 2 * event.Second
	s.Submit(near, "entry", patient, &out)
	hasty := submission(3, 500, false)
	hasty.Ticket.Target = 100 * event.Millisecond
	s.Submit(near, "entry", hasty, &out)
	if len(out.Grants) != 0 || len(out.Refusals) != 1 || out.Refusals[0].ID != "3" {
		t.Fatalf("want the hasty one refused and the patient one kept: %+v", out)
	}
	if after := out.Refusals[0].RetryAfter; after < 100*event.Millisecond || after > 400*event.Millisecond {
		t.Errorf("told to come back after %v, there is room in 0.1 s", after)
	}
	out.Reset()
	s.Tick(near.Add(200*event.Millisecond), &out)
	if len(out.Grants) != 1 || out.Grants[0].ID != "2" {
		t.Errorf("the quota has room and the request was not granted: %+v", out)
	}
}

// TestUnsentSubmissionCountsNothing: what was never sent gives back its part of the
// quota, or of the retry budget, and only that one.
func TestUnsentSubmissionCountsNothing(t *testing.T) {
	finish := func(s *State, unsent bool) {
		var out event.Effects
		s.Finish(0, &message.Finish{Finished: event.Finished{ID: "1", Pool: "s", Void: true}, Endpoint: "e", Unsent: unsent}, &out)
	}
	for name, c := range map[string]struct{ repeat, unsent bool }{
		"first, not sent": {false, true}, "first, rejected": {false, false},
		"repeat, not sent": {true, true}, "repeat, rejected": {true, false},
	} {
		s := newTestState(0)
		var out event.Effects
		s.Submit(0, "entry", submission(9, 700, false), &out)
		s.Submit(0, "entry", submission(1, 500, c.repeat), &out)
		quota, repeats := s.window("t").total(0), s.service(0, "s").repeats.total(0)
		finish(s, c.unsent)
		gotQuota, gotRepeats := quota-s.window("t").total(0), repeats-s.service(0, "s").repeats.total(0)
		wantQuota, wantRepeats := 0, 0
		switch {
		case c.unsent && c.repeat:
			wantRepeats = 1
		case c.unsent:
			wantQuota = 500
		}
		if gotQuota != wantQuota || gotRepeats != wantRepeats {
			t.Errorf("%s: quota %d and %d repeats given back, want %d and %d", name, gotQuota, gotRepeats, wantQuota, wantRepeats)
		}
	}
}

// TestFailedEndpointIsTriedByOneRequest: when its time is over, an endpoint that was
// not reached is tried by one request, and by all again once that was served.
func TestFailedEndpointIsTriedByOneRequest(t *testing.T) {
	s := newTestState(0)
	var out event.Effects
	s.Submit(0, "entry", submission(1, 0, false), &out)
	s.Finish(0, &message.Finish{Finished: event.Finished{ID: "1", Pool: "s", Void: true, Unused: true}, Endpoint: "e", Suspect: true}, &out)
	now := event.Time(suspectTime + event.Millisecond)
	s.Tick(now, &out)
	out.Reset()
	for id := 2; id <= 4; id++ {
		s.Submit(now, "entry", submission(id, 0, false), &out)
	}
	if len(out.Grants) != 1 || !out.Grants[0].Fresh {
		t.Fatalf("grants %+v, want one", out.Grants)
	}
	tried := out.Grants[0].ID
	out.Reset()
	s.Finish(now, &message.Finish{Finished: event.Finished{ID: tried, Pool: "s"}, Endpoint: "e"}, &out)
	if len(out.Grants) != 2 {
		t.Errorf("%d granted after it served again, want the other 2", len(out.Grants))
	}
}

// TestEntriesAloneSpendWhatWasLeft: one entry has spent a whole quota by the owner's
// leave; when the owner is lost, the others must not spend their shares beside it. It
// failed while each could save up three seconds of its share whatever was left.
func TestEntriesAloneSpendWhatWasLeft(t *testing.T) {
	const entries = 4
	const limit = (8*1000 + 1000) * 1.1
	owner := newTestState(0)
	ledgers := make([]*State, entries)
	for i := range ledgers {
		ledgers[i] = newTestState(0)
	}
	type spending struct {
		at     event.Time
		amount int
	}
	var spent []spending
	id := 0
	submit := func(s *State, entry int, now event.Time) {
		id++
		m := submission(id, 50, false)
		m.Ticket.Target = event.Millisecond // it does not wait for the quota
		var out event.Effects
		s.Submit(now, "entry", m, &out)
		if len(out.Grants) == 1 {
			ledgers[entry].Note(now, m)
			spent = append(spent, spending{now, 50})
		}
	}
	now := event.Time(0)
	step := 10 * event.Millisecond
	for ; now < event.Time(12*event.Second); now = now.Add(step) {
		submit(owner, 0, now) // five times the rate
	}
	alone := make([]*State, entries)
	for i := range alone {
		alone[i] = newTestState(now)
		alone[i].SetShare(1.0 / entries)
		alone[i].Take(now, ledgers[i].Report(now), 8*event.Second)
		alone[i].SetAllowances(owner.Tight(now), now)
	}
	for end := now.Add(event.Second); now < end; now = now.Add(step) {
		for i := range alone {
			submit(alone[i], i, now)
		}
	}
	for i, from := range spent {
		sum := 0
		for _, s := range spent[i:] {
			if s.at.Sub(from.at) < 8*event.Second {
				sum += s.amount
			}
		}
		if float64(sum) > limit {
			t.Fatalf("%d in 8 s from %v, limit %v", sum, event.Span(from.at), limit)
		}
	}
}

// TestRequestWaitsForItsQuotaOnce: one that is handed to another who decides does not
// wait anew. On an incident a request had its 429 after 0.44 s of a target of 1.2.
func TestRequestWaitsForItsQuotaOnce(t *testing.T) {
	s := newTestState(0)
	var out event.Effects
	s.Submit(0, "entry", submission(1, 9500, false), &out)
	near := event.Time(7900 * event.Millisecond)
	out.Reset()
	again := submission(2, 500, false)
	again.Ticket.Waited = 300 * event.Millisecond
	again.Ticket.Target = 900 * event.Millisecond
	s.Submit(near, "entry", again, &out)
	if len(out.Refusals) != 1 || out.Refusals[0].Reason != event.ReasonQuota {
		t.Errorf("%+v, want it refused at once: it has waited a quarter of its target", out)
	}
}

// TestWhatNeverRanCountsNothing: a quota counts what endpoints had. A request that
// waited and was refused, withdrawn, or whose entry went, gives back what it counted;
// before, only one that was refused at its arrival did.
func TestWhatNeverRanCountsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		waits bool
		end   func(s *State, out *event.Effects)
		want  int
	}{
		"refused when its time was over": {true, func(s *State, out *event.Effects) { s.Tick(event.Time(2*event.Second), out) }, 0},
		"withdrawn while it waited": {true, func(s *State, out *event.Effects) {
			s.Withdraw(0, "entry", message.Withdrawal{ID: "1", Service: "s"}, out)
		}, 0},
		"withdrawn before its grant was seen": {false, func(s *State, out *event.Effects) {
			s.Withdraw(0, "entry", message.Withdrawal{ID: "1", Service: "s"}, out)
		}, 0},
		"its entry went while it waited": {true, func(s *State, out *event.Effects) { s.EntryGone(0, "entry", out) }, 0},
		"its entry went while it ran":    {false, func(s *State, out *event.Effects) { s.EntryGone(0, "entry", out) }, 500},
		"it has run": {false, func(s *State, out *event.Effects) {
			s.Finish(0, &message.Finish{Finished: event.Finished{ID: "1", Pool: "s"}, Endpoint: "e"}, out)
		}, 500},
	} {
		s := newTestState(0)
		var out event.Effects
		if c.waits {
			s.SetEndpoint(0, message.Endpoint{
				Endpoint: registry.Endpoint{ID: "e", Service: "s", Address: "10.0.0.1:80", Slots: 1 << 20, Sequence: 2}, Down: true,
			}, &out)
		}
		s.Submit(0, "entry", submission(1, 500, false), &out)
		if granted := len(out.Grants) == 1; granted == c.waits {
			t.Fatalf("%s: granted %v", name, granted)
		}
		c.end(s, &out)
		if got := s.window("t").total(event.Time(2 * event.Second)); got != c.want {
			t.Errorf("%s: %d count, want %d", name, got, c.want)
		}
		if len(s.counted) != 0 {
			t.Errorf("%s: %d submissions are kept", name, len(s.counted))
		}
	}
}
