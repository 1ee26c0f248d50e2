// SPDX-License-Identifier: MIT

package consensus

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lynxramp.org/event"
)

// deliverLossy delivers the messages in flight, and loses, duplicates and delays some of them.
func (g *group) deliverLossy() {
	for _, b := range g.members {
		g.sync(b)
	}
	for n := len(g.network); n > 0; n-- {
		switch g.random.IntN(20) {
		case 0:
			g.network = g.network[1:]
		case 1:
			g.network = append(g.network, g.network[0])
			g.deliver(0, false)
		case 2:
			g.network = append(g.network[1:], g.network[0])
		default:
			g.deliver(0, false)
		}
	}
}

// proposeOrTransfer sometimes makes the leader propose a command or transfer its leadership.
func (g *group) proposeOrTransfer() {
	l := g.holder()
	if l == nil {
		return
	}
	var out Ready
	switch n := g.random.IntN(50); {
	case n < 10:
		g.propose(l)
	case n < 11:
		l.node.TransferLeadership(g.now, nil, &out)
		g.enqueue(l, out)
	}
}

// A member with a lost disk must become a voter again although the leader changes about once a
// second, messages are lost, duplicated and reordered, commands and snapshots continue, and the member
// crashes once. Guards against each new leader restarting the snapshot transfer from its first
// chunk.
func TestLostDiskComesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, 3)
		g.doubling = true
		g.bounds.keepEntries, g.bounds.keepBytes = 10000, 1e6
		for _, b := range g.members {
			b.node.bounds = g.bounds
		}
		g.settle(4 * event.Second)
		for range 2*firstSnapshot + 5 {
			g.propose(g.holder())
			g.settle(20 * event.Millisecond)
		}
		l := g.holder()
		lost := g.members[(slices.Index(g.members, l)+1)%3]
		g.wipe(lost)
		crash := rapid.IntRange(1, 100).Draw(t, "crash")
		for step := 0; ; step++ {
			g.now = g.now.Add(20 * event.Millisecond)
			for _, b := range g.members {
				var out Ready
				b.node.Tick(g.now, &out)
				g.enqueue(b, out)
			}
			g.deliverLossy()
			g.rejoin()
			g.proposeOrTransfer()
			if step == crash {
				g.start(lost)
			}
			if h := g.holder(); h != nil && h.node.members.isVoter(lost.id) && step > crash {
				break
			}
			if step > 3000 {
				t.Fatalf("the wiped member is no voter after %d steps; it applied %d of %d commands", step, len(lost.applied), len(g.committed))
			}
		}
		g.settle(4 * event.Second)
		if len(lost.applied) != len(g.committed) || g.installed == 0 {
			t.Fatalf("the wiped member applied %d of %d commands and installed %d snapshots", len(lost.applied), len(g.committed), g.installed)
		}
	})
}
