// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lynxramp.org/level"
)

// formatGaugesInterval is how often the figures of boxes' levels are made anew, if any changed: an owner tells
// of each entry, and hundreds of them may connect within a second.
const formatGaugesInterval = time.Second

// formatGauges are the figures of what boxes read. What they are of comes and goes.
type formatGauges struct {
	set  *metrics.Set
	updatedAt time.Time
	values  map[string]float64 // by name and labels
}

// update makes the figures what a state says, now and then.
func (m *formatGauges) update(now time.Time, s *State) {
	if now.Sub(m.updatedAt) < formatGaugesInterval {
		return
	}
	m.updatedAt = now
	next := s.formatGaugeValues()
	for name, value := range next {
		if before, ok := m.values[name]; !ok || before != value {
			m.set.GetOrCreateGauge(name, nil).Set(value)
		}
	}
	for name := range m.values {
		if _, ok := next[name]; !ok {
			m.set.UnregisterMetric(name)
		}
	}
	m.values = next
}

// formatGaugeValues returns what this box knows of levels: the group's, its own, those of control boxes that
// are connected to it and of its entries, and who holds the group's below its own.
func (s *State) formatGaugeValues() map[string]float64 {
	figures := map[string]float64{
		"lynxramp_control_level": float64(s.machine.formatVersion),
		fmt.Sprintf("lynxramp_control_level_held{by=%q}", s.blockedBy()): 0,
	}
	if s.blockedBy() != "" {
		figures[fmt.Sprintf("lynxramp_control_level_held{by=%q}", s.blockedBy())] = 1
	}
	box := func(name, role, build string, reads level.Level) {
		figures[fmt.Sprintf("lynxramp_control_box_level{box=%q,role=%q,build=%q}", name, role, build)] = float64(reads)
	}
	box(string(s.node.ID().Box()), "control", level.Build(), s.formats.own)
	for name, p := range s.formats.peers {
		if len(p.connections) > 0 {
			box(string(name), "control", p.build, p.formatVersion)
		}
	}
	if s.owner == nil {
		return figures
	}
	for _, one := range s.owner.sessions {
		box(string(one.entry), "entry", one.build, one.formatVersion)
	}
	return figures
}

// blockedBy returns who holds the group's level below that of this box, by an owner's word.
func (s *State) blockedBy() string {
	if s.owner == nil {
		return ""
	}
	return s.formats.blockedBy
}
