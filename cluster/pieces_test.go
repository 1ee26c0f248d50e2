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
	// pagedEndpoints is larger than the deployments of the other tests.
	pagedEndpoints = 10000
	// viewSizeBound is the largest message with endpoints, in bytes: 26 ms on a link of 1.25 MB/s.
	viewSizeBound = 32 << 10
)

// largeEndpoint returns endpoint i, with names that are as long and compress as badly as real ones.
func largeEndpoint(i int) registry.Endpoint {
	return registry.Endpoint{
		ID: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Service: fmt.Sprint("s", i%2), Slots: 8, Sequence: 1,
		Address: fmt.Sprintf("10.%d.%d.%d:%d", i%6, 64+i/1000, i%250, 8000+i%700), DataCentre: fmt.Sprint("hall-", i%6),
	}
}

// newLargeSim returns control boxes with many registered endpoints.
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

// TestFirstViewSizeIsBounded: all endpoints in the first message of a session would delay the owner's
// pongs, and be sent again on each new connection.
func TestFirstViewSizeIsBounded(t *testing.T) {
	s := newLargeSim(t)
	s.step(s.mustOwner(), &SessionOpened{FormatVersion: level.Newest, Session: 1, Hello: message.Hello{Entry: "entry"}})
	if got := sizeOfView(t, firstView(t, s, 1)); got > viewSizeBound {
		t.Errorf("the first view has %d bytes with %d endpoints registered, want at most %d", got, pagedEndpoints, viewSizeBound)
	}
}

// TestDownUpdateSizeIsBounded: when all endpoints are down at once, as after the partition of a data
// centre, entries must receive that in several messages.
func TestDownUpdateSizeIsBounded(t *testing.T) {
	s := newLargeSim(t)
	s.stop(s.mustOwner().name) // the next owner counts the heartbeats of all from the same time
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
			t.Fatalf("a message of %d bytes with endpoints that are down, want at most %d", got, viewSizeBound)
		}
		for _, e := range decodeEndpoints(t, m.View) {
			down[e.ID] = e.Down
		}
	}
	if len(down) != pagedEndpoints || !down[largeEndpoint(7).ID] {
		t.Errorf("the entry received %d of %d endpoints that are down", len(down), pagedEndpoints)
	}
}

// TestPagesCoverAllEndpoints: an entry receives each endpoint once and each change in between, and
// continues from its revision after a change of owner.
func TestPagesCoverAllEndpoints(t *testing.T) {
	s := newLargeSim(t)
	e := newPagedEntry(t, s, 1)
	for range 3 {
		e.ping()
	}
	if e.isComplete || len(e.known) == 0 {
		t.Fatalf("all of %d endpoints were sent in four pages", len(e.known))
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
		t.Error("another owner sends the endpoints from the beginning")
	}
	for !e.isComplete && len(e.views) < 40 {
		e.ping()
	}
	if len(e.known) != pagedEndpoints-1 || !e.known[first.ID].Leaving || e.duplicates > 1 {
		t.Errorf("%d endpoints known, %d before the owner changed, %d received twice", len(e.known), before, e.duplicates)
	}
}

// TestPageIsSentOnce: pings while a page is in transit must not cause another one.
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
		t.Errorf("%d views sent before the entry acknowledged one, want 1", views)
	}
}

// pagedEntry is an entry that receives the endpoints in pages.
type pagedEntry struct {
	t          *testing.T
	sim        *sim
	session    SessionID
	received   int // messages of the session received so far
	revision   uint64
	known      map[string]message.Endpoint
	views      []*message.View
	duplicates int // endpoints received again without a change
	isComplete bool
}

func newPagedEntry(t *testing.T, s *sim, id SessionID) *pagedEntry {
	e := &pagedEntry{t: t, sim: s, known: make(map[string]message.Endpoint)}
	e.openSession(id)
	return e
}

// openSession opens a session with the present owner.
func (e *pagedEntry) openSession(id SessionID) {
	e.session, e.received, e.views = id, 0, nil
	e.sim.step(e.sim.mustOwner(), &SessionOpened{FormatVersion: level.Newest, Session: id, Hello: message.Hello{Entry: "entry", Revision: e.revision}})
	e.receive()
}

// ping sends the owner a ping and receives the messages that follow.
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
		e.t.Errorf("a page of %d bytes, want at most %d", got, viewSizeBound)
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
