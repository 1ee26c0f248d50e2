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

// TestTickTimeWithDisconnectedEntries guards against a scan of all requests for each disconnected entry at
// each tick. It takes the best of several runs, as the machine may be busy.
func TestTickTimeWithDisconnectedEntries(t *testing.T) {
	const (
		entries, disconnected = 390, 130
		requests              = 20000
		maxTickTime           = 200 * time.Millisecond
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
		s.step(owner, &BatchReceived{Session: SessionID(disconnected + 1 + i%(entries-disconnected)), Batch: submit(event.RequestID(fmt.Sprint("r", i)))})
	}
	for i := range disconnected {
		s.step(owner, &SessionClosed{Session: SessionID(i + 1)})
	}
	now := s.now.Add(entryTimeout + second)
	var out Effects
	owner.state.owner.tick(now, owner.state, &out)
	if got := expiredEntries(owner.state.owner); got == 0 || got > maxExpiredPerTick {
		t.Errorf("%d entries expired in one tick, want 1 to %d", got, maxExpiredPerTick)
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
	t.Logf("the ticks of one second take %v", best)
	if got := expiredEntries(owner.state.owner); got != disconnected {
		t.Errorf("%d of %d disconnected entries expired after one more second", got, disconnected)
	}
	if best > maxTickTime {
		t.Errorf("the ticks of one second with %d of %d entries disconnected and %d requests take %v, want at most %v", disconnected, entries, requests, best, maxTickTime)
	}
}

// expiredEntries returns the number of entries whose requests an owner has treated as terminated.
func expiredEntries(o *owner) int {
	n := 0
	for _, e := range o.entries {
		if e.isExpired {
			n++
		}
	}
	return n
}
