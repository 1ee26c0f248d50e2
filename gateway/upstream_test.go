// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"testing"
	"time"
)

func TestNewConnectionDropsIdleOnes(t *testing.T) {
	e := newFakeEndpoint(t, whole(200, "answer"))
	u := newUpstream()
	get := func(newOnly bool) *upstreamConn {
		t.Helper()
		c, err := u.get(context.Background(), e.address, "e", newOnly)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	u.put(get(false), time.Minute)
	kept := get(false)
	if !kept.reused {
		t.Fatal("the idle connection was not used")
	}
	u.put(kept, time.Minute)
	if c := get(true); c.reused {
		t.Error("an idle connection was used instead of a new one")
	}
	if len(u.idle[e.address+" e"]) != 0 {
		t.Error("the idle connection was not closed")
	}
}

// TestConnectionsToManyEndpointsAreBounded guards against a pool that is limited per endpoint only and so exceeds the
// file descriptors.
func TestConnectionsToManyEndpointsAreBounded(t *testing.T) {
	const most, endpoints, each = 20, 10, 4
	u := newUpstream()
	u.maxConnections = most
	var conns []*upstreamConn
	for i := range endpoints {
		e := newFakeEndpoint(t, whole(200, "answer"))
		conns = conns[:0]
		for range each {
			c, err := u.get(context.Background(), e.address, "e", true)
			if err != nil {
				t.Fatal(err)
			}
			conns = append(conns, c)
		}
		if open := u.connections(); open > most {
			t.Fatalf("%d connections with endpoint %d, want %d at most", open, i+1, most)
		}
		for _, c := range conns {
			u.put(c, time.Minute)
		}
	}
	if c, err := u.get(context.Background(), conns[0].RemoteAddr().String(), "e", false); err != nil || !c.reused {
		t.Errorf("the newest connection was closed before older ones: %v", err)
	}
	if open := u.connections(); open != most {
		t.Errorf("%d connections are open, want %d", open, most)
	}
	u.sweep()
	for key := range u.idle {
		for c := u.pop(key); c != nil; c = u.pop(key) {
			_ = c.Close()
		}
	}
	if open := u.connections(); open != 1 {
		t.Errorf("%d connections are counted, want 1", open)
	}
}
