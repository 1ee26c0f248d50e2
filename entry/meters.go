// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// meters has the entry's metrics. Each entry has a set of its own, so that one
// process can run several.
type meters struct {
	set *metrics.Set
}

func newMeters(e *Entry) *meters {
	m := &meters{set: metrics.NewSet()}
	m.set.NewGauge("lynxramp_entry_requests", func() float64 { return float64(e.Requests()) })
	return m
}

// answered counts an answer.
func (m *meters) answered(tier, service string, status int, o Outcome) {
	name := fmt.Sprintf(`lynxramp_entry_answers_total{tier=%q,service=%q,status="%d",outcome=%q}`, tier, service, status, o)
	m.set.GetOrCreateCounter(name).Inc()
}

// firstByte takes note of the time to an answer's first byte.
func (m *meters) firstByte(tier, service string, took time.Duration) {
	name := fmt.Sprintf(`lynxramp_entry_first_byte_seconds{tier=%q,service=%q}`, tier, service)
	m.set.GetOrCreateHistogram(name).Update(took.Seconds())
}

// write writes all metrics in the text form that collectors read.
func (m *meters) write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WritePrometheus(w, true)
}
