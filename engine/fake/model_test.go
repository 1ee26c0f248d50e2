// SPDX-License-Identifier: MIT

package fake

import (
	"testing"

	"lynxramp.org/engine"
	"lynxramp.org/event"
)

// drive runs a model until it is idle and returns the times of each job's first and
// last tokens.
func drive(m *Model) (first, last map[string]event.Time) {
	first, last = make(map[string]event.Time), make(map[string]event.Time)
	for {
		next, ok := m.Next()
		if !ok {
			return first, last
		}
		for _, o := range m.Advance(next, nil) {
			if o.Index == 0 {
				first[o.ID] = o.At
			}
			if o.Done {
				last[o.ID] = o.At
			}
		}
	}
}

func TestModelPriority(t *testing.T) {
	p := DefaultProfile()
	p.MaxBatch = 1
	m := NewModel(p)
	m.Submit(0, Job{ID: "running", PromptTokens: 100, OutputTokens: 5})
	m.Submit(0, Job{ID: "low", PromptTokens: 100, OutputTokens: 5, Priority: 1})
	m.Submit(0, Job{ID: "high", PromptTokens: 100, OutputTokens: 5, Priority: 3})
	first, last := drive(m)
	if !(last["running"] < first["high"] && last["high"] < first["low"]) {
		t.Errorf("first tokens %v, last %v", first, last)
	}
}

func TestModelPrefixCache(t *testing.T) {
	blocks := make([]uint64, 100)
	for i := range blocks {
		blocks[i] = uint64(i + 1)
	}
	job := Job{ID: "a", PromptTokens: len(blocks)*engine.BlockTokens + 8, OutputTokens: 2, Prefix: blocks}
	m := NewModel(DefaultProfile())
	m.Submit(0, job)
	drive(m)
	cold := m.Totals().Prefilled
	m.Submit(m.stepEnd, job)
	drive(m)
	if warm := m.Totals().Prefilled - cold; warm != 8 || cold != job.PromptTokens {
		t.Errorf("prefilled %d tokens cold and %d warm", cold, warm)
	}
}

func TestModelSlowdown(t *testing.T) {
	took := func(slow float64) event.Time {
		m := NewModel(DefaultProfile())
		m.SetSlowdown(slow)
		m.Submit(0, Job{ID: "a", PromptTokens: 100, OutputTokens: 50})
		_, last := drive(m)
		return last["a"]
	}
	if fast, slow := took(1), took(5); slow < 5*fast-50 || slow > 5*fast+50 {
		t.Errorf("took %v, and %v at a fifth of the speed", fast, slow)
	}
}

func TestModelCancel(t *testing.T) {
	m := NewModel(DefaultProfile())
	m.Submit(0, Job{ID: "a", PromptTokens: 3000, OutputTokens: 5})
	if !m.Cancel("a") || m.Cancel("a") {
		t.Error("Cancel did not succeed exactly once")
	}
	_, last := drive(m)
	if len(last) != 0 || m.Totals().Wasted != DefaultProfile().PrefillBudget {
		t.Errorf("ended %v, totals %+v", last, m.Totals())
	}
}
