// SPDX-License-Identifier: MIT

package gateway

import (
	"testing"

	"go.uber.org/zap"

	"lynxramp.org/budget"
	"lynxramp.org/event"
	"lynxramp.org/hashtree"
	"lynxramp.org/message"
	"lynxramp.org/routing"
)

// TestExpiredLeasesAreNotReported: an entry that reconnects within the validity of its leases reports them. A
// later one reports none: the owner has counted them as spent, and a new owner must not count them as returned.
func TestExpiredLeasesAreNotReported(t *testing.T) {
	const validity = 5 * event.Second
	account := budget.Team("t")
	tree := hashtree.Build(&routing.Table{Version: 1}, nil)
	for away, want := range map[event.Duration]int{validity - event.Second: 70, validity + event.Millisecond: 0} {
		a := NewOwnerClient(ClientConfig{
			Entry: "entry", ControlAddresses: []string{"box"}, ConfigValidity: validity, Log: zap.NewNop(),
		})
		a.Connected(0, 1, "box")
		a.Received(0, 1, &message.Envelope{View: &message.View{Version: 1, Root: tree.Root()}})
		root, _ := tree.Node(tree.Root())
		a.Received(0, 1, &message.Envelope{Nodes: &message.Nodes{List: []message.Node{{Sum: tree.Root(), Packed: root}}}})
		leases := budget.LeaseUpdate{Number: 1, UpTo: []budget.Lease{{Account: account, UpTo: 70}}}
		a.Received(0, 1, &message.Envelope{Pong: &message.Pong{Version: 1, Lent: leases}})
		a.Disconnected(0, 1, nil)
		a.TakeEffects()
		a.Connected(event.Time(away), 2, "box")
		held := a.TakeEffects().Sends[0].Message.Hello.Held
		if len(held) != 1 || held[0].UpTo-held[0].Spent != want {
			t.Errorf("reported leases after %v without an owner: %+v, want %d left", away, held, want)
		}
	}
}
