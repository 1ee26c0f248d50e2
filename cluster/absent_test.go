// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"testing"
	"time"

	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/message"
)

// TestTickTimeWithAbsentEntries: an owner looked through all requests of all entries at each
// tick for each entry that was away, for as long as it remembered it. A second's ticks with a
// third of 390 entries away, as when a data centre is lost, and 20,000 requests of the others
// must leave the lease its time. The best of some runs counts, for machines that do other
// work too.
func TestTickTimeWithAbsentEntries(t *testing.T) {
	const (
		entries, absent = 390, 130
		requests        = 20000
		maxTickTime     = 200 * time.Millisecond
	)
	s := newSim(t, 3, 0)
	s.run(2 * second)
	s.put(s.mustOwner(), 1)
	e := manyEndpoint(1, 1)
	e.Slots = requests
	s.heartbeat(s.mustOwner(), e)
	s.run(second)
	owner := s.mustOwner()
	for i := range entries {
		s.step(owner, &SessionOpened{FormatVersion: level.Newest, Session: SessionID(i + 1), Hello: message.Hello{Entry: event.BoxID(fmt.Sprint("entry", i))}})
	}
	for i := range requests {
		s.step(owner, &BatchReceived{Session: SessionID(absent + 1 + i%(entries-absent)), Batch: submit(event.RequestID(fmt.Sprint("r", i)))})
	}
	for i := range absent {
		s.step(owner, &SessionClosed{Session: SessionID(i + 1)})
	}
	now := s.now.Add(entryTimeout + second)
	var out Effects
	owner.state.owner.tick(now, owner.state, &out)
	if got := forgottenEntries(owner.state.owner); got == 0 || got > maxForgetPerTick {
		t.Errorf("%d entries forgotten in one step, want some, %d at the most", got, maxForgetPerTick)
	}
	best := time.Hour
	for range 3 {
		began := time.Now()
		for range 20 {
			now = now.Add(50 * event.Millisecond)
			owner.state.owner.tick(now, owner.state, &out)
		}
		best = min(best, time.Since(began))
	}
	t.Logf("a second's ticks take %v", best)
	if got := forgottenEntries(owner.state.owner); got != absent {
		t.Errorf("%d of %d absent entries are forgotten seconds later", got, absent)
	}
	if best > maxTickTime {
		t.Errorf("a second's ticks with %d of %d entries away and %d requests take %v, want %v at the most", absent, entries, requests, best, maxTickTime)
	}
}

// forgottenEntries returns of how many entries an owner took as ended what they had running.
func forgottenEntries(o *owner) int {
	n := 0
	for _, e := range o.entries {
		if e.isForgotten {
			n++
		}
	}
	return n
}
