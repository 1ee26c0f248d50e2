// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"testing"

	"lynxramp.org/registry"
)

// TestEndpointsSpreadOverBoxes: an endpoint with news is sent on to the owner, which told it to come back: in the
// end one box had the connections and the memory for nearly all endpoints of a fleet. Each of ten boxes is to
// have its part, also once each endpoint has had news, one box has gone and another one owns the pools.
func TestEndpointsSpreadOverBoxes(t *testing.T) {
	const endpoints = 2000
	s := newSim(t, 3, 7)
	s.run(8 * second)
	s.put(s.mustOwner(), 1)
	s.run(second)
	at := make([]string, endpoints) // where each sends its next word
	beat := func(sequence uint64, leaving bool) {
		for i := range at {
			e := registry.Endpoint{
				ID: fmt.Sprint("e", i), Born: 1000, Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/256, i%256), Slots: 1,
				Sequence: sequence, Leaving: leaving,
			}
			b := s.boxes[s.boxAt(at[i])]
			if b == nil || b.state == nil {
				b = s.mustOwner()
			}
			token := s.tell(b, e)
			if s.answers[token].Status == StatusElsewhere {
				token = s.tell(s.mustOwner(), e)
			}
			for s.answers[token].Status == 0 {
				s.run(simStep)
			}
			if next := s.answers[token].Next; next != "" {
				at[i] = next
			}
		}
	}
	mustSpread := func(boxes int) {
		t.Helper()
		count := make(map[string]int)
		for _, address := range at {
			count[address]++
		}
		for address, n := range count {
			if most := endpoints / boxes * 3 / 2; n > most {
				t.Errorf("%d of %d endpoints come to %s, want %d of %d boxes at the most", n, endpoints, address, most, boxes)
			}
		}
		if len(count) != boxes {
			t.Errorf("endpoints come to %d boxes of %d", len(count), boxes)
		}
	}
	beat(1, false)
	mustSpread(10)
	beat(2, false)
	mustSpread(10)
	gone := s.mustOwner().name
	s.stop(gone)
	s.run(4 * second)
	beat(3, true)
	s.run(second)
	mustSpread(9)
}

// boxAt returns the name of the box that an operators' address is of.
func (s *sim) boxAt(address string) string {
	for _, m := range s.mustOwner().state.allMembers() {
		if m.Address == address {
			return string(m.ID.Box())
		}
	}
	return ""
}
