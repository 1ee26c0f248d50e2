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
	// minUnrelated is the number of samples from which Common returns a delay, and commonPart the least one at least, as a
	// part of the median.
	minUnrelated = 8
	commonPart   = 0.5
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

// Common returns the delay that all samples since the last call that returned true have in common: the least one, or 0 if
// others are much longer, as those of slow or idle senders are. It returns false if there are too few.
func (d *Delays) Common() (event.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.samples) < minUnrelated {
		return 0, false
	}
	slices.Sort(d.samples)
	least, median := d.samples[0], d.samples[len(d.samples)/2]
	d.samples = d.samples[:0]
	if float64(least) < commonPart*float64(median) {
		return 0, true
	}
	return least, true
}

// Discard removes all samples.
func (d *Delays) Discard() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.samples = d.samples[:0]
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
