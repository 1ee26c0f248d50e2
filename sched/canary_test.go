// SPDX-License-Identifier: MIT

package sched

import (
	"fmt"
	"strings"
	"testing"

	"lynxramp.org/event"
)

// canaryEndpoint registers an endpoint of a version that is being rolled out.
func canaryEndpoint(id string, slots int, mode event.EndpointMode) *event.EndpointUpdated {
	return &event.EndpointUpdated{Endpoint: event.Endpoint{ID: event.EndpointID(id), Concurrency: slots, Speed: 1, Mode: mode}, Address: "10.0.0.2:80"}
}

// canaryGrants returns the grants to endpoints of the new version, whose names begin with new.
func canaryGrants(out *event.Effects) (list []event.Granted) {
	for _, g := range out.Grants {
		if strings.HasPrefix(string(g.Endpoint), "new") {
			list = append(list, g)
		}
	}
	return list
}

// TestCanaryGetsItsAllowance guards against granting an unproved version more than its allowance, also when its
// endpoints are the only ones with free capacity, and against leaving them idle with one.
func TestCanaryGetsItsAllowance(t *testing.T) {
	for _, leastOutstanding := range []bool{false, true} {
		s := discoveredPool(2, 4)
		s.pool.LeastOutstanding = leastOutstanding
		var out event.Effects
		for i := range 3 {
			s.Step(0, canaryEndpoint(fmt.Sprint("new", i), 10, event.ModeCanary), &out)
		}
		for i := range 20 {
			s.Step(0, submission(i, nil), &out)
		}
		if got := len(canaryGrants(&out)); got != 0 || len(out.Grants) != 8 {
			t.Errorf("%d of %d grants without an allowance, want 0 of 8", got, len(out.Grants))
		}
		s.Step(0, &event.CanaryAllowanceChanged{Count: 5}, &out)
		if got := len(canaryGrants(&out)); got != 5 || s.CanaryAllowance() != 0 {
			t.Errorf("%d grants with an allowance of 5, %d left", got, s.CanaryAllowance())
		}
		for _, g := range out.Grants {
			s.Step(0, &event.Finished{ID: g.ID, Pool: pool}, &out)
		}
		if got := len(canaryGrants(&out)); got != 5 {
			t.Errorf("%d grants after all of the allowance was used, want 5", got)
		}
	}
}

// TestBlockedEndpointGetsNothing guards against new requests at a version that was rolled back, or that is being
// replaced; its running requests go on.
func TestBlockedEndpointGetsNothing(t *testing.T) {
	s := discoveredPool(1, 8)
	var out event.Effects
	s.Step(0, submission(0, nil), &out)
	s.Step(0, canaryEndpoint("e0000", 8, event.ModeBlocked), &out)
	s.Step(0, submission(1, nil), &out)
	if len(out.Grants) != 1 || s.RunningAt("e0000") != 1 {
		t.Errorf("grants %+v, %d running", out.Grants, s.RunningAt("e0000"))
	}
	s.Step(0, canaryEndpoint("e0000", 8, event.ModeNormal), &out)
	if len(out.Grants) != 2 || s.HasRestricted() {
		t.Errorf("grants %+v after the endpoint was released", out.Grants)
	}
}

// TestCanaryIsNotInForecasts guards against refusing or accepting a request because of the capacity of an unproved
// version: it may vanish at any time.
func TestCanaryIsNotInForecasts(t *testing.T) {
	plain, _ := overloaded(t)
	withCanary, now := overloaded(t)
	var out event.Effects
	for i := range 20 {
		withCanary.Step(now, canaryEndpoint(fmt.Sprint("new", i), 10, event.ModeCanary), &out)
	}
	withCanary.Step(now, &event.Tick{}, &out)
	if plain.capacityUnits != withCanary.capacityUnits || plain.maxSpeed != withCanary.maxSpeed {
		t.Errorf("capacity %d and speed %v, with canaries %d and %v", plain.capacityUnits, plain.maxSpeed, withCanary.capacityUnits, withCanary.maxSpeed)
	}
	if got := len(canaryGrants(&out)) + len(out.Refusals); got != 0 {
		t.Errorf("%d grants and refusals by canaries without an allowance", got)
	}
}

// TestRetryAvoidsCanary guards against running a request on an unproved version after it was sent before, while
// the other version has endpoints; without those it may run there.
func TestRetryAvoidsCanary(t *testing.T) {
	s := discoveredPool(1, 1)
	var out event.Effects
	s.Step(0, canaryEndpoint("new", 10, event.ModeCanary), &out)
	s.Step(0, &event.CanaryAllowanceChanged{Count: 100}, &out)
	for i := range 4 {
		s.Step(0, submission(i, func(k *event.Ticket) { k.Attempt = 1 }), &out)
	}
	s.Step(0, submission(9, func(k *event.Ticket) { k.ProvedOnly = true }), &out)
	if got := canaryGrants(&out); len(got) != 0 || len(out.Grants) != 1 {
		t.Errorf("%d of %d requests that were sent before run on the new version", len(got), len(out.Grants))
	}
	s.Step(0, &event.EndpointRemoved{ID: "e0000"}, &out)
	if got := canaryGrants(&out); len(got) != 3 {
		t.Errorf("%d requests run on the only version, want 3", len(got))
	}
}

// TestUsualFirstIgnoresMeasuredSpeed guards against a forecast that follows the speed of a slow version, so that
// its responses would look as expected.
func TestUsualFirstIgnoresMeasuredSpeed(t *testing.T) {
	s := discoveredPool(0, 0)
	var out event.Effects
	s.Step(0, canaryEndpoint("new", 1, event.ModeCanary), &out)
	s.Step(0, &event.CanaryAllowanceChanged{Count: 100}, &out)
	var first, last event.Granted
	for i := range 40 {
		out.Reset()
		s.Step(0, submission(i, func(k *event.Ticket) { k.PromptTokens, k.Target = 2000, 9*event.Second }), &out)
		if len(out.Grants) != 1 {
			t.Fatalf("grants %+v", out.Grants)
		}
		last = out.Grants[0]
		if i == 0 {
			first = last
		}
		s.Step(0, &event.Finished{ID: last.ID, Pool: pool, FirstAfter: event.Second, TokenGap: 40 * event.Millisecond}, &out)
	}
	if first.Inputs.UsualFirst == 0 || last.Inputs.UsualFirst != first.Inputs.UsualFirst || last.Inputs.Wait < 4*first.Inputs.Wait {
		t.Errorf("usual %v, then %v; expected %v, then %v", first.Inputs.UsualFirst, last.Inputs.UsualFirst, first.Inputs.Wait, last.Inputs.Wait)
	}
}

// TestCanariesShareTheAllowance guards against an unproved version without evidence: its endpoints must get the
// allowance although others are measured as faster, and each of them the same number of requests.
func TestCanariesShareTheAllowance(t *testing.T) {
	for _, leastOutstanding := range []bool{false, true} {
		s := discoveredPool(4, 8)
		s.pool.LeastOutstanding = leastOutstanding
		var out event.Effects
		for i := range 3 {
			s.Step(0, canaryEndpoint(fmt.Sprint("new", i), 10, event.ModeCanary), &out)
		}
		s.Step(0, &event.CanaryAllowanceChanged{Count: 12}, &out)
		byEndpoint := make(map[event.EndpointID]int)
		for i := range 40 {
			out.Reset()
			s.Step(0, submission(i, nil), &out)
			for _, g := range out.Grants {
				byEndpoint[g.Endpoint]++
				s.Step(0, &event.Finished{ID: g.ID, Pool: pool, TokenGap: 5 * event.Millisecond}, &out)
			}
		}
		if byEndpoint["new0"] != 4 || byEndpoint["new1"] != 4 || byEndpoint["new2"] != 4 {
			t.Errorf("least outstanding %v: grants %v, want 4 at each new endpoint", leastOutstanding, byEndpoint)
		}
	}
}

// TestCanaryMakesNoRequestLate guards against a request that misses its target at a slow canary while another
// endpoint would meet it.
func TestCanaryMakesNoRequestLate(t *testing.T) {
	s := discoveredPool(2, 8)
	var out event.Effects
	s.Step(0, canaryEndpoint("new", 10, event.ModeCanary), &out)
	s.byID["new"].observeSlowness(0, 20)
	s.refreshView(0, s.byID["new"])
	s.Step(0, &event.CanaryAllowanceChanged{Count: 12}, &out)
	s.Step(0, submission(1, func(k *event.Ticket) { k.PromptTokens = 2000 }), &out)
	if len(out.Grants) != 1 || out.Grants[0].Endpoint == "new" {
		t.Errorf("grants %+v", out.Grants)
	}
}
