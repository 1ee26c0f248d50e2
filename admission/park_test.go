// SPDX-License-Identifier: MIT

package admission

import (
	"testing"

	"lynxramp.org/budget"
	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/registry"
)

// TestRequestsWaitForOwner: during an election an entry's leased share of a quota covers short requests
// and no long ones. A long request waits for an owner until its timeout and is then refused.
func TestRequestsWaitForOwner(t *testing.T) {
	const leased, short, long = 3000, 100, 5000
	const timeout = 720 * event.Millisecond
	leases := &budget.Leases{}
	leases.Apply(budget.LeaseUpdate{Number: 1, UpTo: []budget.Lease{{Account: budget.Team("t"), UpTo: leased}}})
	s := New(testLimits, 1, leases, emptyPoisonTracker())
	s.SetTable(0, testTable())
	var out event.Effects
	s.SetEndpoint(0, message.Endpoint{Endpoint: registry.Endpoint{ID: "e", Service: "s", Address: "10.0.0.1:80", Slots: 1 << 20, Sequence: 1}}, &out)
	arrived := make(map[event.RequestID]event.Time)
	refused := make(map[event.RequestID]event.Time)
	granted := 0
	const step = 50 * event.Millisecond
	for now := event.Time(0); now <= event.Time(1500*event.Millisecond); now = now.Add(step) {
		out.Reset()
		if now <= event.Time(500*event.Millisecond) {
			n := int(now / event.Time(step))
			for _, m := range []*message.Submission{submission(2*n, short, false), submission(2*n+1, long, false)} {
				m.Ticket.Deadline, m.Ticket.Target, m.Ticket.Patience = 15*event.Second, 800*event.Millisecond, timeout
				arrived[m.Ticket.ID] = now
				s.Submit(now, "entry", m, &out)
			}
		}
		s.Tick(now, &out)
		granted += len(out.Grants)
		for _, r := range out.Refusals {
			refused[r.ID] = now
			if r.Reason != event.ReasonQuota || r.RetryAfter <= 0 {
				t.Errorf("refused with %+v", r)
			}
		}
	}
	if granted != 11 || len(refused) != 11 {
		t.Errorf("%d granted and %d refused, want the 11 short and the 11 long ones", granted, len(refused))
	}
	for id, at := range refused {
		if waited := at.Sub(arrived[id]); waited < timeout || waited > timeout+step {
			t.Errorf("%s was refused after %v, want %v", id, waited, timeout)
		}
	}
}
