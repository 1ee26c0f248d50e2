// SPDX-License-Identifier: MIT

package sched

import (
	"testing"

	"lynxramp.org/event"
)

// TestRefusesBeyondRateLimits checks that requests beyond the endpoints' rate limits are refused early, with a
// Retry-After, and that the limits are used up.
func TestRefusesBeyondRateLimits(t *testing.T) {
	s := discoveredPool(3, 10)
	var out event.Effects
	for i := range s.endpoints {
		e := s.endpoints[i].Endpoint
		s.Step(0, &event.EndpointUpdated{Endpoint: e, Address: "10.0.0.1:80", Limited: true, Limit: 2}, &out)
	}
	granted, refused, late := 0, 0, 0
	submittedAt := make(map[event.RequestID]event.Time)
	const length = 20 * event.Second
	for now, id := event.Time(0), 0; now < event.Time(length); now = now.Add(20 * event.Millisecond) {
		out.Reset()
		submitted := submission(id, func(k *event.Ticket) { k.Patience = 500 * event.Millisecond })
		submittedAt[submitted.Ticket.ID] = now
		s.Step(now, submitted, &out)
		id++
		s.Step(now, &event.Tick{}, &out)
		for _, g := range out.Grants {
			granted++
			if !g.Paced {
				t.Fatal("a grant to a rate-limited endpoint did not use its limit")
			}
			s.Step(now, &event.Finished{ID: g.ID, Tokens: 50}, &out)
		}
		for _, r := range out.Refusals {
			refused++
			if r.RetryAfter < MinRetryAfter {
				t.Errorf("refused with Retry-After %v", r.RetryAfter)
			}
			if now.Sub(submittedAt[r.ID]) > 600*event.Millisecond {
				late++
			}
		}
	}
	if granted < 115 || granted > 125 {
		t.Errorf("%d granted in 20 s of 6 a second", granted)
	}
	if late > 0 || refused < 850 {
		t.Errorf("%d refused, %d of them late", refused, late)
	}
}

// TestUnusedGrantRefundsRateLimit guards against losing part of a low rate limit to callers that left.
func TestUnusedGrantRefundsRateLimit(t *testing.T) {
	s := discoveredPool(1, 10)
	var out event.Effects
	seen := &event.EndpointUpdated{Endpoint: s.endpoints[0].Endpoint, Address: "10.0.0.1:80", Limited: true, Limit: 0.1}
	s.Step(0, seen, &out)
	now := event.Time(11 * event.Second)
	s.Step(now, &event.Tick{}, &out)
	for i := range 3 {
		out.Reset()
		s.Step(now, submission(i, nil), &out)
		if len(out.Grants) != 1 {
			t.Fatalf("request %d: %d grants", i, len(out.Grants))
		}
		s.Step(now, &event.Finished{ID: out.Grants[0].ID, Void: true, Unused: true}, &out)
	}
}

// TestNewPoolKeepsRequestsWithoutLimitShare guards against refusing requests in a new pool that has no share of
// the rate limits yet.
func TestNewPoolKeepsRequestsWithoutLimitShare(t *testing.T) {
	s := discoveredPool(1, 10)
	var out event.Effects
	s.Step(0, &event.LimitShareChanged{}, &out)
	s.Step(0, &event.EndpointUpdated{Endpoint: s.endpoints[0].Endpoint, Address: "10.0.0.1:80", Limited: true, Limit: 1e300}, &out)
	s.Step(0, submission(1, nil), &out)
	if len(out.Refusals)+len(out.Grants) != 0 {
		t.Fatalf("grants %+v, refusals %+v", out.Grants, out.Refusals)
	}
	s.Step(event.Time(200*event.Millisecond), &event.LimitShareChanged{Share: 1}, &out)
	s.Step(event.Time(220*event.Millisecond), &event.Tick{}, &out)
	if len(out.Grants) != 1 {
		t.Errorf("grants %+v", out.Grants)
	}
}

// TestRateLimitedEndpointsBeatRemovedOnes checks that rate-limited endpoints add to the value served.
func TestRateLimitedEndpointsBeatRemovedOnes(t *testing.T) {
	for _, limited := range []int{7, 9} {
		simulate := func(limit float64) *loadResult {
			return runSeeds(3, func(l *load) {
				l.endpoints, l.baseLoad, l.burst, l.length = 18, 0.7, 1, event.Time(20*event.Second)
				l.limited, l.limit = limited, limit
			})
		}
		removed, low, high := simulate(-1), simulate(1.1), simulate(2.5)
		t.Logf("%d endpoints removed: %v", limited, removed)
		t.Logf("1.1 a second: %v", low)
		t.Logf("2.5 a second: %v", high)
		if low.earnedShare() <= removed.earnedShare() || high.earnedShare() <= low.earnedShare() {
			t.Errorf("%d endpoints: value %.3f removed, %.3f at 1.1 a second, %.3f at 2.5", limited, removed.earnedShare(), low.earnedShare(), high.earnedShare())
		}
		if n := removed.timedOut + low.timedOut + high.timedOut; n > 0 {
			t.Errorf("%d requests waited until their deadline", n)
		}
	}
}

// TestLongRequestsPreferRateLimitedEndpoints checks that short requests go elsewhere, as a rate limit counts
// requests.
func TestLongRequestsPreferRateLimitedEndpoints(t *testing.T) {
	s := discoveredPool(2, 10)
	var out event.Effects
	s.Step(0, &event.EndpointUpdated{Endpoint: s.byID["e0000"].Endpoint, Address: "10.0.0.1:80", Limited: true, Limit: 20}, &out)
	at := make(map[bool]map[event.EndpointID]int)
	for _, long := range []bool{true, false} {
		at[long] = make(map[event.EndpointID]int)
	}
	for i := range 200 {
		now := event.Time(i) * event.Time(200*event.Millisecond)
		long := i%4 == 0
		out.Reset()
		s.Step(now, &event.Tick{}, &out)
		s.Step(now, submission(i, func(k *event.Ticket) {
			if long {
				k.PromptTokens, k.OutputTokens = 2000, 200
			}
		}), &out)
		for _, g := range out.Grants {
			at[long][g.Endpoint]++
			s.Step(now, &event.Finished{ID: g.ID, Tokens: 50}, &out)
		}
	}
	if at[true]["e0000"] < 40 || at[false]["e0001"] < 120 {
		t.Errorf("long requests went to %v, short ones to %v; e0000 is rate-limited", at[true], at[false])
	}
}
