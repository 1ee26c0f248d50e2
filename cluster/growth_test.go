// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"testing"

	"lynxramp.org/event"
	"lynxramp.org/routing"
)

// TestGrowingConfigurationReachesAllEntries adds many routes several times, each time followed by a small
// change, and then restarts all processes. A large configuration over a slow link must neither delay the
// owner's pongs beyond the entries' timeout nor be sent from its beginning on each connection: no entry
// would ever receive all of it.
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

// TestLargeChangeIsInForceInTime adds many routes, teams or keys in one change. All entries must use it in
// time, and a small change after it.
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

// TestLargeChangeResumesAfterDisconnects: a change that takes longer to send than connections last must
// resume on the next connection, also after a change of owner.
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
	t.Errorf("the change is not in force at %d entries %v after its acknowledgement", g.staleEntries(), g.now.Sub(g.acknowledgedAt))
}

// BenchmarkGrowth measures the simulated time from the acknowledgement of a change that adds routes until
// it is in force at all entries, with the entries' link, CPU share or both limited.
func BenchmarkGrowth(b *testing.B) {
	for _, routes := range []int{1400, 4200, 14000, 28000, 56000} {
		for name, size := range map[string][2]float64{"both": {smallLinkRate, smallCPUShare}, "link": {smallLinkRate, 0}, "CPU": {0, smallCPUShare}} {
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
