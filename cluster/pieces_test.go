// SPDX-License-Identifier: MIT

package cluster

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"

	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/registry"
)

const (
	// allEndpoints is more than the deployment of the other tests has.
	allEndpoints = 10000
	// mostView bounds a message on endpoints, in bytes: 26 ms of a link of 1.25 MB/s.
	mostView = 32 << 10
)

// largeEndpoint is one of them, with names as long and as unlike as those of real ones.
func largeEndpoint(i int) registry.Endpoint {
	return registry.Endpoint{
		ID: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Service: fmt.Sprint("s", i%2), Slots: 8, Sequence: 1,
		Address: fmt.Sprintf("10.%d.%d.%d:%d", i%6, 64+i/1000, i%250, 8000+i%700), DataCentre: fmt.Sprint("hall-", i%6),
	}
}

// newLargeSim returns control boxes that know many endpoints.
func newLargeSim(t *testing.T) *sim {
	s := newSim(t, 3, 0)
	s.run(2 * second)
	for i := range allEndpoints {
		s.tell(s.mustOwner(), largeEndpoint(i))
		if i%200 == 199 {
			s.run(simStep)
		}
	}
	s.run(200 * event.Millisecond)
	return s
}

func viewBytes(t *testing.T, v *message.View) int {
	t.Helper()
	var data bytes.Buffer
	if err := gob.NewEncoder(&data).Encode(v); err != nil {
		t.Fatal(err)
	}
	return data.Len()
}

// TestViewIsBounded: a session began with all endpoints in one message, in front of the
// owner's signs of life, and from its beginning with each new connection.
func TestViewIsBounded(t *testing.T) {
	s := newLargeSim(t)
	s.step(s.mustOwner(), &SessionBegan{Session: 1, Hello: message.Hello{Entry: "entry"}})
	if got := viewBytes(t, firstView(t, s, 1)); got > mostView {
		t.Errorf("a session began with %d bytes on %d endpoints, want %d at the most", got, allEndpoints, mostView)
	}
}

// TestNewsAreBounded: all endpoints fell silent at once, as when their data centre is cut
// off, and each entry was told so in one message.
func TestNewsAreBounded(t *testing.T) {
	s := newLargeSim(t)
	s.stop(s.mustOwner().name) // the next one counts from its beginning for all alike
	s.run(2 * second)
	s.step(s.mustOwner(), &SessionBegan{Session: 1, Hello: message.Hello{Entry: "entry"}})
	before := len(s.sends[1])
	s.run(8 * second)
	down := make(map[string]bool)
	for _, m := range s.sends[1][before:] {
		if m.View == nil {
			continue
		}
		if got := viewBytes(t, m.View); got > mostView {
			t.Fatalf("a message of %d bytes on endpoints that fell silent, want %d at the most", got, mostView)
		}
		for _, e := range unpack(t, m.View) {
			down[e.ID] = e.Down
		}
	}
	if len(down) != allEndpoints || !down[largeEndpoint(7).ID] {
		t.Errorf("the entry was told of %d of %d endpoints that fell silent", len(down), allEndpoints)
	}
}
