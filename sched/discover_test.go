// SPDX-License-Identifier: MIT

package sched

import (
	"fmt"
	"testing"

	"lynxramp.org/event"
)

// discovered returns a scheduler of a pool whose endpoints tell of themselves.
func discovered(endpoints, slots int) *State {
	s := New(0, event.Pool{Name: pool, MaxWaiting: 40000, Discovered: true, Profile: event.Profile{
		PrefillRate: 10000, TokenGap: 5 * event.Millisecond, CallTime: 10 * event.Millisecond,
	}}, 1)
	var out event.Effects
	for i := range endpoints {
		s.Step(0, &event.EndpointSeen{Endpoint: event.Endpoint{
			ID: event.EndpointID(fmt.Sprintf("e%04d", i)), Concurrency: slots, Speed: 1, DataCentre: fmt.Sprintf("z%d", i%4),
		}, Address: "10.0.0.1:80"}, &out)
	}
	return s
}

func call(id int, change func(*event.Ticket)) *event.Submitted {
	t := event.Ticket{
		ID: event.RequestID(fmt.Sprintf("r%d", id)), Service: pool, Pool: pool, Deadline: 10 * event.Second,
		Target: event.Second, Patience: event.Second, PromptTokens: 100, OutputTokens: 50,
	}
	if change != nil {
		change(&t)
	}
	return &event.Submitted{Entry: "entry", Ticket: t}
}

func TestNearEndpointIsChosenAmongEqual(t *testing.T) {
	s := discovered(8, 1)
	for i := range 2 {
		var out event.Effects
		s.Step(0, call(i, func(k *event.Ticket) { k.DataCentre = "z2" }), &out)
		if len(out.Grants) != 1 || (out.Grants[0].Endpoint != "e0002" && out.Grants[0].Endpoint != "e0006") {
			t.Errorf("grants %+v, want an endpoint of data centre z2", out.Grants)
		}
	}
	var out event.Effects
	s.Step(0, call(9, func(k *event.Ticket) { k.DataCentre = "z2" }), &out)
	if len(out.Grants) != 1 {
		t.Error("with the near ones full a far one was not taken")
	}
}

func TestSlowEndpointIsAvoided(t *testing.T) {
	s := discovered(2, 4)
	var out event.Effects
	for i := range 4 {
		out.Reset()
		s.Step(0, call(i, nil), &out)
		gap := 5 * event.Millisecond
		if out.Grants[0].Endpoint == "e0000" {
			gap = 50 * event.Millisecond
		}
		s.Step(0, &event.Finished{ID: out.Grants[0].ID, Pool: pool, Tokens: 50, TokenGap: gap, FirstAfter: event.Millisecond}, &out)
	}
	out.Reset()
	s.Step(0, call(9, nil), &out)
	if len(out.Grants) != 1 || out.Grants[0].Endpoint != "e0001" {
		t.Errorf("grants %+v, want the fast endpoint", out.Grants)
	}
}

func TestEndpointThatHadTheRequestIsAvoided(t *testing.T) {
	s := discovered(2, 4)
	var out event.Effects
	for i := range 6 {
		s.Step(0, call(i, func(k *event.Ticket) { k.Avoid = []event.EndpointID{"e0000"} }), &out)
	}
	for _, g := range out.Grants {
		if g.Endpoint != "e0001" {
			t.Errorf("%s was granted again", g.Endpoint)
		}
	}
	if len(out.Grants) != 4 {
		t.Errorf("%d grants, the other endpoint has 4 places", len(out.Grants))
	}
	// One that must avoid the only free endpoint does not hold up others.
	out.Reset()
	s.Step(0, call(20, nil), &out)
	if len(out.Grants) != 1 || out.Grants[0].Endpoint != "e0000" {
		t.Errorf("grants %+v, want one at the free endpoint", out.Grants)
	}
}

func TestGoneEndpointGivesItsPlacesBack(t *testing.T) {
	s := discovered(1, 1)
	var out event.Effects
	s.Step(0, call(1, nil), &out)
	s.Step(0, &event.EndpointGone{ID: "e0000"}, &out)
	if s.Running() != 0 {
		t.Error("a request runs at an endpoint that is gone")
	}
	out.Reset()
	s.Step(0, call(2, nil), &out)
	if len(out.Grants) != 0 {
		t.Errorf("granted %+v without an endpoint", out.Grants)
	}
}

func TestGoneEntryFreesItsPlaces(t *testing.T) {
	s := discovered(1, 1)
	var out event.Effects
	s.Step(0, call(1, nil), &out)
	s.Step(0, call(2, nil), &out)
	s.Step(0, &event.EntryGone{Entry: "entry"}, &out)
	if s.Running() != 0 || s.Waiting() != 0 {
		t.Errorf("%d run and %d wait for an entry that is gone", s.Running(), s.Waiting())
	}
}

// overloaded fills a pool whose drain is slow and known: one place, an end each
// 100 ms.
func overloaded(t *testing.T) (*State, event.Time) {
	t.Helper()
	s := discovered(1, 1)
	now := event.Time(0)
	running := event.RequestID("")
	for i := range 60 {
		var out event.Effects
		s.Step(now, call(i, func(k *event.Ticket) { k.Patience = 0; k.Deadline = event.Second / 2 }), &out)
		s.Step(now, &event.Finished{ID: running, Pool: pool, FirstAfter: event.Millisecond}, &out)
		for _, g := range out.Grants {
			running = g.ID
		}
		now = now.Add(100 * event.Millisecond)
	}
	return s, now
}

func TestHopelessWaitIsRefusedAtOnce(t *testing.T) {
	s, now := overloaded(t)
	var out event.Effects
	for i := range 30 {
		s.Step(now, call(1000+i, nil), &out)
	}
	if len(out.Refusals) < 10 {
		t.Fatalf("%d of 30 refused, 10 a second drain and each may wait a second", len(out.Refusals))
	}
	for _, r := range out.Refusals {
		if r.Reason != event.ReasonShed || r.RetryAfter < MinRetryAfter {
			t.Errorf("refused with %+v", r)
		}
	}
	// Nothing drains any more: those that wait are told so as their time runs out, the one that
	// is next last, when its target is over.
	told := len(out.Refusals)
	for wait := event.Span(0); wait <= event.Second+50*event.Millisecond; wait += 50 * event.Millisecond {
		s.Step(now.Add(wait), &event.Tick{}, &out)
		if wait <= event.Second/2 && len(out.Refusals) == 30 {
			t.Errorf("nobody waits after %v, though one could be in time", wait)
		}
	}
	if len(out.Refusals) != 30 || told == 30 {
		t.Errorf("%d of 30 told at once and %d in all when their target was over", told, len(out.Refusals))
	}
}

// TestPassedOverRequestKeepsItsPlace: a request that is passed over, since it must not go to
// the endpoint that has room, has no more work before it than it had when it came. It was
// counted behind all that came after it, and refused for a wait that it did not have.
func TestPassedOverRequestKeepsItsPlace(t *testing.T) {
	s := discovered(2, 1)
	var out event.Effects
	s.Step(0, call(0, func(k *event.Ticket) { k.Patience = 0 }), &out)
	s.Step(0, call(1, func(k *event.Ticket) { k.Avoid = []event.EndpointID{"e0000", "e0001"}; k.Patience = 0 }), &out)
	first := s.queue.byID["r1"]
	for i := range 20 {
		s.Step(0, call(10+i, func(k *event.Ticket) { k.Patience = 0 }), &out)
	}
	if first.workBefore != 0 || s.queue.tier(first.Rank, first.precedence).workAhead(first) != 0 {
		t.Errorf("%.2f s of work are counted before the request that came first", s.queue.tier(first.Rank, first.precedence).workAhead(first))
	}
}

func TestNothingIsRefusedWhilePlacesAreFree(t *testing.T) {
	s, now := overloaded(t)
	var out event.Effects
	s.Step(now, &event.EndpointSeen{Endpoint: event.Endpoint{ID: "e9", Concurrency: 40, Speed: 1}, Address: "10.0.0.9:80"}, &out)
	out.Reset()
	for i := range 30 {
		s.Step(now, call(2000+i, nil), &out)
	}
	if len(out.Refusals) != 0 || len(out.Grants) != 30 {
		t.Errorf("%d refused and %d granted with 40 free places", len(out.Refusals), len(out.Grants))
	}
}

// TestHigherRankGoesFirst also holds for a team's rank over a route's.
func TestHigherRankGoesFirst(t *testing.T) {
	s := discovered(1, 1)
	var out event.Effects
	rank := func(team, route int) func(*event.Ticket) {
		return func(k *event.Ticket) {
			k.Rank = team*RanksOfTeam + route
			k.Patience = 0
		}
	}
	s.Step(0, call(0, nil), &out)
	s.Step(0, call(1, rank(-1, 0)), &out)
	s.Step(0, call(2, rank(0, -2)), &out)
	s.Step(0, call(3, rank(0, -1)), &out)
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

// TestCheapClassIsServedBesideTheOneAbove: a class of next to no work, refused more
// often than the one above it, waits at that one's rank.
func TestCheapClassIsServedBesideTheOneAbove(t *testing.T) {
	s := discovered(1, 1)
	dear := func(k *event.Ticket) { k.Rank = 0; k.PromptTokens = 8000 }
	cheap := func(k *event.Ticket) { k.Rank = -1; k.PromptTokens = 10; k.OutputTokens = 1 }
	own := &ticket{Ticket: call(1, cheap).Ticket, class: s.classes.forRank(-1), expectedTokens: 1}
	for range 100 {
		s.promote(0, &ticket{Ticket: call(0, dear).Ticket, class: s.classes.forRank(0), expectedTokens: 50})
		s.promote(0, own)
	}
	if got := s.promote(0, own); got != -1 {
		t.Errorf("rank %d while it is served as often, want its own", got)
	}
	s.classes.forRank(-1).refused.add(0, 20)
	if got := s.promote(0, own); got != 0 {
		t.Errorf("rank %d while it is refused more often, want that above", got)
	}
	costly := &ticket{Ticket: call(2, func(k *event.Ticket) { k.Rank = -2; k.PromptTokens = 9000 }).Ticket, class: s.classes.forRank(-2), expectedTokens: 50}
	for range 50 {
		s.promote(0, costly)
	}
	s.classes.forRank(-2).refused.add(0, 40)
	if got := s.promote(0, costly); got != -2 {
		t.Errorf("rank %d of a class that is not cheap, want its own", got)
	}
}

// BenchmarkDiscovered measures an end and the decision that follows in a pool whose
// endpoints are full.
func BenchmarkDiscovered(b *testing.B) {
	for _, size := range [...]struct{ endpoints, waiting int }{{18, 200}, {110, 2000}, {1100, 2000}, {1100, 20000}} {
		b.Run(fmt.Sprintf("endpoints=%d/waiting=%d", size.endpoints, size.waiting), func(b *testing.B) {
			s := discovered(size.endpoints, 10)
			patient := func(k *event.Ticket) {
				k.Patience = 0
				k.Deadline = 3600 * event.Second
				k.Team = fmt.Sprint("team", len(k.ID)%7)
				k.DataCentre = "z1"
			}
			var out event.Effects
			for i := range 10*size.endpoints + size.waiting {
				s.Step(0, call(i, patient), &out)
			}
			running := make([]event.RequestID, 0, len(out.Grants))
			for _, g := range out.Grants {
				running = append(running, g.ID)
			}
			fresh := make([]*event.Submitted, b.N)
			for i := range fresh {
				fresh[i] = call(1_000_000+i, patient)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				out.Reset()
				s.Step(0, fresh[i], &out)
				n := i % len(running)
				s.Step(0, &event.Finished{ID: running[n], Pool: pool, TokenGap: 5 * event.Millisecond}, &out)
				if len(out.Grants) > 0 {
					running[n] = out.Grants[0].ID
				}
			}
		})
	}
}

// TestQuietPoolTakesABurst: the few requests of a quiet time say nothing of how many
// a pool can run. It failed when only what drained lately counted.
func TestQuietPoolTakesABurst(t *testing.T) {
	s := discovered(2, 5)
	now := event.Time(0)
	for i := range runTimeSamples + 1 {
		var out event.Effects
		s.Step(now, call(i, nil), &out)
		now = now.Add(500 * event.Millisecond)
		for _, g := range out.Grants {
			s.Step(now, &event.Finished{ID: g.ID, Pool: pool, FirstAfter: event.Millisecond}, &out)
		}
	}
	var out event.Effects
	for i := range 20 {
		s.Step(now, call(1000+i, nil), &out)
	}
	if len(out.Refusals) != 0 || len(out.Grants) != 10 {
		t.Errorf("%d refused and %d granted, want 10 at once and 10 after half a second", len(out.Refusals), len(out.Grants))
	}
}

func TestLeastOutstandingIsTheBaseline(t *testing.T) {
	s := New(0, event.Pool{Name: pool, MaxWaiting: 100, Discovered: true, LeastOutstanding: true}, 1)
	var out event.Effects
	for _, id := range []event.EndpointID{"a", "b"} {
		s.Step(0, &event.EndpointSeen{Endpoint: event.Endpoint{ID: id, Concurrency: 4, Speed: 1}, Address: "10.0.0.1:80"}, &out)
	}
	for i := range 8 {
		s.Step(0, call(i, nil), &out)
	}
	for i, g := range out.Grants {
		if want := []event.EndpointID{"a", "b"}[i%2]; g.Endpoint != want {
			t.Errorf("request %d went to %s, want %s", i, g.Endpoint, want)
		}
	}
}

// TestFullWorthGoesFirst: within a rank a stream that is resumed goes first, then what
// can be in time at its first try, then what was refused before, and what is late.
func TestFullWorthGoesFirst(t *testing.T) {
	s := discovered(1, 1)
	var out event.Effects
	patient := func(change func(*event.Ticket)) func(*event.Ticket) {
		return func(k *event.Ticket) {
			k.Patience = 0
			if change != nil {
				change(k)
			}
		}
	}
	s.Step(0, call(0, nil), &out)
	s.Step(0, call(1, patient(func(k *event.Ticket) { k.Target = 100 * event.Millisecond })), &out)
	s.Step(0, call(2, patient(func(k *event.Ticket) { k.Returned = true })), &out)
	s.Step(0, call(3, patient(nil)), &out)
	s.Step(0, call(4, patient(func(k *event.Ticket) { k.Placed = true })), &out)
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

// TestForecastCountsTimeNotRequests: a queue of short requests drains sooner than one
// of as many long ones.
func TestForecastCountsTimeNotRequests(t *testing.T) {
	refused := func(tokens int) int {
		s := discovered(1, 4)
		var out event.Effects
		for i := range 40 {
			s.Step(0, call(i, func(k *event.Ticket) { k.OutputTokens = tokens }), &out)
		}
		return len(out.Refusals)
	}
	if short, long := refused(10), refused(400); short != 0 || long < 20 {
		t.Errorf("%d of 40 short and %d of 40 long requests refused", short, long)
	}
}

// TestUnusedGrantLeavesItsEndpointAsItIs: an endpoint that did not take a request is
// left alone for a while, one that was not offered it is not.
func TestUnusedGrantLeavesItsEndpointAsItIs(t *testing.T) {
	for _, unused := range []bool{true, false} {
		s := discovered(1, 1)
		var out event.Effects
		s.Step(0, call(1, nil), &out)
		s.Step(0, &event.Finished{ID: "r1", Pool: pool, Void: true, Unused: unused}, &out)
		out.Reset()
		s.Step(0, call(2, nil), &out)
		if got := len(out.Grants) == 1; got != unused {
			t.Errorf("unused %v: granted again at once: %v", unused, got)
		}
	}
}

// TestUnsureEndpointGetsOneRequestOnANewConnection: until an endpoint that failed has
// served again, no more than one request is at stake there, and on a connection whose
// failure tells that nothing was sent.
func TestUnsureEndpointGetsOneRequestOnANewConnection(t *testing.T) {
	s := discovered(1, 4)
	seen := &event.EndpointSeen{
		Endpoint: event.Endpoint{ID: "e0000", Concurrency: 4, Speed: 1}, Address: "10.0.0.1:80", Unsure: true,
	}
	var out event.Effects
	s.Step(0, seen, &out)
	for i := range 4 {
		s.Step(0, call(i, nil), &out)
	}
	if len(out.Grants) != 1 || !out.Grants[0].Fresh {
		t.Fatalf("grants %+v, want one that asks for a new connection", out.Grants)
	}
	out.Reset()
	seen.Unsure = false
	s.Step(0, seen, &out)
	if len(out.Grants) != 3 || out.Grants[0].Fresh {
		t.Errorf("grants %+v, want the other three", out.Grants)
	}
}
