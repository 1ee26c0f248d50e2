// SPDX-License-Identifier: MIT

package sched

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lynxramp.org/event"
)

// workPool returns a scheduler that orders by expected work, with full endpoints.
func workPool(endpoints, slots int) *State {
	s := discoveredPool(endpoints, slots)
	s.pool.ExpectedWork = true
	s.queue.byWork = true
	return s
}

// fill occupies all slots with requests of 1,000 tokens, some 5 s.
func fill(s *State, slots int) {
	var out event.Effects
	for i := range slots {
		s.Step(0, submission(100_000+i, func(k *event.Ticket) { k.OutputTokens, k.Patience, k.Deadline = 1000, 0, 60*event.Second }), &out)
	}
}

// end finishes the n-th request of fill.
func end(s *State, now event.Time, n int) *event.Effects {
	var out event.Effects
	s.Step(now, &event.Finished{ID: event.RequestID(fmt.Sprintf("r%d", 100_000+n)), Pool: pool, Tokens: 1000}, &out)
	return &out
}

func patient(tokens int) func(*event.Ticket) {
	return func(k *event.Ticket) {
		k.OutputTokens, k.Target, k.Patience, k.Deadline = tokens, 30*event.Second, 30*event.Second, 60*event.Second
	}
}

// TestShortRequestGoesFirst guards against a long response before short ones in a full pool.
func TestShortRequestGoesFirst(t *testing.T) {
	s := workPool(1, 2)
	fill(s, 2)
	var out event.Effects
	s.Step(1, submission(1, patient(800)), &out)
	s.Step(2, submission(2, patient(20)), &out)
	if got := end(s, 3, 0).Grants; len(got) != 1 || got[0].ID != "r2" {
		t.Errorf("granted %+v, want the short request r2", got)
	}
}

// TestReportedSlowdownOrdersByWork guards against an order by expected work where no endpoint reports a slowdown, and
// against waiting requests that keep the order of arrival once one does.
func TestReportedSlowdownOrdersByWork(t *testing.T) {
	for _, reports := range []bool{false, true} {
		s := discoveredPool(1, 3)
		s.pool.ExpectedWorkIfSlowed = true
		fill(s, 3)
		var out event.Effects
		s.Step(1, submission(1, patient(800)), &out)
		s.Step(2, submission(2, patient(20)), &out)
		if reports {
			s.Step(3, &event.Begun{ID: "r100000", Pool: pool, After: event.Millisecond, Slowdown: 2}, &out)
		}
		want := event.RequestID("r1")
		if reports {
			want = "r2"
		}
		if got := end(s, 4, 1).Grants; len(got) != 1 || got[0].ID != want {
			t.Errorf("slowdown reported: %v; granted %+v, want %s", reports, got, want)
		}
		if got := end(s, 5, 2).Grants; len(got) != 1 || s.Waiting() != 0 {
			t.Errorf("slowdown reported: %v; granted %+v, %d requests wait", reports, got, s.Waiting())
		}
	}
}

// setSlowness makes all endpoints take so many times their usual time.
func setSlowness(s *State, slowness float64) {
	for _, e := range s.endpoints {
		e.slowness, e.slownessAt = slowness, 1
	}
	s.refreshViews(1)
}

// TestResponsesThatCannotEndAreNotBegun guards against slots that are held by responses which their deadline cuts off. A
// request that may have run is never refused for its wait, so it must not be kept until its deadline.
func TestResponsesThatCannotEndAreNotBegun(t *testing.T) {
	for name, c := range map[string]struct {
		slowness float64
		patience event.Duration
		want     bool
	}{
		"ends":         {1, 30 * event.Second, true},
		"cannot end":   {5, 30 * event.Second, false},
		"may have run": {5, 0, true},
	} {
		s := workPool(1, 2)
		setSlowness(s, c.slowness)
		var out event.Effects
		s.Step(1, submission(1, func(k *event.Ticket) {
			patient(800)(k) // some 4 s
			k.Deadline, k.Patience = 10*event.Second, c.patience
		}), &out)
		if (len(out.Grants) == 1) != c.want || len(out.Refusals) > 0 {
			t.Errorf("%s: granted %+v, refused %+v", name, out.Grants, out.Refusals)
		}
	}
}

// TestFreeSlotsServeOthersInLargePool guards against a request that can't end in time at any free endpoint and holds up
// those behind it. In a large pool few requests may be passed over in one step.
func TestFreeSlotsServeOthersInLargePool(t *testing.T) {
	s := workPool(600, 2)
	setSlowness(s, 5)
	var out event.Effects
	s.Step(1, submission(1, func(k *event.Ticket) {
		patient(800)(k)
		k.Deadline, k.Rank = 10*event.Second, 1
	}), &out)
	s.Step(2, submission(2, patient(20)), &out)
	if !slices.ContainsFunc(out.Grants, func(g event.Granted) bool { return g.ID == "r2" }) {
		t.Errorf("granted %+v, want the short request r2", out.Grants)
	}
}

// TestLongRequestAges guards against starvation: a steady load of short requests may not keep
// a long one waiting for more than agingFactor times its run time.
func TestLongRequestAges(t *testing.T) {
	s := workPool(1, 2)
	fill(s, 2)
	var out event.Effects
	s.Step(0, submission(1, patient(800)), &out) // 4.01 s of work
	later := event.Time(agingFactor * 4100 * event.Millisecond)
	s.Step(later, submission(2, patient(20)), &out)
	if got := end(s, later, 0).Grants; len(got) != 1 || got[0].ID != "r1" {
		t.Errorf("granted %+v, want the long request r1, which waited long enough", got)
	}
}

// TestReturnedRequestKeepsPlace guards against a caller that is refused again because others
// came while it waited for its Retry-After.
func TestReturnedRequestKeepsPlace(t *testing.T) {
	s := workPool(1, 2)
	fill(s, 2)
	var out event.Effects
	late := func(k *event.Ticket) { patient(100)(k); k.Returned = true }
	s.Step(0, submission(1, func(k *event.Ticket) { patient(100)(k); k.Placed = false }), &out)
	s.demote(s.queue.byID["r1"])
	s.Step(1, submission(2, late), &out)
	if got := end(s, 2, 0).Grants; len(got) != 1 || got[0].ID != "r2" {
		t.Errorf("granted %+v, want the returned request r2", got)
	}
}

// TestPositionsAreWorkAhead guards the forecast under any sequence of arrivals and ends:
// after a tick, the work before each request is that of the requests before it in its team.
func TestPositionsAreWorkAhead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := workPool(1, 2)
		fill(s, 2)
		var out event.Effects
		now := event.Time(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "requests") {
			now = now.Add(event.Duration(rapid.IntRange(0, 1000).Draw(t, "gap")) * event.Millisecond)
			change := patient(rapid.IntRange(1, 900).Draw(t, "tokens"))
			s.Step(now, submission(i, func(k *event.Ticket) { change(k); k.Team = fmt.Sprint(i % 2) }), &out)
			if rapid.Bool().Draw(t, "withdraw") {
				s.Step(now, &event.Withdrawn{ID: event.RequestID(fmt.Sprintf("r%d", rapid.IntRange(0, i).Draw(t, "id"))), Pool: pool}, &out)
			}
		}
		s.Step(now, &event.Tick{}, &out)
		for _, tier := range s.queue.tiers {
			for _, m := range tier.teams {
				ahead := 0.0
				m.waiting.Ascend(func(k *ticket) bool {
					if math.Abs(k.workBefore-m.dequeuedWork-ahead) > 1e-9 {
						t.Fatalf("%s has %.3f s of work ahead, want %.3f", k.ID, k.workBefore-m.dequeuedWork, ahead)
					}
					ahead += k.runTime
					return true
				})
			}
		}
	})
}

// TestRunTimeErrorIsMeasured guards the margin of the forecast where hints are wrong by a
// known factor.
func TestRunTimeErrorIsMeasured(t *testing.T) {
	var r workRatio
	if r.get() != 1 || r.deviation() != 0 {
		t.Errorf("without samples: ratio %.2f, deviation %.2f", r.get(), r.deviation())
	}
	for i := range 2000 {
		ran := 2.0
		if i%2 == 0 {
			ran = 0.5
		}
		r.observe(ran, 1)
	}
	if math.Abs(r.get()-1.25) > 0.1 || math.Abs(r.deviation()-math.Ln2) > 0.05 {
		t.Errorf("ratio %.2f, want 1.25; deviation %.2f, want %.2f", r.get(), r.deviation(), math.Ln2)
	}
}

// TestChargesSlotTime guards the fair share of teams: under overload, a team with long
// responses gets as much slot time as one with short ones, not as many requests.
func TestChargesSlotTime(t *testing.T) {
	s := workPool(1, 2)
	fill(s, 2)
	var out event.Effects
	for i := range 40 {
		tokens := 20
		if i%2 == 0 {
			tokens = 100
		}
		s.Step(1, submission(i, func(k *event.Ticket) { patient(tokens)(k); k.Team = fmt.Sprint("tokens", tokens) }), &out)
	}
	granted := map[string]int{}
	running := end(s, 2, 0).Grants
	for range 18 {
		out.Reset()
		id := running[0].ID
		granted[s.grants[id].team]++
		s.Step(2, &event.Finished{ID: id, Pool: pool}, &out)
		running = append(running[1:], out.Grants...)
	}
	if granted["tokens20"] < 3*granted["tokens100"] {
		t.Errorf("%v granted by team, want some five times as many short ones", granted)
	}
}
