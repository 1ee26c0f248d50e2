// SPDX-License-Identifier: MIT

package cluster

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"lynxramp.org/event"
	"lynxramp.org/internal/uptime"
)

// TestLeaseExpiresWhileMachineIsSuspended: the lease must expire while the machine is suspended, which a
// monotonic clock may not count, or the box would answer a read with an outdated configuration.
func TestLeaseExpiresWhileMachineIsSuspended(t *testing.T) {
	const boxes = 3
	var suspendedTime [boxes]atomic.Int64
	var clocks []func() event.Duration
	for i := range boxes {
		clocks = append(clocks, func() event.Duration { return uptime.Now() + event.Duration(suspendedTime[i].Load()) })
	}
	servers := startServersWithClocks(t, clocks)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	leader := -1
	for d := noiseDocument(1, 10); leader < 0 && ctx.Err() == nil; time.Sleep(tickInterval) {
		for i, s := range servers {
			if s.call(ctx, func(k CallID) Event { return &DocumentSubmitted{CallID: k, Document: d} }).Status == StatusDone {
				leader = i
				break
			}
		}
	}
	if leader < 0 {
		t.Fatal("no box acknowledged the configuration within 20 s")
	}
	// The lease after the suspension is based on what was received before it.
	a := servers[leader].ReadDocument(ctx)
	for ; a.Status != StatusDone && ctx.Err() == nil; a = servers[leader].ReadDocument(ctx) {
		time.Sleep(tickInterval)
	}
	suspendedTime[leader].Add(int64(2 * event.Second))
	if now := servers[leader].clock.Now(); now < a.ValidUntil {
		t.Fatalf("the lease is valid until %v, it is only %v", a.ValidUntil, now)
	}
	hasLease := make(chan bool, 1)
	servers[leader].events <- inspect(func(now event.Time, s *State) {
		hasLease <- s.node.HasLease(now) && s.node.LeaseEnd(now) <= a.ValidUntil
	})
	if <-hasLease {
		t.Error("the box still holds its lease from before the suspension")
	}
}
