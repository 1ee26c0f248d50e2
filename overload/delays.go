// SPDX-License-Identifier: MIT

package overload

import (
	"slices"
	"sync"

	"lynxramp.org/event"
)

// Limits of Delays.
const (
	// minSamples is the number of samples from which a median is returned.
	minSamples = 3
	// maxSamples limits the samples kept between two calls of Median.
	maxSamples = 64
)

// Delays collects samples of a delay. Its zero value is ready to use, by any number of goroutines.
type Delays struct {
	mu      sync.Mutex
	samples []event.Duration
}

// Add adds a sample. It is dropped if there are many already.
func (d *Delays) Add(sample event.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.samples) < maxSamples {
		d.samples = append(d.samples, sample)
	}
}

// Median returns the median of the samples since the last call that returned one. It returns false if there are too
// few.
func (d *Delays) Median() (event.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.samples) < minSamples {
		return 0, false
	}
	slices.Sort(d.samples)
	median := d.samples[len(d.samples)/2]
	d.samples = d.samples[:0]
	return median, true
}
