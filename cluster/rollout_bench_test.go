// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"testing"

	"lynxramp.org/message"
	"lynxramp.org/registry"
	"lynxramp.org/rollout"
)

// versionedEndpoints returns endpoints of two versions.
func versionedEndpoints(n int) []registry.Endpoint {
	list := make([]registry.Endpoint, n)
	for i := range list {
		list[i] = registry.Endpoint{
			ID: fmt.Sprintf("i-%08x", i*2654435761%(1<<32)), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), DataCentre: "z", Slots: 6,
			Sequence: 1, Version: fmt.Sprint("v", 1+i%2),
		}
	}
	return list
}

// BenchmarkRolloutTick measures what an order in progress adds to a tick of the owner, which has 20 a second.
func BenchmarkRolloutTick(b *testing.B) {
	for _, n := range []int{110, 1100, 10000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			s := newSim(b, 1, 0)
			s.settings = simRolloutSettings
			s.stop("box1")
			s.restart("box1")
			s.run(simStep * 200)
			s.put(s.mustOwner(), 1)
			s.run(simStep * 20)
			for _, e := range versionedEndpoints(n) {
				s.heartbeat(s.mustOwner(), e)
			}
			s.submitOrder(s.mustOwner(), rollout.Order{Service: "s", Version: "v2", Duration: simOrder.Duration})
			s.run(simStep * 20)
			state := s.mustOwner().state
			if !state.hasOrderInProgress() || len(state.machine.registry.Endpoints) != n {
				b.Fatal("no order is in progress")
			}
			var out Effects
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				state.owner.tickRollouts(s.now, state, &out)
				out.reset()
			}
		})
	}
}

// TestVersionsAreSmallInListings guards against versions that double what all entries are sent when they start.
func TestVersionsAreSmallInListings(t *testing.T) {
	with := versionedEndpoints(1100)
	without := versionedEndpoints(1100)
	for i := range without {
		without[i].Version = ""
	}
	before, after := len(message.NewListing(toMessageEndpoints(without))), len(message.NewListing(toMessageEndpoints(with)))
	t.Logf("1,100 endpoints take %d bytes, with versions %d", before, after)
	if after > before*12/10 {
		t.Errorf("1,100 endpoints take %d bytes, with versions %d", before, after)
	}
}
