// SPDX-License-Identifier: MIT

package overload

import (
	"math"
	"runtime/metrics"
	"time"

	"lynxramp.org/event"
)

// schedulingLatencies is the runtime's histogram of the time that goroutines were runnable before they ran.
const schedulingLatencies = "/sched/latencies:seconds"

// runQueueQuantile is the quantile that RunQueue returns. Goroutines that are handed a value run at once, also on a
// busy processor; those that the network wakes wait in the queue.
const runQueueQuantile = 0.9

// RunQueue measures how long goroutines wait for a processor. Its zero value is ready to use.
type RunQueue struct {
	sample   [1]metrics.Sample
	previous []uint64 // counts of the histogram at the last call
}

// Delay returns the time that nine of ten goroutines waited at most since the last call; 0 if none ran.
func (q *RunQueue) Delay() event.Duration {
	q.sample[0].Name = schedulingLatencies
	metrics.Read(q.sample[:])
	if q.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0 // a runtime without the histogram
	}
	h := q.sample[0].Value.Float64Histogram()
	counts := make([]uint64, len(h.Counts))
	for i, n := range h.Counts {
		counts[i] = n
		if i < len(q.previous) {
			counts[i] -= q.previous[i]
		}
	}
	q.previous = append(q.previous[:0], h.Counts...)
	return histogramQuantile(counts, h.Buckets, runQueueQuantile)
}

// histogramQuantile returns the lower bound of the bucket with the quantile. Bucket i has the values from
// bounds[i] to bounds[i+1], in seconds.
func histogramQuantile(counts []uint64, bounds []float64, quantile float64) event.Duration {
	var total uint64
	for _, n := range counts {
		total += n
	}
	if total == 0 {
		return 0
	}
	rank := uint64(math.Ceil(quantile * float64(total)))
	var sum uint64
	for i, n := range counts {
		if sum += n; sum >= rank {
			return event.Duration(max(0, bounds[i]) * float64(time.Second))
		}
	}
	return 0
}
