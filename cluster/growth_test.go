// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"testing"

	"lynxramp.org/event"
	"lynxramp.org/routing"
)

// TestGrowingConfigurationReachesAllEntries has what a fleet of small boxes went through. Symptom: after
// the third change that added 1,400 routes no entry served any more, not even after all processes
// had been started anew; entries went by an old configuration and did not hear that endpoints
// leave. Sequence: each change was followed by a small one as soon as it was acknowledged; then all
// processes were killed. Cause: a document of 880 kB takes 0.7 s on a link of 10 Mbit/s, and an
// entry gave the owner up that was silent for 0.5 s, so that the document was sent from its
// beginning on each next connection. What settled it: the entries' links were full to the end at 1 %
// of their processors, with no change of the owner; "owner lost: owner does not answer" each 0.55 s.
func TestGrowingConfigurationReachesAllEntries(t *testing.T) {
	g := newGrowthSim(t, 6)
	for range 3 {
		g.change(func(*routing.Table) { g.addRoutes(1400) })
		g.change(func(table *routing.Table) { table.Limits.BodyBytes++ })
		g.mustBeInForce(configApplyBound)
		g.runFleet(5 * event.Second)
	}
	g.restartAll()
	g.mustBeInForce(recoveryBound)
}

// TestLargeChangeIsInForceInTime: one change of ten times the routes, teams or keys of the largest
// that was seen.
func TestLargeChangeIsInForceInTime(t *testing.T) {
	const many = 14000
	for name, grow := range map[string]func(*growthSim, *routing.Table){
		"routes": func(g *growthSim, _ *routing.Table) { g.addRoutes(many) },
		"teams":  func(g *growthSim, table *routing.Table) { g.addTeams(table, many, 1) },
		"keys":   func(g *growthSim, table *routing.Table) { g.addTeams(table, 1, many) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newGrowthSim(t, 3)
			g.change(func(table *routing.Table) { grow(g, table) })
			g.mustBeInForce(configApplyBound)
			g.change(func(table *routing.Table) { table.Limits.BodyBytes++ })
			g.mustBeInForce(configApplyBound)
			g.restartAll()
			g.mustBeInForce(recoveryBound)
		})
	}
}

// TestLargeChangeResumesAfterDisconnects: connections that last 0.3 s each, and owners that are killed,
// make a large change slower. They must not make it begin anew for ever.
func TestLargeChangeResumesAfterDisconnects(t *testing.T) {
	g := newGrowthSim(t, 3)
	g.change(func(*routing.Table) { g.addRoutes(14000) })
	for i := range 20 {
		g.runFleet(300 * event.Millisecond)
		if g.staleEntries() == 0 {
			t.Logf("in force after %v", g.now.Sub(g.acknowledgedAt))
			return
		}
		for _, e := range g.entries {
			g.dropLink(e)
		}
		if owner := g.owner(); owner != nil && i == 2 {
			g.killBox(owner.name, event.Second)
		}
	}
	t.Errorf("%d entries don't serve by the change %v after its acknowledgement", g.staleEntries(), g.now.Sub(g.acknowledgedAt))
}

// BenchmarkGrowth tells how long after its acknowledgement one change that adds routes is in force
// at all entries, in simulated milliseconds: with the link of an entry alone, with its processor alone, and
// with both.
func BenchmarkGrowth(b *testing.B) {
	for _, routes := range []int{1400, 4200, 14000, 28000, 56000} {
		for name, size := range map[string][2]float64{"both": {smallLinkRate, smallCPUShare}, "link": {smallLinkRate, 0}, "processor": {0, smallCPUShare}} {
			b.Run(fmt.Sprintf("%d/%s", routes, name), func(b *testing.B) {
				for range b.N {
					g := newGrowthSim(b, 3)
					for _, e := range g.entries {
						e.linkRate, e.cpuShare = size[0], size[1]
					}
					g.change(func(*routing.Table) { g.addRoutes(routes) })
					g.mustBeInForce(60 * event.Second)
					b.ReportMetric(float64(g.now.Sub(g.acknowledgedAt).Milliseconds()), "ms")
				}
			})
		}
	}
}
