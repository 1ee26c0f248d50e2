// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"testing"

	"lynxramp.org/admission"
	"lynxramp.org/budget"
	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/poison"
	"lynxramp.org/registry"
)

// TestSlowdownLogIsBounded guards against a flood of lines when many endpoints change at once, and against lines without
// the figures that they were based on.
func TestSlowdownLogIsBounded(t *testing.T) {
	o := &owner{admission: admission.New(admission.Limits{RetryWindow: event.Second}, 1, budget.NewAllocator(0, event.Second), poison.NewTracker(0, &poison.Ledger{}))}
	var effects event.Effects
	for i := range 40 {
		o.admission.SetEndpoint(0, message.Endpoint{Endpoint: registry.Endpoint{
			ID: fmt.Sprintf("e%02d", i), Service: fmt.Sprintf("s%d", i%4), Address: "10.0.0.1:80", Slots: 1,
		}}, &effects)
	}
	for round, slowdown := range []float64{1, 2.5} {
		effects.Reset()
		for i := range 40 {
			service := fmt.Sprintf("s%d", i%4)
			o.admission.Submit(0, "entry", &message.Submission{Ticket: event.Ticket{
				ID: event.RequestID(fmt.Sprint(round, "-", i)), Service: service, Pool: service, Deadline: event.Second,
			}}, &effects)
		}
		for _, g := range effects.Grants {
			n := 0
			_, _ = fmt.Sscanf(string(g.Endpoint), "e%d", &n)
			o.admission.Finish(0, &message.Finish{Finished: event.Finished{
				ID: g.ID, Pool: fmt.Sprintf("s%d", n%4), FirstAfter: event.Millisecond, Slowdown: slowdown,
			}, Endpoint: g.Endpoint}, &event.Effects{})
		}
	}
	if n := o.admission.SlowedEndpoints(); n != 40 {
		t.Fatalf("%d slowed endpoints, want 40", n)
	}
	var out Effects
	now := event.Time(2 * event.Second)
	o.logSlowdowns(now, &out)
	if len(out.LogRecords) != maxSlowdownLogLines {
		t.Fatalf("%d lines, want %d", len(out.LogRecords), maxSlowdownLogLines)
	}
	fields := make(map[string]any)
	for _, f := range out.LogRecords[0].Fields {
		fields[f.Name] = f.Value
	}
	if fields["slowed"] != true || fields["reported"] == nil || fields["age_ms"] == nil || fields["expected"] == nil || fields["agreement"] == nil {
		t.Errorf("fields %v", fields)
	}
	out.reset()
	o.logSlowdowns(now.Add(event.Second), &out)
	if len(out.LogRecords) != 1 || out.LogRecords[0].Fields[0].Value != 30 {
		t.Errorf("lines %+v, want one with 30 suppressed lines", out.LogRecords)
	}
}
