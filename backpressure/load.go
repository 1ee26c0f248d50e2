// SPDX-License-Identifier: MIT

package backpressure

// Load is what an endpoint reports of its load in one response.
type Load struct {
	Running, Waiting int // requests
	Slots            int // the most that it runs at once
	// Slowdown is how many times as long as usual work takes there at present, if HasSlowdown is true.
	Slowdown    float64
	HasSlowdown bool
}
