// SPDX-License-Identifier: MIT

package sched

import (
	"fmt"
	"slices"
	"testing"

	"lynxramp.org/event"
)

// TestLateRequestIsGivenUpInTime guards against callers that wait until shortly before their deadline and get nothing: under
// a load that does not fall, a late request is refused after a quarter of its time.
func TestLateRequestIsGivenUpInTime(t *testing.T) {
	s := workPool(1, 2)
	fill(s, 2)
	var out event.Effects
	s.Step(0, submission(1, func(k *event.Ticket) {
		k.OutputTokens, k.Target, k.Patience, k.Deadline = 20, 500*event.Millisecond, 450*event.Millisecond, 8*event.Second
	}), &out)
	refusedAt := event.Time(0)
	for now := event.Time(0); refusedAt == 0 && now < event.Time(8*event.Second); now = now.Add(50 * event.Millisecond) {
		s.Step(now, &event.Tick{}, &out)
		if len(out.Refusals) > 0 {
			refusedAt = now
		}
	}
	if low, high := event.Time(event.Second), event.Time(2100*event.Millisecond); refusedAt < low || refusedAt > high {
		t.Errorf("refused after %s, want 1 to 2.1 s", event.Duration(refusedAt))
	}
}

// TestLateRequestsAreServedWhenLoadFalls has a load that falls after a burst: requests that
// missed their target are kept and served, not refused.
func TestLateRequestsAreServedWhenLoadFalls(t *testing.T) {
	s := workPool(1, 2)
	fill(s, 2)
	var out event.Effects
	s.Step(0, submission(1, func(k *event.Ticket) { k.Target, k.Patience = 300*event.Millisecond, 270*event.Millisecond }), &out)
	s.Step(event.Time(500*event.Millisecond), &event.Tick{}, &out)
	if len(out.Refusals) > 0 {
		t.Fatalf("refused %+v, want it kept", out.Refusals)
	}
	if got := end(s, event.Time(2*event.Second), 0).Grants; len(got) != 1 || got[0].ID != "r1" {
		t.Errorf("granted %+v, want the late request r1", got)
	}
}

// TestLateRequestGoesBehindThoseInTime has a full pool: a request that missed its target loses
// its place to one that can still meet it.
func TestLateRequestGoesBehindThoseInTime(t *testing.T) {
	s := workPool(1, 2)
	fill(s, 2)
	var out event.Effects
	s.Step(0, submission(1, func(k *event.Ticket) { k.Target, k.Patience = 300*event.Millisecond, 270*event.Millisecond }), &out)
	now := event.Time(event.Second)
	s.Step(now, &event.Tick{}, &out)
	s.Step(now, submission(2, nil), &out)
	if got := end(s, now, 0).Grants; len(got) != 1 || got[0].ID != "r2" {
		t.Errorf("granted %+v, want r2, which is in time", got)
	}
}

// TestLateRequestIsRefusedBeforeDeadline has a pool that stays full: a late request is refused
// once it can't end before its deadline, and does not wait until then.
func TestLateRequestIsRefusedBeforeDeadline(t *testing.T) {
	s := workPool(1, 2)
	fill(s, 2)
	var out event.Effects
	s.Step(0, submission(1, func(k *event.Ticket) { k.Patience = 270 * event.Millisecond }), &out)
	for now := event.Time(0); now < event.Time(10*event.Second) && len(out.Refusals) == 0; now = now.Add(50 * event.Millisecond) {
		s.Step(now, &event.EntryHeartbeat{Entry: "entry"}, &out)
		s.Step(now, &event.Tick{}, &out)
	}
	if len(out.Refusals) != 1 || out.Refusals[0].Reason != event.ReasonShed {
		t.Errorf("refused %+v, want r1 before its deadline", out.Refusals)
	}
}

// TestLongRequestIsRefusedBeforeShortOnes has a queue of some seconds of work: of two requests
// of a kind, the long one is refused and the short one accepted.
func TestLongRequestIsRefusedBeforeShortOnes(t *testing.T) {
	s := workPool(1, 2)
	fill(s, 2)
	var out event.Effects
	for i := range 40 {
		s.Step(0, submission(i, patient(60)), &out)
	}
	limited := func(tokens int) func(*event.Ticket) {
		return func(k *event.Ticket) { k.OutputTokens, k.Deadline = tokens, 6*event.Second }
	}
	s.Step(1, submission(1001, limited(500)), &out)
	s.Step(1, submission(1002, limited(20)), &out)
	if len(out.Refusals) != 1 || out.Refusals[0].ID != "r1001" {
		t.Fatalf("refused %+v, want the long request r1001", out.Refusals)
	}
	inputs := out.Refusals[0].Inputs
	if inputs.Ahead == 0 || inputs.Wait == 0 || inputs.Run == 0 || inputs.Work == event.WorkUnknown {
		t.Errorf("inputs of the refusal are incomplete: %+v", inputs)
	}
}

// TestRetryAfterIsOwnWait has a queue of some seconds of work: Retry-After of a long request is
// the time that the work before it takes, and that of one of a higher rank is shorter.
func TestRetryAfterIsOwnWait(t *testing.T) {
	s := workPool(1, 2)
	fill(s, 2)
	var out event.Effects
	for i := range 40 {
		s.Step(0, submission(i, patient(200)), &out)
	}
	retryAfter := func(id, rank int) event.Duration {
		out.Reset()
		s.Step(1, submission(id, func(k *event.Ticket) { k.OutputTokens, k.Rank, k.Deadline = 900, rank, 4*event.Second }), &out)
		if len(out.Refusals) != 1 {
			t.Fatalf("rank %d: %d refusals, want one", rank, len(out.Refusals))
		}
		return out.Refusals[0].RetryAfter
	}
	// 40 requests of 1.01 s on 2 slots, and up to a quarter of jitter.
	if got := retryAfter(1001, 0); got < 20*event.Second || got > 26*event.Second {
		t.Errorf("Retry-After %v, want some 20 s", got.Seconds())
	}
	if got := retryAfter(1002, 1); got != MinRetryAfter {
		t.Errorf("Retry-After %v for a higher rank, want the least", got.Seconds())
	}
}

// TestLargeRequestsAreNotStarved has three times the load that the pool can serve, with one
// long response in five: long ones are served at half of the mean rate at least.
func TestLargeRequestsAreNotStarved(t *testing.T) {
	granted, asked := offerMix(t, func(int) string { return "team" })
	mean := float64(granted["team/20"]+granted["team/400"]) / float64(asked["team/20"]+asked["team/400"])
	long := float64(granted["team/400"]) / float64(asked["team/400"])
	if long < mean/2 || long > mean {
		t.Errorf("%.2f of long requests served, %.2f of all", long, mean)
	}
}

// TestHeavyTeamDoesNotDelayOthers has a team that sends six times as many requests as each of
// the others, together twice what the pool can serve: the others are served as well as without it.
func TestHeavyTeamDoesNotDelayOthers(t *testing.T) {
	granted, asked := offerMix(t, func(i int) string {
		if i%8 < 6 {
			return "heavy"
		}
		return fmt.Sprint("team", i%2)
	})
	rate := func(team string) float64 {
		return float64(granted[team+"/20"]+granted[team+"/400"]) / float64(asked[team+"/20"]+asked[team+"/400"])
	}
	if rate("heavy") > 0.75*min(rate("team0"), rate("team1")) {
		t.Errorf("served: heavy %.2f, others %.2f and %.2f", rate("heavy"), rate("team0"), rate("team1"))
	}
}

// offerMix offers a pool of 8 slots three times what it can serve for 30 s, one request in five
// with a long response, and returns the grants and the requests by team and tokens.
func offerMix(t *testing.T, teamOf func(int) string) (granted, asked map[string]int) {
	t.Helper()
	s := workPool(1, 8)
	granted, asked = map[string]int{}, map[string]int{}
	names := map[event.RequestID]string{}
	type running struct {
		id event.RequestID
		at event.Time
	}
	var runs []running
	var out event.Effects
	id := 0
	for step := range 3000 {
		now := event.Time(event.Duration(step) * 10 * event.Millisecond)
		out.Reset()
		runs = slices.DeleteFunc(runs, func(r running) bool {
			if now >= r.at {
				s.Step(now, &event.Finished{ID: r.id, Pool: pool, TokenGap: 5 * event.Millisecond}, &out)
			}
			return now >= r.at
		})
		if step%2 == 0 {
			id++
			tokens := 20
			if id%5 == 0 {
				tokens = 400
			}
			team := teamOf(id / 5 * 3 % 8)
			name := fmt.Sprintf("%s/%d", team, tokens)
			asked[name]++
			names[event.RequestID(fmt.Sprintf("r%d", id))] = name
			s.Step(now, submission(id, func(k *event.Ticket) {
				k.Team, k.OutputTokens, k.Target, k.Patience, k.Deadline = team, tokens, 500*event.Millisecond, 450*event.Millisecond, 4*event.Second
			}), &out)
		}
		if step%5 == 0 {
			s.Step(now, &event.Tick{}, &out)
		}
		for _, g := range out.Grants {
			granted[names[g.ID]]++
			run := 100 * event.Millisecond
			if names[g.ID][len(names[g.ID])-3:] == "400" {
				run = 2 * event.Second
			}
			runs = append(runs, running{g.ID, now.Add(run)})
		}
	}
	return granted, asked
}
