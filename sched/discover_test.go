// SPDX-License-Identifier: MIT

package sched

import (
	"fmt"
	"testing"

	"lynxramp.org/event"
)

// discoveredPool returns a scheduler of a pool of discovered endpoints.
func discoveredPool(endpoints, slots int) *State {
	s := New(0, event.Pool{Name: pool, MaxWaiting: 40000, Discovered: true, Profile: event.Profile{
		PrefillRate: 10000, TokenGap: 5 * event.Millisecond, CallTime: 10 * event.Millisecond,
	}}, 1)
	var out event.Effects
	for i := range endpoints {
		s.Step(0, &event.EndpointUpdated{Endpoint: event.Endpoint{
			ID: event.EndpointID(fmt.Sprintf("e%04d", i)), Concurrency: slots, Speed: 1, DataCentre: fmt.Sprintf("z%d", i%4),
		}, Address: "10.0.0.1:80"}, &out)
	}
	return s
}

func submission(id int, change func(*event.Ticket)) *event.Submitted {
	t := event.Ticket{
		ID: event.RequestID(fmt.Sprintf("r%d", id)), Service: pool, Pool: pool, Deadline: 10 * event.Second,
		Target: event.Second, Patience: event.Second, PromptTokens: 100, OutputTokens: 50,
	}
	if change != nil {
		change(&t)
	}
	return &event.Submitted{Entry: "entry", Ticket: t}
}

func TestPrefersEndpointInSameDataCentre(t *testing.T) {
	s := discoveredPool(8, 1)
	for i := range 2 {
		var out event.Effects
		s.Step(0, submission(i, func(k *event.Ticket) { k.DataCentre = "z2" }), &out)
		if len(out.Grants) != 1 || (out.Grants[0].Endpoint != "e0002" && out.Grants[0].Endpoint != "e0006") {
			t.Errorf("grants %+v, want an endpoint of data centre z2", out.Grants)
		}
	}
	var out event.Effects
	s.Step(0, submission(9, func(k *event.Ticket) { k.DataCentre = "z2" }), &out)
	if len(out.Grants) != 1 {
		t.Error("no endpoint of another data centre was used while the near ones are full")
	}
}

func TestSlowEndpointIsAvoided(t *testing.T) {
	s := discoveredPool(2, 4)
	var out event.Effects
	for i := range 4 {
		out.Reset()
		s.Step(0, submission(i, nil), &out)
		gap := 5 * event.Millisecond
		if out.Grants[0].Endpoint == "e0000" {
			gap = 50 * event.Millisecond
		}
		s.Step(0, &event.Finished{ID: out.Grants[0].ID, Pool: pool, Tokens: 50, TokenGap: gap, FirstAfter: event.Millisecond}, &out)
	}
	out.Reset()
	s.Step(0, submission(9, nil), &out)
	if len(out.Grants) != 1 || out.Grants[0].Endpoint != "e0001" {
		t.Errorf("grants %+v, want the fast endpoint", out.Grants)
	}
}

func TestAvoidsEndpointsOfEarlierAttempts(t *testing.T) {
	s := discoveredPool(2, 4)
	var out event.Effects
	for i := range 6 {
		s.Step(0, submission(i, func(k *event.Ticket) { k.Avoid = []event.EndpointID{"e0000"} }), &out)
	}
	for _, g := range out.Grants {
		if g.Endpoint != "e0001" {
			t.Errorf("%s was granted a request that avoids it", g.Endpoint)
		}
	}
	if len(out.Grants) != 4 {
		t.Errorf("%d grants, the other endpoint has a capacity of 4", len(out.Grants))
	}
	// A request that must avoid the only free endpoint does not block others.
	out.Reset()
	s.Step(0, submission(20, nil), &out)
	if len(out.Grants) != 1 || out.Grants[0].Endpoint != "e0000" {
		t.Errorf("grants %+v, want one at the free endpoint", out.Grants)
	}
}

func TestRemovedEndpointReleasesItsGrants(t *testing.T) {
	s := discoveredPool(1, 1)
	var out event.Effects
	s.Step(0, submission(1, nil), &out)
	s.Step(0, &event.EndpointRemoved{ID: "e0000"}, &out)
	if s.Running() != 0 {
		t.Error("a grant remains at a removed endpoint")
	}
	out.Reset()
	s.Step(0, submission(2, nil), &out)
	if len(out.Grants) != 0 {
		t.Errorf("granted %+v without endpoints", out.Grants)
	}
}

func TestRemovedEntryReleasesItsRequests(t *testing.T) {
	s := discoveredPool(1, 1)
	var out event.Effects
	s.Step(0, submission(1, nil), &out)
	s.Step(0, submission(2, nil), &out)
	s.Step(0, &event.EntryRemoved{Entry: "entry"}, &out)
	if s.Running() != 0 || s.Waiting() != 0 {
		t.Errorf("%d running and %d waiting for a removed entry", s.Running(), s.Waiting())
	}
}

// overloaded returns a scheduler with one unit of capacity and a known drain rate: one
// request each 100 ms.
func overloaded(t *testing.T) (*State, event.Time) {
	t.Helper()
	s := discoveredPool(1, 1)
	now := event.Time(0)
	running := event.RequestID("")
	for i := range 60 {
		var out event.Effects
		s.Step(now, submission(i, func(k *event.Ticket) { k.Patience = 0; k.Deadline = event.Second / 2 }), &out)
		s.Step(now, &event.Finished{ID: running, Pool: pool, FirstAfter: event.Millisecond}, &out)
		for _, g := range out.Grants {
			running = g.ID
		}
		now = now.Add(100 * event.Millisecond)
	}
	return s, now
}

func TestRefusesExpectedTimeoutAtOnce(t *testing.T) {
	s, now := overloaded(t)
	var out event.Effects
	for i := range 30 {
		s.Step(now, submission(1000+i, nil), &out)
	}
	if len(out.Refusals) < 10 {
		t.Fatalf("%d of 30 refused at a drain rate of 10 a second and a timeout of 1 s", len(out.Refusals))
	}
	for _, r := range out.Refusals {
		if r.Reason != event.ReasonShed || r.RetryAfter < MinRetryAfter {
			t.Errorf("refused with %+v", r)
		}
	}
	// Nothing drains any more: waiting requests are refused as their time runs out, the
	// one at the head last, when its target has passed.
	atOnce := len(out.Refusals)
	for wait := event.Duration(0); wait <= event.Second+50*event.Millisecond; wait += 50 * event.Millisecond {
		s.Step(now.Add(wait), &event.Tick{}, &out)
		if wait <= event.Second/2 && len(out.Refusals) == 30 {
			t.Errorf("no request waits after %v, though one could be in time", wait)
		}
	}
	if len(out.Refusals) != 30 || atOnce == 30 {
		t.Errorf("%d of 30 refused at once and %d in total once their target had passed", atOnce, len(out.Refusals))
	}
}

// TestSkippedRequestKeepsItsPosition guards against counting later arrivals as work
// before a request that was skipped because it must avoid the free endpoint.
func TestSkippedRequestKeepsItsPosition(t *testing.T) {
	s := discoveredPool(2, 1)
	var out event.Effects
	s.Step(0, submission(0, func(k *event.Ticket) { k.Patience = 0 }), &out)
	s.Step(0, submission(1, func(k *event.Ticket) { k.Avoid = []event.EndpointID{"e0000", "e0001"}; k.Patience = 0 }), &out)
	first := s.queue.byID["r1"]
	for i := range 20 {
		s.Step(0, submission(10+i, func(k *event.Ticket) { k.Patience = 0 }), &out)
	}
	if first.workBefore != 0 || s.queue.tier(first.Rank, first.precedence).workAhead(first) != 0 {
		t.Errorf("%.2f s of work counted before the first request", s.queue.tier(first.Rank, first.precedence).workAhead(first))
	}
}

func TestRefusesNothingWhileCapacityIsFree(t *testing.T) {
	s, now := overloaded(t)
	var out event.Effects
	s.Step(now, &event.EndpointUpdated{Endpoint: event.Endpoint{ID: "e9", Concurrency: 40, Speed: 1}, Address: "10.0.0.9:80"}, &out)
	out.Reset()
	for i := range 30 {
		s.Step(now, submission(2000+i, nil), &out)
	}
	if len(out.Refusals) != 0 || len(out.Grants) != 30 {
		t.Errorf("%d refused and %d granted with a free capacity of 40", len(out.Refusals), len(out.Grants))
	}
}

// TestHigherRankGoesFirst also checks that a team's rank takes precedence over a route's.
func TestHigherRankGoesFirst(t *testing.T) {
	s := discoveredPool(1, 1)
	var out event.Effects
	rank := func(team, route int) func(*event.Ticket) {
		return func(k *event.Ticket) {
			k.Rank = team*TeamRankStride + route
			k.Patience = 0
		}
	}
	s.Step(0, submission(0, nil), &out)
	s.Step(0, submission(1, rank(-1, 0)), &out)
	s.Step(0, submission(2, rank(0, -2)), &out)
	s.Step(0, submission(3, rank(0, -1)), &out)
	var order []event.RequestID
	running := event.RequestID("r0")
	for range 3 {
		out.Reset()
		s.Step(0, &event.Finished{ID: running, Pool: pool}, &out)
		running = out.Grants[0].ID
		order = append(order, running)
	}
	if fmt.Sprint(order) != "[r3 r2 r1]" {
		t.Errorf("order %v, want r3 r2 r1", order)
	}
}

// TestCheapClassIsPromoted checks that only a class of little work that is refused more
// often than the next higher one is promoted to its rank.
func TestCheapClassIsPromoted(t *testing.T) {
	s := discoveredPool(1, 1)
	expensive := func(k *event.Ticket) { k.Rank = 0; k.PromptTokens = 8000 }
	cheap := func(k *event.Ticket) { k.Rank = -1; k.PromptTokens = 10; k.OutputTokens = 1 }
	own := &ticket{Ticket: submission(1, cheap).Ticket, class: s.classes.forRank(-1), expectedTokens: 1}
	for range 100 {
		s.promote(0, &ticket{Ticket: submission(0, expensive).Ticket, class: s.classes.forRank(0), expectedTokens: 50})
		s.promote(0, own)
	}
	if got := s.promote(0, own); got != -1 {
		t.Errorf("rank %d while served as often as the next higher class, want its own", got)
	}
	s.classes.forRank(-1).refused.add(0, 20)
	if got := s.promote(0, own); got != 0 {
		t.Errorf("rank %d while refused more often, want the next higher rank", got)
	}
	costly := &ticket{Ticket: submission(2, func(k *event.Ticket) { k.Rank = -2; k.PromptTokens = 9000 }).Ticket, class: s.classes.forRank(-2), expectedTokens: 50}
	for range 50 {
		s.promote(0, costly)
	}
	s.classes.forRank(-2).refused.add(0, 40)
	if got := s.promote(0, costly); got != -2 {
		t.Errorf("rank %d of a class that is not cheap, want its own", got)
	}
}

// BenchmarkDiscovered measures a request's end and the grant that follows in a full pool
// of discovered endpoints.
func BenchmarkDiscovered(b *testing.B) { benchmarkDiscovered(b, false, func(*State, int) {}) }

// BenchmarkDiscoveredByWork is BenchmarkDiscovered with the order by expected work and its
// forecasts.
func BenchmarkDiscoveredByWork(b *testing.B) { benchmarkDiscovered(b, true, func(*State, int) {}) }

// BenchmarkDiscoveredRollout is BenchmarkDiscovered with a roll-out under way: a fifth more endpoints, of an
// unproved version and with an allowance.
func BenchmarkDiscoveredRollout(b *testing.B) {
	benchmarkDiscovered(b, false, func(s *State, endpoints int) {
		var out event.Effects
		for i := range max(1, endpoints/5) {
			s.Step(0, canaryEndpoint(fmt.Sprintf("new%04d", i), 10, event.ModeCanary), &out)
		}
		s.Step(0, &event.CanaryAllowanceChanged{Count: 1 << 30}, &out)
	})
}

func benchmarkDiscovered(b *testing.B, expectedWork bool, prepare func(s *State, endpoints int)) {
	for _, size := range [...]struct{ endpoints, waiting int }{{18, 200}, {110, 2000}, {1100, 2000}, {1100, 20000}} {
		b.Run(fmt.Sprintf("endpoints=%d/waiting=%d", size.endpoints, size.waiting), func(b *testing.B) {
			s := discoveredPool(size.endpoints, 10)
			if expectedWork {
				s = workPool(size.endpoints, 10)
			}
			prepare(s, size.endpoints)
			noTimeout := func(k *event.Ticket) {
				k.Patience = 0
				if expectedWork {
					k.Patience, k.Target = 1800*event.Second, 1800*event.Second
					k.OutputTokens = 10 + len(k.ID)*7919%400
				}
				k.Deadline = 3600 * event.Second
				k.Team = fmt.Sprint("team", len(k.ID)%7)
				k.DataCentre = "z1"
			}
			var out event.Effects
			for i := 0; s.Waiting() < size.waiting; i++ {
				s.Step(0, submission(i, noTimeout), &out)
			}
			running := make([]event.RequestID, 0, len(out.Grants))
			for _, g := range out.Grants {
				running = append(running, g.ID)
			}
			submissions := make([]*event.Submitted, b.N)
			for i := range submissions {
				submissions[i] = submission(1_000_000+i, noTimeout)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				out.Reset()
				s.Step(0, submissions[i], &out)
				n := i % len(running)
				s.Step(0, &event.Finished{ID: running[n], Pool: pool, TokenGap: 5 * event.Millisecond}, &out)
				if len(out.Grants) > 0 {
					running[n] = out.Grants[0].ID
				}
			}
		})
	}
}

// TestIdlePoolAcceptsBurst guards against estimating the capacity from recent throughput,
// which is low in an idle pool.
func TestIdlePoolAcceptsBurst(t *testing.T) {
	s := discoveredPool(2, 5)
	now := event.Time(0)
	for i := range runTimeSamples + 1 {
		var out event.Effects
		s.Step(now, submission(i, nil), &out)
		now = now.Add(500 * event.Millisecond)
		for _, g := range out.Grants {
			s.Step(now, &event.Finished{ID: g.ID, Pool: pool, FirstAfter: event.Millisecond}, &out)
		}
	}
	var out event.Effects
	for i := range 20 {
		s.Step(now, submission(1000+i, nil), &out)
	}
	if len(out.Refusals) != 0 || len(out.Grants) != 10 {
		t.Errorf("%d refused and %d granted, want 10 granted and none refused", len(out.Refusals), len(out.Grants))
	}
}

func TestLeastOutstandingBalancesByCount(t *testing.T) {
	s := New(0, event.Pool{Name: pool, MaxWaiting: 100, Discovered: true, LeastOutstanding: true}, 1)
	var out event.Effects
	for _, id := range []event.EndpointID{"a", "b"} {
		s.Step(0, &event.EndpointUpdated{Endpoint: event.Endpoint{ID: id, Concurrency: 4, Speed: 1}, Address: "10.0.0.1:80"}, &out)
	}
	for i := range 8 {
		s.Step(0, submission(i, nil), &out)
	}
	for i, g := range out.Grants {
		if want := []event.EndpointID{"a", "b"}[i%2]; g.Endpoint != want {
			t.Errorf("request %d went to %s, want %s", i, g.Endpoint, want)
		}
	}
}

// TestPrecedenceWithinRank checks the order within a rank: resumed streams, requests that
// can meet their target on the first attempt, then late requests and those refused
// before.
func TestPrecedenceWithinRank(t *testing.T) {
	s := discoveredPool(1, 1)
	var out event.Effects
	noTimeout := func(change func(*event.Ticket)) func(*event.Ticket) {
		return func(k *event.Ticket) {
			k.Patience = 0
			if change != nil {
				change(k)
			}
		}
	}
	s.Step(0, submission(0, nil), &out)
	s.Step(0, submission(1, noTimeout(func(k *event.Ticket) { k.Target = 100 * event.Millisecond })), &out)
	s.Step(0, submission(2, noTimeout(func(k *event.Ticket) { k.Returned = true })), &out)
	s.Step(0, submission(3, noTimeout(nil)), &out)
	s.Step(0, submission(4, noTimeout(func(k *event.Ticket) { k.Placed = true })), &out)
	now := event.Time(200 * event.Millisecond)
	s.Step(now, &event.Tick{}, &out)
	want := []event.RequestID{"r4", "r3", "r1", "r2"}
	running := event.RequestID("r0")
	for i, id := range want {
		out.Reset()
		s.Step(now, &event.Finished{ID: running, Pool: pool}, &out)
		if len(out.Grants) != 1 || out.Grants[0].ID != id {
			t.Fatalf("grant %d is %+v, want %s", i, out.Grants, id)
		}
		running = id
	}
}

// TestExpectedWaitCountsRunTime checks that a queue of short requests is expected to
// drain sooner than one of as many long ones.
func TestExpectedWaitCountsRunTime(t *testing.T) {
	refused := func(tokens int) int {
		s := discoveredPool(1, 4)
		var out event.Effects
		for i := range 40 {
			s.Step(0, submission(i, func(k *event.Ticket) { k.OutputTokens = tokens }), &out)
		}
		return len(out.Refusals)
	}
	if short, long := refused(10), refused(400); short != 0 || long < 20 {
		t.Errorf("%d of 40 short and %d of 40 long requests refused", short, long)
	}
}

// TestUnusedGrantCausesNoBackoff checks that only an endpoint that was offered a request
// and did not accept it backs off.
func TestUnusedGrantCausesNoBackoff(t *testing.T) {
	for _, unused := range []bool{true, false} {
		s := discoveredPool(1, 1)
		var out event.Effects
		s.Step(0, submission(1, nil), &out)
		s.Step(0, &event.Finished{ID: "r1", Pool: pool, Void: true, Unused: unused}, &out)
		out.Reset()
		s.Step(0, submission(2, nil), &out)
		if got := len(out.Grants) == 1; got != unused {
			t.Errorf("unused %v: granted without backoff: %v", unused, got)
		}
	}
}

// TestHalfOpenEndpointGetsOneRequest checks that an endpoint that failed gets one request
// at a time, on a new connection, until it has served again.
func TestHalfOpenEndpointGetsOneRequest(t *testing.T) {
	s := discoveredPool(1, 4)
	seen := &event.EndpointUpdated{
		Endpoint: event.Endpoint{ID: "e0000", Concurrency: 4, Speed: 1}, Address: "10.0.0.1:80", HalfOpen: true,
	}
	var out event.Effects
	s.Step(0, seen, &out)
	for i := range 4 {
		s.Step(0, submission(i, nil), &out)
	}
	if len(out.Grants) != 1 || !out.Grants[0].Fresh {
		t.Fatalf("grants %+v, want one on a new connection", out.Grants)
	}
	out.Reset()
	seen.HalfOpen = false
	s.Step(0, seen, &out)
	if len(out.Grants) != 3 || out.Grants[0].Fresh {
		t.Errorf("grants %+v, want the other three", out.Grants)
	}
}

// TestOverloadedEntryDoesNotSlowEndpoints: requests that waited for their entry made endpoints look slow, and the
// requests of other entries were shed.
func TestOverloadedEntryDoesNotSlowEndpoints(t *testing.T) {
	for _, tokens := range []int{0, 50} {
		s := discoveredPool(2, 4)
		s.pool.ExpectedWork = true
		shape := func(k *event.Ticket) { k.Rank, k.OutputTokens = 1, tokens }
		var out event.Effects
		now := event.Time(0)
		finish := func(id int, took event.Duration, delayed bool) {
			out.Reset()
			s.Step(now, submission(id, shape), &out)
			now = now.Add(took)
			f := &event.Finished{ID: out.Grants[0].ID, Pool: pool, Tokens: tokens, FirstAfter: took, Delayed: delayed}
			if tokens > 0 {
				s.Step(now, &event.Begun{ID: f.ID, Pool: pool, After: took, Delayed: delayed}, &out)
				f.TokenGap = took / 50
			}
			s.Step(now, f, &out)
		}
		for i := range 2 * runTimeSamples {
			finish(i, 250*event.Millisecond, false)
		}
		state := func() string {
			return fmt.Sprint(s.byID["e0000"].presentSpeed(now), s.byID["e0001"].presentSpeed(now), s.runTime, s.prefill, s.transit,
				s.classes.forRank(1).runTime, s.classes.forRank(1).workRatio)
		}
		before := state()
		for i := range runTimeSamples {
			finish(1000+i, 5*event.Second, true)
		}
		if after := state(); after != before {
			t.Errorf("%d tokens: the estimates were\n%s, and after requests that waited for their entry\n%s", tokens, before, after)
		}
		finish(2000, 5*event.Second, false)
		if state() == before {
			t.Errorf("%d tokens: the estimates don't follow a request that waited for no entry", tokens)
		}
	}
}
