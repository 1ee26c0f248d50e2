// SPDX-License-Identifier: MIT

package cluster

import (
	"testing"

	"lynxramp.org/event"
	"lynxramp.org/registry"
)

// heartbeatFor lets an endpoint tell of itself once a second.
func heartbeatFor(s *sim, e *registry.Endpoint, seconds int) {
	for range seconds {
		e.Sequence++
		s.heartbeat(s.mustOwner(), *e)
		s.run(event.Second)
	}
}

func isRegistered(s *sim, id string) bool {
	_, ok := s.mustOwner().state.machine.registry.Endpoints[id]
	return ok
}

// TestDelayedHeartbeatOfCrashedEndpoint: a word of an endpoint that has crashed arrives after another
// came to its address. The one that lives keeps the address, or has it back within
// seconds, whether the dead one was known before or not, and whoever owns the pools.
func TestDelayedHeartbeatOfCrashedEndpoint(t *testing.T) {
	for name, known := range map[string]bool{"known before": true, "never heard before": false} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 3, 2)
			s.run(5 * second)
			dead := registry.Endpoint{ID: "dead", Service: "s", Address: "10.0.0.1:80", Slots: 4}
			alive := registry.Endpoint{ID: "alive", Service: "s", Address: "10.0.0.1:80", Slots: 4}
			if known {
				heartbeatFor(s, &dead, 2)
			}
			heartbeatFor(s, &alive, 3)
			dead.Sequence++
			s.heartbeat(s.mustOwner(), dead)
			s.run(100 * event.Millisecond)
			if known && !isRegistered(s, "alive") {
				t.Error("a late word of an endpoint that was followed took the address")
			}
			heartbeatFor(s, &alive, 2)
			s.stop(s.mustOwner().name)
			s.run(2 * second)
			heartbeatFor(s, &alive, 3)
			if !isRegistered(s, "alive") || isRegistered(s, "dead") {
				t.Error("seconds after the late word the endpoint that lives is not there")
			}
		})
	}
}
