// SPDX-License-Identifier: MIT

package slot

import (
	"sync"

	"lynxramp.org/event"
)

// meterWeight is the weight of a new measurement in the running mean.
const meterWeight = 0.2

// minPrompt is the least prompt, in tokens, that says something about prefill.
const minPrompt = 64

// meter keeps running means of the endpoint's measured speed.
type meter struct {
	mu      sync.Mutex
	prefill float64 // prompt tokens a second
	gap     float64 // nanoseconds between tokens
}

func (m *meter) sawFirstToken(prompt int, took event.Span) {
	if prompt < minPrompt || took <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.prefill = mean(m.prefill, float64(prompt)/took.Seconds())
}

// sawTokens takes note of tokens that came over a span after the first one.
func (m *meter) sawTokens(tokens int, took event.Span) {
	if tokens < 2 || took <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gap = mean(m.gap, float64(took)/float64(tokens))
}

func (m *meter) read() (prefill float64, gap event.Span) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.prefill, event.Span(m.gap)
}

func mean(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + meterWeight*(sample-old)
}
