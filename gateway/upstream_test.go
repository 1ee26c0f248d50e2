// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"testing"
	"time"
)

func TestFreshConnectionLeavesKeptOnesOut(t *testing.T) {
	e := newStandIn(t, whole(200, "answer"))
	u := newUpstream()
	get := func(fresh bool) *upConn {
		t.Helper()
		c, err := u.get(context.Background(), e.address, "e", fresh)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	u.put(get(false), time.Minute)
	kept := get(false)
	if !kept.reused {
		t.Fatal("a connection that was kept was not used")
	}
	u.put(kept, time.Minute)
	if c := get(true); c.reused {
		t.Error("a kept connection was used where a new one was asked for")
	}
	if len(u.idle[e.address+" e"]) != 0 {
		t.Error("the kept connection was not dropped")
	}
}
