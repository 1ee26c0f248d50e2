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
	pagedEndpoints = 10000
	// mostView bounds a message on endpoints, in bytes: 26 ms of a link of 1.25 MB/s.
	viewSizeBound = 32 << 10
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
	for i := range pagedEndpoints {
		s.heartbeat(s.mustOwner(), largeEndpoint(i))
		if i%200 == 199 {
			s.run(simStep)
		}
	}
	for len(s.answers) < pagedEndpoints {
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

// TestFirstViewSizeIsBounded: a session began with all endpoints in one message, in front of the
// owner's signs of life, and from its beginning with each new connection.
func TestFirstViewSizeIsBounded(t *testing.T) {
	s := newLargeSim(t)
	s.step(s.mustOwner(), &SessionOpened{FormatVersion: level.Newest, Session: 1, Hello: message.Hello{Entry: "entry"}})
	if got := sizeOfView(t, firstView(t, s, 1)); got > viewSizeBound {
		t.Errorf("a session began with %d bytes on %d endpoints, want %d at the most", got, pagedEndpoints, viewSizeBound)
	}
}

// TestDownUpdateSizeIsBounded: all endpoints fell silent at once, as when their data centre is cut
// off, and each entry was told so in one message.
func TestDownUpdateSizeIsBounded(t *testing.T) {
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
		if got := sizeOfView(t, m.View); got > viewSizeBound {
			t.Fatalf("a message of %d bytes on endpoints that fell silent, want %d at the most", got, viewSizeBound)
		}
		for _, e := range decodeEndpoints(t, m.View) {
			down[e.ID] = e.Down
		}
	}
	if len(down) != pagedEndpoints || !down[largeEndpoint(7).ID] {
		t.Errorf("the entry was told of %d of %d endpoints that fell silent", len(down), pagedEndpoints)
	}
}

// TestPagesCoverAllEndpoints: an entry that says what it has is told the rest, each piece once,
// and goes on with another owner from where it was. What changes meanwhile it is told too.
func TestPagesCoverAllEndpoints(t *testing.T) {
	s := newLargeSim(t)
	e := newPagedEntry(t, s, 1)
	for range 3 {
		e.ping()
	}
	if e.isComplete || len(e.known) == 0 {
		t.Fatalf("all of %d endpoints were told in four pieces", len(e.known))
	}
	first := largeEndpoint(0)
	first.Leaving, first.Sequence = true, 2
	s.heartbeat(s.mustOwner(), first)
	s.lastCall++
	s.step(s.mustOwner(), &EndpointRemoved{CallID: s.lastCall, Name: largeEndpoint(1).ID})
	s.run(200 * event.Millisecond)
	s.stop(s.mustOwner().name)
	s.run(2 * second)
	before := len(e.known)
	e.openSession(2)
	if e.views[0].Whole {
		t.Error("another owner begins anew")
	}
	for !e.isComplete && len(e.views) < 40 {
		e.ping()
	}
	if len(e.known) != pagedEndpoints-1 || !e.known[first.ID].Leaving || e.duplicates > 1 {
		t.Errorf("%d endpoints known, %d before the owner changed, %d told twice", len(e.known), before, e.duplicates)
	}
}

// TestPageIsSentOnce: while a piece is on its way questions bring no other.
func TestPageIsSentOnce(t *testing.T) {
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
type pagedEntry struct {
	t          *testing.T
	sim        *sim
	session    SessionID
	received   int // messages of the session
	revision   uint64
	known      map[string]message.Endpoint
	views      []*message.View
	duplicates int // endpoints that were told though they were known and had not changed
	isComplete bool
}

func newPagedEntry(t *testing.T, s *sim, id SessionID) *pagedEntry {
	e := &pagedEntry{t: t, sim: s, known: make(map[string]message.Endpoint)}
	e.openSession(id)
	return e
}

// openSession begins a session with the present owner.
func (e *pagedEntry) openSession(id SessionID) {
	e.session, e.received, e.views = id, 0, nil
	e.sim.step(e.sim.mustOwner(), &SessionOpened{FormatVersion: level.Newest, Session: id, Hello: message.Hello{Entry: "entry", Revision: e.revision}})
	e.receive()
}

// ping sends the owner a question and takes what comes.
func (e *pagedEntry) ping() {
	e.sim.step(e.sim.mustOwner(), &PingReceived{Session: e.session, Ping: message.Ping{Revision: e.revision}})
	e.receive()
}

func (e *pagedEntry) receive() {
	list := e.sim.sends[e.session]
	for _, m := range list[e.received:] {
		if m.View != nil {
			e.apply(m.View)
		}
	}
	e.received = len(list)
}

func (e *pagedEntry) apply(v *message.View) {
	if got := sizeOfView(e.t, v); got > viewSizeBound {
		e.t.Errorf("a piece of %d bytes, want %d at the most", got, viewSizeBound)
	}
	for _, one := range decodeEndpoints(e.t, v) {
		if _, ok := e.known[one.ID]; ok {
			e.duplicates++
		}
		e.known[one.ID] = one
	}
	for _, id := range v.Gone {
		delete(e.known, string(id))
	}
	e.views = append(e.views, v)
	e.revision = max(e.revision, v.Revision)
	e.isComplete = v.Revision > 0 && !v.More
}
