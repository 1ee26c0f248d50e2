// SPDX-License-Identifier: MIT

package cluster

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/consensus"
	"lynxramp.org/internal/logx"
	"lynxramp.org/link"
	"lynxramp.org/message"
)

// redialInterval is the least time between two dials of an unreachable peer.
const redialInterval = 200 * time.Millisecond

// maxPeers bounds the number of known boxes.
const maxPeers = 64

// peers sends messages to the other control boxes. A message that can't be sent at once
// is dropped: the replicated log sends it again.
type peers struct {
	self     string
	received *link.Memory
	log      *zap.Logger

	mu      sync.Mutex
	all     map[string]*peer
	members []string
}

// peer is the connection to another box.
type peer struct {
	address  string
	conn     *link.Conn[message.Envelope] // nil while disconnected
	dialedAt time.Time
	dialing  bool
	usedAt   time.Time // when it was added, or last sent a message
}

func newPeers(self string, received *link.Memory, log *zap.Logger) *peers {
	return &peers{self: self, received: received, log: log, all: make(map[string]*peer)}
}

// add adds a box.
func (p *peers) add(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(address)
}

// get returns the peer of an address and adds it if needed; nil for this box itself, or if there
// are maxPeers already and none can be removed.
func (p *peers) get(address string) *peer {
	if address == p.self || address == "" {
		return nil
	}
	remote, ok := p.all[address]
	if !ok {
		if len(p.all) >= maxPeers && !p.removeUnused() {
			p.log.Debug("too many control boxes known; ignoring one", zap.String("address", address), zap.Int("most", maxPeers))
			return nil
		}
		remote = &peer{address: address, usedAt: time.Now()}
		p.all[address] = remote
	}
	return remote
}

// removeUnused removes the disconnected box that was not used for longest and is no member, and reports whether there
// was one. Boxes that were replaced at other addresses would otherwise keep the new ones from being connected to.
func (p *peers) removeUnused() bool {
	var unused *peer
	for address, remote := range p.all {
		if remote.conn != nil || remote.dialing || slices.Contains(p.members, address) {
			continue
		}
		if unused == nil || remote.usedAt.Before(unused.usedAt) {
			unused = remote
		}
	}
	if unused == nil {
		return false
	}
	delete(p.all, unused.address)
	return true
}

// Send implements store.Sender.
func (p *peers) Send(m consensus.Message) {
	p.send(string(m.To.Box()), &message.Envelope{Consensus: &m})
}

func (p *peers) send(address string, m *message.Envelope) {
	p.mu.Lock()
	defer p.mu.Unlock()
	remote := p.get(address)
	if remote == nil {
		return
	}
	remote.usedAt = time.Now()
	switch {
	case remote.conn != nil:
		remote.conn.Send(m)
	case !remote.dialing && time.Since(remote.dialedAt) > redialInterval:
		remote.dialing = true
		remote.dialedAt = time.Now()
		go p.dial(remote, m)
	}
}

// dial connects to a box, sends the message that required the connection, and serves the
// connection until it is closed.
func (p *peers) dial(remote *peer, first *message.Envelope) {
	conn, err := link.Dial[message.Envelope](remote.address)
	var other message.Peer
	if err == nil {
		conn.SetEncodings(other.ClientEncodings())
		conn.SetMemory(p.received)
		conn.Send(first.WithFormatVersion())
	}
	p.mu.Lock()
	remote.dialing = false
	remote.conn = conn
	p.mu.Unlock()
	if err != nil {
		p.log.Debug("can't connect to control box; retrying with a later message", zap.String("address", remote.address), logx.Err(err))
		return
	}
	p.log.Info("connected to control box", zap.String("address", remote.address))
	err = conn.Serve(func(*message.Envelope) {})
	p.mu.Lock()
	remote.conn = nil
	p.mu.Unlock()
	p.log.Info("connection to control box closed", zap.String("address", remote.address), logx.Err(err))
}

// setMembers sets the addresses of the group's members.
func (p *peers) setMembers(members []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = members
	for _, m := range members {
		p.get(m)
	}
}

// sendMembers sends the members' addresses to a box that asks to join.
func (p *peers) sendMembers(address string) {
	p.mu.Lock()
	members := p.members
	p.mu.Unlock()
	if len(members) > 0 {
		p.send(address, &message.Envelope{Redirect: &message.Redirect{Members: members}})
	}
}

// addMembers adds the members that another box sent.
func (p *peers) addMembers(r *message.Redirect) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range r.Members {
		p.get(m)
	}
}

// requestJoin sends all known boxes a request to join.
func (p *peers) requestJoin(self consensus.Member) {
	p.mu.Lock()
	addresses := make([]string, 0, len(p.all))
	for address := range p.all {
		addresses = append(addresses, address)
	}
	p.mu.Unlock()
	for _, address := range addresses {
		p.send(address, &message.Envelope{Join: &self})
	}
}
