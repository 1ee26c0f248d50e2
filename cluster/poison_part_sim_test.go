// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"testing"

	"lynxramp.org/event"
)

// This file tests requests that share a part of their prompts which crashes endpoints, in the simulation of
// poison_sim_test.go.

// TestPoisonPartRunsAreBoundedUnderFaults: as TestPoisonRunsAreBoundedUnderFaults, of requests that share only a part of
// their prompts, from the fifth crash on.
func TestPoisonPartRunsAreBoundedUnderFaults(t *testing.T) {
	for entries, seeds := range map[int]uint64{4: 24, 22: 6} {
		for seed := range seeds * seedFactor(t) {
			t.Run(fmt.Sprintf("%d entries, seed %d", entries, seed+1), func(t *testing.T) {
				g := runPoisons(t, entries, seed+1, true, crashSim{killShare: []float64{0, 0.3, 1}[seed%3], crashRate: 0.02, sharesParts: true})
				for _, p := range g.poisons {
					unobserved := g.unobservedCrashes(p)
					if late := p.lateRuns(5); late > maxLatePoisonRuns+max(0, unobserved-2) {
						t.Errorf("%s was sent %d times after its fifth crash; %d endpoints crashed, %d crashes unobserved", p.fingerprint, late, len(p.crashes), unobserved)
					}
				}
				hot, others := g.servedShares()
				t.Logf("hot %.3f of %d, others %.3f of %d", hot, g.hotSent, others, g.otherSent)
			})
		}
	}
}

// TestPoisonPartCrashesFewEndpoints: without other faults a part crashes few endpoints, and requests that share the other
// part with it are served.
func TestPoisonPartCrashesFewEndpoints(t *testing.T) {
	for seed := range 6 * seedFactor(t) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			g := runPoisons(t, 4, seed+1, false, crashSim{sharesParts: true})
			for _, p := range g.poisons {
				t.Logf("%s: %d crashes, %d late runs", p.fingerprint, len(p.crashes), p.lateRuns(5))
				if len(p.crashes) < 2 || len(p.crashes) > 6 || p.lateRuns(5) > maxLatePoisonRuns {
					t.Errorf("%d endpoints crashed under %s, want 2 to 6; %d late runs", len(p.crashes), p.fingerprint, p.lateRuns(5))
				}
			}
			if hot, others := g.servedShares(); hot < 0.97 || others < 0.97 {
				t.Errorf("%.3f of the hot requests were served, %.3f of others, want 0.97 or more", hot, others)
			}
		})
	}
}

// TestPartsAreNotBlamedForUnrelatedCrashes: endpoints crash by themselves every 5 s on average under requests with 300 rare
// parts and five frequent ones, before most responses began. As many requests are served as without parts.
func TestPartsAreNotBlamedForUnrelatedCrashes(t *testing.T) {
	var shares [2]float64
	for i, sharesParts := range []bool{false, true} {
		served, sent := 0, 0
		for seed := range 4 * seedFactor(t) {
			f := newFleetSim(t, 4, seed+1)
			g := newCrashSim(f, seed+1)
			g.crashRate, g.sharesParts = 0.2, sharesParts
			f.runFleet(30 * event.Second)
			served, sent = served+g.otherServed, sent+g.otherSent
		}
		shares[i] = float64(served) / float64(sent)
	}
	t.Logf("served %.4f without parts, %.4f with", shares[0], shares[1])
	if shares[1] < shares[0]-0.01 {
		t.Errorf("%.4f of the requests with parts were served, %.4f without", shares[1], shares[0])
	}
}
