// SPDX-License-Identifier: MIT

package cluster

import (
	"testing"

	"lynxramp.org/event"
	"lynxramp.org/registry"
)

// heartbeatFor sends heartbeats of an endpoint once a second.
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

// TestDelayedHeartbeatOfCrashedEndpoint sends a heartbeat of a crashed endpoint after another endpoint has
// taken its address. The live one must keep the address or get it back within seconds, also after a change
// of owner.
func TestDelayedHeartbeatOfCrashedEndpoint(t *testing.T) {
	for name, wasRegistered := range map[string]bool{"registered before": true, "not registered before": false} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 3, 2)
			s.run(5 * second)
			crashed := registry.Endpoint{ID: "dead", Service: "s", Address: "10.0.0.1:80", Slots: 4}
			live := registry.Endpoint{ID: "alive", Service: "s", Address: "10.0.0.1:80", Slots: 4}
			if wasRegistered {
				heartbeatFor(s, &crashed, 2)
			}
			heartbeatFor(s, &live, 3)
			crashed.Sequence++
			s.heartbeat(s.mustOwner(), crashed)
			s.run(100 * event.Millisecond)
			if wasRegistered && !isRegistered(s, "alive") {
				t.Error("a delayed heartbeat of the replaced endpoint took the address")
			}
			heartbeatFor(s, &live, 2)
			s.stop(s.mustOwner().name)
			s.run(2 * second)
			heartbeatFor(s, &live, 3)
			if !isRegistered(s, "alive") || isRegistered(s, "dead") {
				t.Error("the live endpoint is not registered seconds after the delayed heartbeat")
			}
		})
	}
}
