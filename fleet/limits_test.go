// SPDX-License-Identifier: MIT

package fleet

import (
	"testing"

	"lynxramp.org/settings"
)

// TestQueueOrderReachesTheScheduler guards against a setting that is accepted but has no effect, and against the order by
// expected work where nothing calls for it.
func TestQueueOrderReachesTheScheduler(t *testing.T) {
	for _, c := range []struct {
		order          settings.QueueOrder
		contention     bool
		want, ifSlowed bool
	}{
		{settings.QueueArrival, false, false, false},
		{settings.QueueArrival, true, false, false},
		{settings.QueueExpectedWork, false, true, false},
		{settings.QueueAuto, false, false, true},
		{settings.QueueAuto, true, true, true},
	} {
		got := newLimits(settings.FleetBounds{QueueOrder: c.order}, Features{Contention: c.contention})
		if got.ExpectedWork != c.want || got.ExpectedWorkIfSlowed != c.ifSlowed {
			t.Errorf("order %q, contention %v: by expected work %v, if slowed %v", c.order, c.contention, got.ExpectedWork, got.ExpectedWorkIfSlowed)
		}
	}
}
