// SPDX-License-Identifier: MIT

package cluster

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/consensus"
	"lynxramp.org/internal/logx"
	"lynxramp.org/link"
	"lynxramp.org/message"
)

// redialInterval is how often a peer that can't be reached is dialled.
const redialInterval = 200 * time.Millisecond

// maxPeers bounds how many boxes are remembered.
const maxPeers = 64

// peers carries messages to the other control boxes. What can't be sent at once
// is dropped: the replicated log sends it again.
type peers struct {
	self string
	log  *zap.Logger

	mu      sync.Mutex
	all     map[string]*peer
	members []string
}

// peer is the way to one other box.
type peer struct {
	address string
	conn    *link.Conn[message.Envelope] // nil while there is none
	dialedAt  time.Time
	dialing bool
}

func newPeers(self string, log *zap.Logger) *peers {
	return &peers{self: self, log: log, all: make(map[string]*peer)}
}

// add remembers a box.
func (p *peers) add(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(address)
}

// get returns the way to a box; nil for this box itself.
func (p *peers) get(address string) *peer {
	if address == p.self || address == "" {
		return nil
	}
	one, ok := p.all[address]
	if !ok {
		if len(p.all) >= maxPeers {
			return nil
		}
		one = &peer{address: address}
		p.all[address] = one
	}
	return one
}

// Send implements store.Sender.
func (p *peers) Send(m consensus.Message) {
	p.send(string(m.To.Box()), &message.Envelope{Consensus: &m})
}

func (p *peers) send(address string, m *message.Envelope) {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.get(address)
	switch {
	case one == nil:
	case one.conn != nil:
		one.conn.Send(m)
	case !one.dialing && time.Since(one.dialedAt) > redialInterval:
		one.dialing = true
		one.dialedAt = time.Now()
		go p.dial(one, m)
	}
}

// dial connects to a box, sends the message that asked for it, and holds the
// connection until it ends.
func (p *peers) dial(one *peer, first *message.Envelope) {
	conn, err := link.Dial[message.Envelope](one.address)
	var other message.Peer
	if err == nil {
		conn.SetForms(other.Asking())
		conn.Send(first.Introduced())
	}
	p.mu.Lock()
	one.dialing = false
	one.conn = conn
	p.mu.Unlock()
	if err != nil {
		p.log.Debug("control box not reached", zap.String("address", one.address), logx.Err(err))
		return
	}
	p.log.Info("control box reached", zap.String("address", one.address))
	err = conn.Serve(func(*message.Envelope) {})
	p.mu.Lock()
	one.conn = nil
	p.mu.Unlock()
	p.log.Info("control box lost", zap.String("address", one.address), logx.Err(err))
}

// setMembers takes the addresses of the group's members.
func (p *peers) setMembers(members []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = members
	for _, m := range members {
		p.get(m)
	}
}

// sendMembers tells a box that asks to join whom it may ask.
func (p *peers) sendMembers(address string) {
	p.mu.Lock()
	members := p.members
	p.mu.Unlock()
	if len(members) > 0 {
		p.send(address, &message.Envelope{Redirect: &message.Redirect{Members: members}})
	}
}

// addMembers remembers the members that another box told of.
func (p *peers) addMembers(r *message.Redirect) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range r.Members {
		p.get(m)
	}
}

// requestJoin asks all boxes that are known to take this one in.
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
