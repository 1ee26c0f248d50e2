// SPDX-License-Identifier: MIT

package sched

import (
	"fmt"
	"testing"

	"lynxramp.org/event"
)

// versionPool returns a pool with an endpoint of each of two versions, with so many slots.
func versionPool(slots int) *State {
	s := discoveredPool(0, 0)
	var out event.Effects
	for _, version := range []string{"v1", "v2"} {
		s.Step(0, &event.EndpointUpdated{Endpoint: event.Endpoint{ID: event.EndpointID(version), Concurrency: slots, Speed: 1, Version: version}, Address: "10.0.0.1:80"}, &out)
	}
	return s
}

func boundTo(version string) func(*event.Ticket) {
	return func(k *event.Ticket) { k.Bound, k.Version = true, version }
}

// TestBoundStreamIsGrantedAtItsVersion: a resumed stream waits for its version while another one is free.
func TestBoundStreamIsGrantedAtItsVersion(t *testing.T) {
	for _, leastOutstanding := range []bool{false, true} {
		s := versionPool(4)
		s.pool.LeastOutstanding = leastOutstanding
		var out event.Effects
		for i := range 6 {
			s.Step(0, submission(i, boundTo("v2")), &out)
		}
		if len(out.Grants) != 4 || s.Waiting() != 2 {
			t.Errorf("%d grants, %d wait; want 4 and 2", len(out.Grants), s.Waiting())
		}
		s.Step(0, &event.Finished{ID: out.Grants[0].ID, Pool: pool}, &out)
		for _, g := range out.Grants {
			if g.Endpoint != "v2" {
				t.Errorf("granted at %s", g.Endpoint)
			}
		}
		if len(out.Grants) != 5 {
			t.Errorf("%d grants after one ended, want 5", len(out.Grants))
		}
	}
}

// TestFullVersionDoesNotHoldUpOthers: more resumed streams wait for a full version than a step may skip. Requests behind
// them must be granted at the other version.
func TestFullVersionDoesNotHoldUpOthers(t *testing.T) {
	s := versionPool(4)
	var out event.Effects
	for i := range 4 + 3*maxSkipped {
		s.Step(0, submission(i, boundTo("v2")), &out)
	}
	out.Reset()
	for i := range 4 {
		s.Step(0, submission(1000+i, nil), &out)
	}
	if len(out.Grants) != 4 {
		t.Errorf("%d grants at the free version, want 4", len(out.Grants))
	}
}

// TestBoundStreamUsesItsCanary: a stream that a canary began goes on there, within the allowance.
func TestBoundStreamUsesItsCanary(t *testing.T) {
	s := versionPool(4)
	var out event.Effects
	s.Step(0, &event.EndpointUpdated{Endpoint: event.Endpoint{ID: "new", Concurrency: 4, Speed: 1, Version: "v3", Mode: event.ModeCanary}, Address: "10.0.0.2:80"}, &out)
	s.Step(0, &event.CanaryAllowanceChanged{Count: 1}, &out)
	for i := range 3 {
		s.Step(0, submission(i, func(k *event.Ticket) { k.Bound, k.Version, k.Attempt = true, "v3", 1 }), &out)
	}
	if len(out.Grants) != 1 || out.Grants[0].Endpoint != "new" {
		t.Errorf("grants %s", fmt.Sprint(out.Grants))
	}
}
