// SPDX-License-Identifier: MIT

package fleet

import (
	"testing"
	"time"
)

// TestDrainTimesUseTheStopTimeout guards against a stop whose times don't follow from the time that it is given: requests are
// given up in its last sixth, and the process has time to end.
func TestDrainTimesUseTheStopTimeout(t *testing.T) {
	for _, timeout := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 8 * time.Second, 30 * time.Second, 5 * time.Minute} {
		d := newDrainTimes(timeout)
		if d.accept <= 0 || d.accept > 2500*time.Millisecond || d.accept > timeout/2 {
			t.Errorf("%v: requests are accepted for %v", timeout, d.accept)
		}
		if d.giveUp < timeout*5/6 || d.giveUp >= d.end || d.end > timeout-timeout/20 && d.end > timeout-500*time.Millisecond {
			t.Errorf("%v: requests are given up after %v, connections closed after %v", timeout, d.giveUp, d.end)
		}
	}
}
