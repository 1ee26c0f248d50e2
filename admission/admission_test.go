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

// committingAllocator is an owner's Allocator whose records are committed at once.
type committingAllocator struct{ *budget.Allocator }

func (b committingAllocator) Spend(now event.Time, entry event.BoxID, a budget.Account, amount int) bool {
	if b.Allocator.Spend(now, entry, a, amount) {
		return true
	}
	b.MakeRecord(now)
	b.Committed()
	return b.Allocator.Spend(now, entry, a, amount)
}

// emptyPoisonTracker returns the tracker of an owner without a history.
func emptyPoisonTracker() *poison.Tracker { return poison.NewTracker(0, &poison.Ledger{}) }

// newTestState returns a State with one endpoint that has a large capacity.
func newTestState(now event.Time) *State {
	s := New(testLimits, 1, committingAllocator{budget.NewAllocator(now, 5*event.Second)}, emptyPoisonTracker())
	s.SetTable(now, testTable())
	var out event.Effects
	s.SetEndpoint(now, message.Endpoint{Endpoint: registry.Endpoint{ID: "e", Service: "s", Address: "10.0.0.1:80", Slots: 1 << 20, Sequence: 1}}, &out)
	return s
}

// spentOf returns the amount spent from an account.
func spentOf(s *State, now event.Time, a budget.Account) int {
	spent, _ := s.budget.Usage(now, a)
	return spent
}

func submission(id int, quota int, repeat bool) *message.Submission {
	return &message.Submission{
		Ticket: event.Ticket{ID: event.RequestID(fmt.Sprint(id)), Team: "t", Service: "s", Pool: "s", Deadline: event.Second},
		Quota:  quota, Repeat: repeat,
	}
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
			t.Fatalf("neither granted nor refused with a retry-after time: %+v", out)
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
			t.Fatalf("%d in 8 s from %v, limit %v", sum, event.Duration(from), limit)
		}
	}
}

func TestRetryBudgetHolds(t *testing.T) {
	s := newTestState(0)
	retries := 0
	for i := range 1000 {
		now := event.Time(i) * event.Time(event.Millisecond)
		var out event.Effects
		s.Submit(now, "entry", submission(i, 0, false), &out)
		out.Reset()
		s.Submit(now, "entry", submission(10000+i, 0, true), &out)
		retries += len(out.Grants)
	}
	if most := int(0.2*1000) + 20; retries > most || retries < most/2 {
		t.Errorf("%d retries of 1000 requests, the budget is %d", retries, most)
	}
}

func TestUnreachableEndpointIsNotGranted(t *testing.T) {
	s := newTestState(0)
	var out event.Effects
	s.Submit(0, "entry", submission(1, 0, false), &out)
	s.Finish(0, &message.Finish{
		Finished: event.Finished{ID: "1", Pool: "s", Void: true}, Endpoint: "e", Suspect: true,
	}, &out)
	out.Reset()
	s.Submit(event.Time(event.Millisecond), "entry", submission(2, 0, false), &out)
	if len(out.Grants) != 0 {
		t.Fatal("a recently unreachable endpoint was granted")
	}
	s.Tick(event.Time(failureBackoff+event.Millisecond), &out)
	if len(out.Grants) != 0 {
		// The request's deadline is a second: it may have been refused instead.
		return
	}
	s.Submit(event.Time(failureBackoff+2*event.Millisecond), "entry", submission(3, 0, false), &out)
	if len(out.Grants) != 1 {
		t.Errorf("the endpoint was not tried again: %+v", out)
	}
}

// TestRequestWaitsForQuota: a request waits if the quota is available within its target; another one is
// refused with the time when it is.
func TestRequestWaitsForQuota(t *testing.T) {
	s := newTestState(0)
	var out event.Effects
	fill := submission(1, 9400, false)
	s.Submit(0, "entry", fill, &out)
	if len(out.Grants) != 1 {
		t.Fatalf("the first request was not granted: %+v", out)
	}
	out.Reset()
	near := event.Time(7900 * event.Millisecond)
	longTarget := submission(2, 500, false)
	longTarget.Ticket.Target = 2 * event.Second
	s.Submit(near, "entry", longTarget, &out)
	shortTarget := submission(3, 500, false)
	shortTarget.Ticket.Target = 100 * event.Millisecond
	s.Submit(near, "entry", shortTarget, &out)
	if len(out.Grants) != 0 || len(out.Refusals) != 1 || out.Refusals[0].ID != "3" {
		t.Fatalf("want the request with the short target refused and the other one kept: %+v", out)
	}
	if after := out.Refusals[0].RetryAfter; after < 100*event.Millisecond || after > 400*event.Millisecond {
		t.Errorf("retry after %v, the quota is available in 0.1 s", after)
	}
	out.Reset()
	s.Tick(near.Add(200*event.Millisecond), &out)
	if len(out.Grants) != 1 || out.Grants[0].ID != "2" {
		t.Errorf("the quota is available and the request was not granted: %+v", out)
	}
}

// TestUnsentRequestIsRefunded: a request that was not sent is refunded to the quota, or to the retry
// budget; one that was rejected is not.
func TestUnsentRequestIsRefunded(t *testing.T) {
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
		quota, retries := spentOf(s, 0, budget.Team("t")), spentOf(s, 0, budget.Retries("s"))
		finish(s, c.unsent)
		gotQuota, gotRetries := quota-spentOf(s, 0, budget.Team("t")), retries-spentOf(s, 0, budget.Retries("s"))
		wantQuota, wantRetries := 0, 0
		switch {
		case c.unsent && c.repeat:
			wantRetries = 1
		case c.unsent:
			wantQuota = 500
		}
		if gotQuota != wantQuota || gotRetries != wantRetries {
			t.Errorf("%s: quota %d and %d retries refunded, want %d and %d", name, gotQuota, gotRetries, wantQuota, wantRetries)
		}
	}
}

// TestFailedEndpointGetsOneRequest: after its backoff an unreachable endpoint gets one request, and more
// once that has been served.
func TestFailedEndpointGetsOneRequest(t *testing.T) {
	s := newTestState(0)
	var out event.Effects
	s.Submit(0, "entry", submission(1, 0, false), &out)
	s.Finish(0, &message.Finish{Finished: event.Finished{ID: "1", Pool: "s", Void: true, Unused: true}, Endpoint: "e", Suspect: true}, &out)
	now := event.Time(failureBackoff + event.Millisecond)
	s.Tick(now, &out)
	out.Reset()
	for id := 2; id <= 4; id++ {
		s.Submit(now, "entry", submission(id, 0, false), &out)
	}
	if len(out.Grants) != 1 || !out.Grants[0].Fresh {
		t.Fatalf("grants %+v, want one", out.Grants)
	}
	probe := out.Grants[0].ID
	out.Reset()
	s.Finish(now, &message.Finish{Finished: event.Finished{ID: probe, Pool: "s"}, Endpoint: "e"}, &out)
	if len(out.Grants) != 2 {
		t.Errorf("%d granted after it served a request, want the other 2", len(out.Grants))
	}
}

// TestEarlierWaitCountsTowardsQuotaWait: a request that waited with another scheduler does not wait its
// full time for the quota again.
func TestEarlierWaitCountsTowardsQuotaWait(t *testing.T) {
	s := newTestState(0)
	var out event.Effects
	s.Submit(0, "entry", submission(1, 9400, false), &out)
	near := event.Time(7900 * event.Millisecond)
	out.Reset()
	again := submission(2, 500, false)
	again.Ticket.Waited = 300 * event.Millisecond
	again.Ticket.Target = 900 * event.Millisecond
	s.Submit(near, "entry", again, &out)
	if len(out.Refusals) != 1 || out.Refusals[0].Reason != event.ReasonQuota {
		t.Errorf("%+v, want a refusal at once: it has waited a quarter of its target", out)
	}
}

// TestRequestThatNeverRanIsRefunded: a waiting request that is refused, withdrawn or removed with its
// entry is refunded to the quota; one that was granted is not.
func TestRequestThatNeverRanIsRefunded(t *testing.T) {
	for name, c := range map[string]struct {
		waits bool
		end   func(s *State, out *event.Effects)
		want  int
	}{
		"refused after its deadline": {true, func(s *State, out *event.Effects) { s.Tick(event.Time(2*event.Second), out) }, 0},
		"withdrawn while it waited": {true, func(s *State, out *event.Effects) {
			s.Withdraw(0, "entry", message.Withdrawal{ID: "1", Service: "s"}, out)
		}, 0},
		"withdrawn before its grant was seen": {false, func(s *State, out *event.Effects) {
			s.Withdraw(0, "entry", message.Withdrawal{ID: "1", Service: "s"}, out)
		}, 0},
		"entry removed while it waited": {true, func(s *State, out *event.Effects) { s.EntryRemoved(0, "entry", out) }, 0},
		"entry removed while it ran":    {false, func(s *State, out *event.Effects) { s.EntryRemoved(0, "entry", out) }, 500},
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
		if got := spentOf(s, event.Time(2*event.Second), budget.Team("t")); got != c.want {
			t.Errorf("%s: %d spent, want %d", name, got, c.want)
		}
		if len(s.charges) != 0 {
			t.Errorf("%s: %d charges are kept", name, len(s.charges))
		}
	}
}

// TestRequestsWaitForBudgetRecord: a new owner receives waiting requests before its first record is
// committed; they must not be refused for their quota, however long they have waited.
func TestRequestsWaitForBudgetRecord(t *testing.T) {
	allocator := budget.NewAllocator(0, 5*event.Second)
	s := New(testLimits, 1, allocator, emptyPoisonTracker())
	s.SetTable(0, testTable())
	var out event.Effects
	s.SetEndpoint(0, message.Endpoint{Endpoint: registry.Endpoint{ID: "e", Service: "s", Address: "10.0.0.1:80", Slots: 9, Sequence: 1}}, &out)
	waited := submission(1, 100, false)
	waited.Ticket.Waited, waited.Ticket.Target = event.Second, 100*event.Millisecond
	s.Submit(0, "entry", waited, &out)
	s.Tick(event.Time(5*event.Millisecond), &out)
	if len(out.Refusals) != 0 {
		t.Fatalf("refused before the record is committed: %+v", out.Refusals)
	}
	allocator.MakeRecord(event.Time(6 * event.Millisecond))
	allocator.Committed()
	s.Unpark(event.Time(6*event.Millisecond), &out)
	if len(out.Grants) != 1 {
		t.Errorf("not granted after the record is committed: %+v", out)
	}
}

// TestOnlyEndpointStaysInUseAfterFailure: the only usable endpoint of a service keeps getting requests
// after it failed one; otherwise the service would be unavailable.
func TestOnlyEndpointStaysInUseAfterFailure(t *testing.T) {
	fail := func(s *State) {
		var out event.Effects
		s.Submit(0, "entry", submission(1, 0, false), &out)
		for _, g := range out.Grants {
			s.Finish(0, &message.Finish{Finished: event.Finished{ID: g.ID, Pool: "s", Failed: true}, Endpoint: g.Endpoint, Suspect: true}, &out)
		}
	}
	granted := func(s *State) int {
		var out event.Effects
		for id := 2; id <= 4; id++ {
			s.Submit(event.Time(event.Millisecond), "entry", submission(id, 0, false), &out)
		}
		return len(out.Grants)
	}
	s := newTestState(0)
	var out event.Effects
	s.SetEndpoint(0, message.Endpoint{Endpoint: registry.Endpoint{ID: "leaving", Service: "s", Address: "10.0.0.2:80", Slots: 9, Sequence: 1, Leaving: true}}, &out)
	s.SetEndpoint(0, message.Endpoint{Endpoint: registry.Endpoint{ID: "down", Service: "s", Address: "10.0.0.3:80", Slots: 9, Sequence: 1}, Down: true}, &out)
	fail(s)
	if got := granted(s); got != 3 {
		t.Errorf("%d of 3 requests granted at the only endpoint after it failed once", got)
	}
}

// TestQueueOrderReachesPools guards against an order of waiting requests that takes no effect:
// with ExpectedWork, a refusal states the expected run time of its request.
func TestQueueOrderReachesPools(t *testing.T) {
	for _, expectedWork := range [...]bool{false, true} {
		limits := testLimits
		limits.ExpectedWork = expectedWork
		s := New(limits, 1, committingAllocator{budget.NewAllocator(0, 5*event.Second)}, emptyPoisonTracker())
		s.SetTable(0, manyTable(1, "a"))
		var out event.Effects
		s.SetEndpoint(0, message.Endpoint{Endpoint: registry.Endpoint{ID: "e", Service: "s", Address: "10.0.0.1:80", Slots: 1, Sequence: 1}}, &out)
		for i := range 50 {
			ticket := event.Ticket{
				ID: event.RequestID(fmt.Sprint(i)), Service: "s", Pool: "s", PromptTokens: 100, OutputTokens: 1000,
				Target: event.Second, Patience: event.Second, Deadline: 5 * event.Second,
			}
			s.Submit(0, "entry", &message.Submission{Ticket: ticket}, &out)
		}
		if len(out.Refusals) == 0 || (out.Refusals[0].Inputs.Run > 0) != expectedWork {
			t.Errorf("expected work %v: %d refusals, %+v", expectedWork, len(out.Refusals), out.Refusals)
		}
	}
}
