package rollout

import (
	"fmt"
	"testing"
)

func TestMisses(t *testing.T) {
	for _, i := range []int{1, 3, 8} {
		for _, rate := range []float64{20, 300} {
			if i != 3 && rate == 20 {
				continue
			}
			bad := allBadness[i]
			for seed := range uint64(100) {
				m := newModel(seed, bad, rate, 3, true)
				m.run()
				if m.phase == PhaseRolledBack && m.badResponses < 50 {
					continue
				}
				ev, _ := m.tracker.Evidence("s")
				d := ""
				for _, n := range m.endpoints[newVersion] {
					d += fmt.Sprintf(" %.1f/%.1f(%d)", n.failures, n.slowness, n.responses)
				}
				d += " old"
				for _, n := range m.endpoints[oldVersion] {
					d += fmt.Sprintf(" %.1f/%.1f(%d)", n.failures, n.slowness, n.responses)
				}
				fmt.Println(bad.name, rate, seed, m.phase, ev.Reason, m.endedAt/1e6, fmt.Sprintf("%.1f %.1f", ev.Fails, ev.Slow), ev.Counts, m.badResponses, d)
			}
		}
	}
}
