// SPDX-License-Identifier: MIT

package cputime

import (
	"testing"
	"time"
)

// TestOf guards against counting the time that a function sleeps.
func TestOf(t *testing.T) {
	if d := Of(func() { time.Sleep(50 * time.Millisecond) }); d > 20*time.Millisecond {
		t.Errorf("%v of CPU time for a sleep", d)
	}
	sum := 0
	spin := func() {
		for i := range 200_000_000 {
			sum += i ^ sum
		}
	}
	if d := Of(spin); d < 10*time.Millisecond {
		t.Errorf("%v of CPU time for 200 million steps, %d", d, sum)
	}
}
