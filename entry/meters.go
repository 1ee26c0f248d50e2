// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// metricSet has the metrics of one entry. Each entry has its own set, since one
// process can run several.
type metricSet struct {
	set *metrics.Set
}

func newMetricSet(e *Entry) *metricSet {
	m := &metricSet{set: metrics.NewSet()}
	m.set.NewGauge("lynxramp_entry_requests", func() float64 { return float64(e.InFlight()) })
	return m
}

// countResponse counts a response.
func (m *metricSet) countResponse(tier, service string, status int, o Outcome) {
	name := fmt.Sprintf(`lynxramp_entry_answers_total{tier=%q,service=%q,status="%d",outcome=%q}`, tier, service, status, o)
	m.set.GetOrCreateCounter(name).Inc()
}

// observeFirstByte records the time from a request's arrival to the first byte of
// its response.
func (m *metricSet) observeFirstByte(tier, service string, took time.Duration) {
	name := fmt.Sprintf(`lynxramp_entry_first_byte_seconds{tier=%q,service=%q}`, tier, service)
	m.set.GetOrCreateHistogram(name).Update(took.Seconds())
}

// write writes all metrics in the Prometheus text format.
func (m *metricSet) write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WritePrometheus(w, true)
}
