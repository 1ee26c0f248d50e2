// SPDX-License-Identifier: MIT

package gateway

import (
	"testing"
	"time"
)

func TestMedianIgnoresOutliers(t *testing.T) {
	times := []time.Duration{30, 31, 900, 29, 30, 800, 32}
	if got := median(times); got != 31 {
		t.Errorf("median %d, want 31", got)
	}
	if got := median(nil); got != 0 {
		t.Errorf("median of none %d", got)
	}
}
