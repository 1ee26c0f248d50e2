// SPDX-License-Identifier: MIT

package sched

import (
	"testing"

	"lynxramp.org/event"
)

// TestLimitsOfAllEndpointsAreForecast: where all endpoints name a limit, what they can't take in time is refused
// early, with when to come back, and what they can is served.
func TestLimitsOfAllEndpointsAreForecast(t *testing.T) {
	s := discovered(3, 10)
	var out event.Effects
	for i := range s.endpoints {
		e := s.endpoints[i].Endpoint
		s.Step(0, &event.EndpointSeen{Endpoint: e, Address: "10.0.0.1:80", Limited: true, Limit: 2}, &out)
	}
	granted, refused, late := 0, 0, 0
	asked := make(map[event.RequestID]event.Time)
	const length = 20 * event.Second
	for now, id := event.Time(0), 0; now < event.Time(length); now = now.Add(20 * event.Millisecond) {
		out.Reset()
		one := call(id, func(k *event.Ticket) { k.Patience = 500 * event.Millisecond })
		asked[one.Ticket.ID] = now
		s.Step(now, one, &out)
		id++
		s.Step(now, &event.Tick{}, &out)
		for _, g := range out.Grants {
			granted++
			if !g.Paced {
				t.Fatal("a grant of a limited endpoint is not spent from its limit")
			}
			s.Step(now, &event.Finished{ID: g.ID, Tokens: 50}, &out)
		}
		for _, r := range out.Refusals {
			refused++
			if r.RetryAfter < MinRetryAfter {
				t.Errorf("refused with %v", r.RetryAfter)
			}
			if now.Sub(asked[r.ID]) > 600*event.Millisecond {
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

// TestUnusedGrantIsGivenBackToItsLimit: an endpoint that takes a request each ten seconds loses none to a caller
// that left.
func TestUnusedGrantIsGivenBackToItsLimit(t *testing.T) {
	s := discovered(1, 10)
	var out event.Effects
	seen := &event.EndpointSeen{Endpoint: s.endpoints[0].Endpoint, Address: "10.0.0.1:80", Limited: true, Limit: 0.1}
	s.Step(0, seen, &out)
	now := event.Time(11 * event.Second)
	s.Step(now, &event.Tick{}, &out)
	for i := range 3 {
		out.Reset()
		s.Step(now, call(i, nil), &out)
		if len(out.Grants) != 1 {
			t.Fatalf("request %d: %d grants", i, len(out.Grants))
		}
		s.Step(now, &event.Finished{ID: out.Grants[0].ID, Void: true, Unused: true}, &out)
	}
}

// TestNewPoolRefusesNothingForItsPart: a pool that begins, which may spend nothing yet, keeps what can be in time.
func TestNewPoolRefusesNothingForItsPart(t *testing.T) {
	s := discovered(1, 10)
	var out event.Effects
	s.Step(0, &event.PartChanged{}, &out)
	s.Step(0, &event.EndpointSeen{Endpoint: s.endpoints[0].Endpoint, Address: "10.0.0.1:80", Limited: true, Limit: 1e300}, &out)
	s.Step(0, call(1, nil), &out)
	if len(out.Refusals)+len(out.Grants) != 0 {
		t.Fatalf("grants %+v, refusals %+v", out.Grants, out.Refusals)
	}
	s.Step(event.Time(200*event.Millisecond), &event.PartChanged{Part: 1}, &out)
	s.Step(event.Time(220*event.Millisecond), &event.Tick{}, &out)
	if len(out.Grants) != 1 {
		t.Errorf("grants %+v", out.Grants)
	}
}

// TestLimitedEndpointsServeMoreThanGoneOnes: a load that some endpoints can take little of is served better than the
// same load without them.
func TestLimitedEndpointsServeMoreThanGoneOnes(t *testing.T) {
	for _, limited := range []int{7, 9} {
		play := func(limit float64) *loadResult {
			return playSeeds(3, func(l *load) {
				l.endpoints, l.usual, l.burst, l.length = 18, 0.7, 1, event.Time(20*event.Second)
				l.limited, l.limit = limited, limit
			})
		}
		gone, some, more := play(-1), play(1.1), play(2.5)
		t.Logf("%d endpoints gone: %v", limited, gone)
		t.Logf("1.1 a second: %v", some)
		t.Logf("2.5 a second: %v", more)
		if some.share() <= gone.share() || more.share() <= some.share() {
			t.Errorf("%d endpoints: worth %.3f gone, %.3f with 1.1 a second, %.3f with 2.5", limited, gone.share(), some.share(), more.share())
		}
		if n := gone.held + some.held + more.held; n > 0 {
			t.Errorf("%d callers were held until their time was over", n)
		}
	}
}

// TestLongRequestsGoToLimitedEndpoints: a limit counts requests, so that short ones are better sent elsewhere.
func TestLongRequestsGoToLimitedEndpoints(t *testing.T) {
	s := discovered(2, 10)
	var out event.Effects
	s.Step(0, &event.EndpointSeen{Endpoint: s.byID["e0000"].Endpoint, Address: "10.0.0.1:80", Limited: true, Limit: 20}, &out)
	at := make(map[bool]map[event.EndpointID]int)
	for _, long := range []bool{true, false} {
		at[long] = make(map[event.EndpointID]int)
	}
	for i := range 200 {
		now := event.Time(i) * event.Time(200*event.Millisecond)
		long := i%4 == 0
		out.Reset()
		s.Step(now, &event.Tick{}, &out)
		s.Step(now, call(i, func(k *event.Ticket) {
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
		t.Errorf("long ones went to %v, short ones to %v; e0000 is limited", at[true], at[false])
	}
}
