// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lynxramp.org/level"
)

// levelsEvery is how often the figures of boxes' levels are made anew, if any changed: an owner tells
// of each entry, and hundreds of them may connect within a second.
const levelsEvery = time.Second

// levelMeters are the figures of what boxes read. What they are of comes and goes.
type levelMeters struct {
	set  *metrics.Set
	made time.Time
	now  map[string]float64 // by name and labels
}

// update makes the figures what a state says, now and then.
func (m *levelMeters) update(now time.Time, s *State) {
	if now.Sub(m.made) < levelsEvery {
		return
	}
	m.made = now
	next := s.levelFigures()
	for name, value := range next {
		if before, ok := m.now[name]; !ok || before != value {
			m.set.GetOrCreateGauge(name, nil).Set(value)
		}
	}
	for name := range m.now {
		if _, ok := next[name]; !ok {
			m.set.UnregisterMetric(name)
		}
	}
	m.now = next
}

// levelFigures returns what this box knows of levels: the group's, its own, those of control boxes that
// are connected to it and of its entries, and who holds the group's below its own.
func (s *State) levelFigures() map[string]float64 {
	figures := map[string]float64{
		"lynxramp_control_level": float64(s.machine.level),
		fmt.Sprintf("lynxramp_control_level_held{by=%q}", s.heldBy()): 0,
	}
	if s.heldBy() != "" {
		figures[fmt.Sprintf("lynxramp_control_level_held{by=%q}", s.heldBy())] = 1
	}
	box := func(name, role, build string, reads level.Level) {
		figures[fmt.Sprintf("lynxramp_control_box_level{box=%q,role=%q,build=%q}", name, role, build)] = float64(reads)
	}
	box(string(s.node.ID().Box()), "control", level.Build(), s.levels.own)
	for name, p := range s.levels.peers {
		if len(p.links) > 0 {
			box(string(name), "control", p.build, p.reads)
		}
	}
	if s.owner == nil {
		return figures
	}
	for _, one := range s.owner.sessions {
		box(string(one.entry), "entry", one.build, one.reads)
	}
	return figures
}

// heldBy returns who holds the group's level below that of this box, by an owner's word.
func (s *State) heldBy() string {
	if s.owner == nil {
		return ""
	}
	return s.levels.heldBy
}
