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

// TestDisconnectFollowsConnect: a control box connected, said who it is and ended at once. That it had
// come and that it had gone were told by two queues, and where the end came first the box counted as
// connected for good, so that the group's level could be raised while it was away.
func TestDisconnectFollowsConnect(t *testing.T) {
	s := &Server{
		config: Config{LinkAddress: "127.0.0.1:1"}, log: zap.NewNop(), peers: newPeers("127.0.0.1:1", zap.NewNop()),
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
	c.Send(join.Introduced())
	first := nextEvent(t, s.logEvents)
	if told, ok := first.(*PeerConnected); !ok || told.Box != "127.0.0.2:1" || told.FormatVersion != level.Newest {
		t.Fatalf("first came %T %+v", first, first)
	}
	c.Close()
	<-served
	second := nextEvent(t, s.logEvents)
	if lost, ok := second.(*PeerDisconnected); !ok || lost.Connection != first.(*PeerConnected).Connection {
		t.Errorf("then came %T %+v", second, second)
	}
}

func nextEvent(t *testing.T, from <-chan Event) Event {
	t.Helper()
	select {
	case e := <-from:
		return e
	case <-time.After(5 * time.Second):
		t.Fatal("no event comes")
		return nil
	}
}

// TestKnownPeersAreBounded: a control box goes by the name that a peer gives itself, and remembered all
// of them for good.
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
			t.Fatalf("%d boxes are remembered", n)
		}
	}
	if len(b.state.formats.peers) < maxPeers/2 {
		t.Errorf("%d boxes are remembered, though half of those that came are connected", len(b.state.formats.peers))
	}
	for _, m := range b.state.allMembers() {
		box := m.ID.Box()
		if m.ID == b.state.node.ID() {
			continue
		}
		s.step(b, &PeerDisconnected{Box: box, Connection: 5000})
		s.step(b, &PeerConnected{Box: box, Connection: 5001, FormatVersion: level.Newest})
		if p := b.state.formats.peers[box]; p == nil || !p.connections[5001] {
			t.Errorf("%s, one of %d members, is not remembered", box, members)
		}
	}
}
