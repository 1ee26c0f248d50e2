// SPDX-License-Identifier: MIT

package cluster

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"

	"lynxramp.org/event"
	"lynxramp.org/level"
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
	for len(s.answers) < allEndpoints {
		s.run(simStep)
	}
	return s
}

func sizeOfView(t *testing.T, v *message.View) int {
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
	s.step(s.mustOwner(), &SessionOpened{FormatVersion: level.Newest, Session: 1, Hello: message.Hello{Entry: "entry"}})
	if got := sizeOfView(t, firstView(t, s, 1)); got > mostView {
		t.Errorf("a session began with %d bytes on %d endpoints, want %d at the most", got, allEndpoints, mostView)
	}
}

// TestNewsAreBounded: all endpoints fell silent at once, as when their data centre is cut
// off, and each entry was told so in one message.
func TestNewsAreBounded(t *testing.T) {
	s := newLargeSim(t)
	s.stop(s.mustOwner().name) // the next one counts from its beginning for all alike
	s.run(2 * second)
	s.step(s.mustOwner(), &SessionOpened{FormatVersion: level.Newest, Session: 1, Hello: message.Hello{Entry: "entry"}})
	before := len(s.sends[1])
	s.run(9 * second)
	down := make(map[string]bool)
	for _, m := range s.sends[1][before:] {
		if m.View == nil {
			continue
		}
		if got := sizeOfView(t, m.View); got > mostView {
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

// TestPiecesMakeTheWhole: an entry that says what it has is told the rest, each piece once,
// and goes on with another owner from where it was. What changes meanwhile it is told too.
func TestPiecesMakeTheWhole(t *testing.T) {
	s := newLargeSim(t)
	e := newPieceEntry(t, s, 1)
	for range 3 {
		e.ask()
	}
	if e.whole || len(e.known) == 0 {
		t.Fatalf("all of %d endpoints were told in four pieces", len(e.known))
	}
	first := largeEndpoint(0)
	first.Leaving, first.Sequence = true, 2
	s.tell(s.mustOwner(), first)
	s.token++
	s.step(s.mustOwner(), &EndpointRemoved{CallID: s.token, Name: largeEndpoint(1).ID})
	s.run(200 * event.Millisecond)
	s.stop(s.mustOwner().name)
	s.run(2 * second)
	before := len(e.known)
	e.begin(2)
	if e.told[0].Whole {
		t.Error("another owner begins anew")
	}
	for !e.whole && len(e.told) < 40 {
		e.ask()
	}
	if len(e.known) != allEndpoints-1 || !e.known[first.ID].Leaving || e.twice > 1 {
		t.Errorf("%d endpoints known, %d before the owner changed, %d told twice", len(e.known), before, e.twice)
	}
}

// TestPieceIsNotSentAgain: while a piece is on its way questions bring no other.
func TestPieceIsNotSentAgain(t *testing.T) {
	s := newLargeSim(t)
	s.step(s.mustOwner(), &SessionOpened{FormatVersion: level.Newest, Session: 1, Hello: message.Hello{Entry: "entry"}})
	for range 5 {
		s.step(s.mustOwner(), &PingReceived{Session: 1})
	}
	views := 0
	for _, m := range s.sends[1] {
		if m.View != nil {
			views++
		}
	}
	if views != 1 {
		t.Errorf("%d views sent to an entry that has none of them yet, want 1", views)
	}
}

// pieceEntry is what an entry knows of endpoints.
type pieceEntry struct {
	t        *testing.T
	sim      *sim
	session  SessionID
	read     int // messages of the session
	revision uint64
	known    map[string]message.Endpoint
	told     []*message.View
	twice    int // endpoints that were told though they were known and had not changed
	whole    bool
}

func newPieceEntry(t *testing.T, s *sim, id SessionID) *pieceEntry {
	e := &pieceEntry{t: t, sim: s, known: make(map[string]message.Endpoint)}
	e.begin(id)
	return e
}

// begin begins a session with the present owner.
func (e *pieceEntry) begin(id SessionID) {
	e.session, e.read, e.told = id, 0, nil
	e.sim.step(e.sim.mustOwner(), &SessionOpened{FormatVersion: level.Newest, Session: id, Hello: message.Hello{Entry: "entry", Revision: e.revision}})
	e.take()
}

// ask sends the owner a question and takes what comes.
func (e *pieceEntry) ask() {
	e.sim.step(e.sim.mustOwner(), &PingReceived{Session: e.session, Ping: message.Ping{Revision: e.revision}})
	e.take()
}

func (e *pieceEntry) take() {
	list := e.sim.sends[e.session]
	for _, m := range list[e.read:] {
		if m.View != nil {
			e.see(m.View)
		}
	}
	e.read = len(list)
}

func (e *pieceEntry) see(v *message.View) {
	if got := sizeOfView(e.t, v); got > mostView {
		e.t.Errorf("a piece of %d bytes, want %d at the most", got, mostView)
	}
	for _, one := range unpack(e.t, v) {
		if _, ok := e.known[one.ID]; ok {
			e.twice++
		}
		e.known[one.ID] = one
	}
	for _, id := range v.Gone {
		delete(e.known, string(id))
	}
	e.told = append(e.told, v)
	e.revision = max(e.revision, v.Revision)
	e.whole = v.Revision > 0 && !v.More
}
