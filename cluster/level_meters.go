// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lynxramp.org/level"
)

// formatGaugesInterval is how often the gauges are updated: hundreds of entries may connect within a
// second, and an owner has one gauge for each.
const formatGaugesInterval = time.Second

// formatGauges are the gauges of the format versions of boxes. The gauge of a box that
// disconnected is unregistered.
type formatGauges struct {
	set       *metrics.Set
	updatedAt time.Time
	values    map[string]float64 // by name and labels
}

// update sets the gauges to a state, at most once per interval.
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

// formatGaugeValues returns the known format versions: of the group, of this box, of connected control boxes
// and of the owner's entries, and what prevents the group from having this box's version.
func (s *State) formatGaugeValues() map[string]float64 {
	gauges := map[string]float64{
		"lynxramp_control_level": float64(s.machine.formatVersion),
		fmt.Sprintf("lynxramp_control_level_held{by=%q}", s.blockedBy()): 0,
	}
	if s.blockedBy() != "" {
		gauges[fmt.Sprintf("lynxramp_control_level_held{by=%q}", s.blockedBy())] = 1
	}
	box := func(name, role, build string, formatVersion level.Level) {
		gauges[fmt.Sprintf("lynxramp_control_box_level{box=%q,role=%q,build=%q}", name, role, build)] = float64(formatVersion)
	}
	box(string(s.node.ID().Box()), "control", level.Build(), s.formats.own)
	for name, p := range s.formats.peers {
		if len(p.connections) > 0 {
			box(string(name), "control", p.build, p.formatVersion)
		}
	}
	if s.owner == nil {
		return gauges
	}
	for _, sess := range s.owner.sessions {
		box(string(sess.entry), "entry", sess.build, sess.formatVersion)
	}
	return gauges
}

// blockedBy returns what prevents the owner from raising the group's format version to that of this box.
func (s *State) blockedBy() string {
	if s.owner == nil {
		return ""
	}
	return s.formats.blockedBy
}
