// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/link"
	"lynxramp.org/message"
)

// TestDisconnectFollowsConnect: the connect and disconnect of a peer must arrive in this order. In the
// other order the peer would count as connected forever, and the group's format version could be raised
// without it.
func TestDisconnectFollowsConnect(t *testing.T) {
	s := &Server{
		config: Config{LinkAddress: "127.0.0.1:1"}, log: zap.NewNop(), peers: newPeers("127.0.0.1:1", link.NewMemory(0), zap.NewNop()),
		events: make(chan Event, eventQueueSize), logEvents: make(chan Event, eventQueueSize),
	}
	l, err := link.Listen("127.0.0.1:0", s.serve)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := link.Dial[message.Envelope](l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- c.Serve(func(*message.Envelope) {}) }()
	join := &message.Envelope{Join: &consensus.Member{ID: consensus.MakeID("127.0.0.2:1", 7), Address: "127.0.0.2:2"}}
	c.Send(join.WithFormatVersion())
	first := nextEvent(t, s.logEvents)
	if connected, ok := first.(*PeerConnected); !ok || connected.Box != "127.0.0.2:1" || connected.FormatVersion != level.Newest {
		t.Fatalf("first event is %T %+v, want PeerConnected", first, first)
	}
	c.Close()
	<-served
	second := nextEvent(t, s.logEvents)
	if disconnected, ok := second.(*PeerDisconnected); !ok || disconnected.Connection != first.(*PeerConnected).Connection {
		t.Errorf("second event is %T %+v, want PeerDisconnected", second, second)
	}
}

func nextEvent(t *testing.T, from <-chan Event) Event {
	t.Helper()
	select {
	case e := <-from:
		return e
	case <-time.After(5 * time.Second):
		t.Fatal("no event within 5 s")
		return nil
	}
}

// TestKnownPeersAreBounded: peers choose their own names, so the number of names that a box keeps must be
// bounded, while members are always kept.
func TestKnownPeersAreBounded(t *testing.T) {
	s := newSim(t, 3, 1)
	s.run(4 * event.Second)
	b := s.mustOwner()
	members := len(b.state.allMembers())
	for i := range uint64(10 * maxPeers) {
		box := event.BoxID(fmt.Sprintf("10.0.%d.%d:1", i/256, i%256))
		s.step(b, &PeerConnected{Box: box, Connection: 1000 + i, FormatVersion: level.Newest})
		if i%2 == 0 {
			s.step(b, &PeerDisconnected{Box: box, Connection: 1000 + i})
		}
		if n := len(b.state.formats.peers); n > maxPeers {
			t.Fatalf("%d boxes are known, more than maxPeers", n)
		}
	}
	if len(b.state.formats.peers) < maxPeers/2 {
		t.Errorf("%d boxes are known although half of those that connected still are", len(b.state.formats.peers))
	}
	for _, m := range b.state.allMembers() {
		box := m.ID.Box()
		if m.ID == b.state.node.ID() {
			continue
		}
		s.step(b, &PeerDisconnected{Box: box, Connection: 5000})
		s.step(b, &PeerConnected{Box: box, Connection: 5001, FormatVersion: level.Newest})
		if p := b.state.formats.peers[box]; p == nil || !p.connections[5001] {
			t.Errorf("%s, one of %d members, is not known", box, members)
		}
	}
}

// TestReplacedBoxesLeaveRoomForNewOnes guards against a control box that connects to no new member: it knows maxPeers
// addresses, most of boxes that were replaced at others.
func TestReplacedBoxesLeaveRoomForNewOnes(t *testing.T) {
	p := newPeers("127.0.0.1:1", link.NewMemory(0), zap.NewNop())
	p.setMembers([]string{"127.0.0.1:1", "member-1:1", "member-2:1"})
	p.all["member-1:1"].usedAt = time.Time{}
	for i := range 2 * maxPeers {
		p.addMembers(&message.Redirect{Members: []string{fmt.Sprintf("replaced-%d:1", i)}})
	}
	p.setMembers([]string{"127.0.0.1:1", "member-1:1", "member-3:1"})
	for _, address := range []string{"member-1:1", "member-3:1"} {
		if p.all[address] == nil {
			t.Errorf("member %s can't be connected to", address)
		}
	}
	if len(p.all) > maxPeers {
		t.Errorf("%d addresses are kept, more than maxPeers", len(p.all))
	}
	for _, remote := range p.all {
		remote.dialing = true
	}
	if p.get("one-more:1") != nil {
		t.Error("a box that is being connected to was removed")
	}
}
