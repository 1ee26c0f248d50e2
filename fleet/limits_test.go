// SPDX-License-Identifier: MIT

package fleet

import (
	"testing"

	"lynxramp.org/settings"
)

// TestQueueOrderReachesLimits guards against a setting that is accepted and has no effect, and
// against a changed order without it.
func TestQueueOrderReachesLimits(t *testing.T) {
	for order, want := range map[settings.QueueOrder]bool{"": false, settings.QueueArrival: false, settings.QueueExpectedWork: true} {
		if got := newLimits(settings.FleetBounds{QueueOrder: order}).ExpectedWork; got != want {
			t.Errorf("queue_order %q: expected work %v, want %v", order, got, want)
		}
	}
}
