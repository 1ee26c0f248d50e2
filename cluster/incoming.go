// SPDX-License-Identifier: MIT

package cluster

import (
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lynxramp.org/event"
	"lynxramp.org/internal/logx"
	"lynxramp.org/level"
	"lynxramp.org/link"
	"lynxramp.org/message"
)

// incoming is a connection that another control box or an entry made to this one.
type incoming struct {
	server  *Server
	conn    *link.Conn[message.Envelope]
	peer    message.Peer
	number  uint64
	session SessionID   // of an entry; 0 for a control box
	box     event.BoxID // a control box, once it is known which
	told    level.Level // what the loop was last told that the control box reads
	build   string
}

// serve serves one connection until it ends.
func (s *Server) serve(c *link.Conn[message.Envelope]) {
	in := &incoming{server: s, conn: c, number: s.links.Add(1)}
	c.SetForms(in.peer.Answering())
	err := c.Serve(in.receive)
	if errors.Is(err, link.ErrTooLong) || errors.Is(err, link.ErrBehind) {
		// Other ends are seen by the other side too, which connects again.
		s.log.Warn("link given up", zap.String("peer", c.Remote()), logx.Err(err))
	}
	if in.session != 0 {
		s.removeSession(in.session)
		s.input <- &SessionEnded{Session: in.session}
	}
	if in.box != "" {
		s.logInput <- &PeerLost{Box: in.box, Link: in.number} // after its PeerTold, by the same queue
	}
}

// receive takes one message.
func (in *incoming) receive(m *message.Envelope) {
	s := in.server
	if m.Build != "" {
		in.build = m.Build
	}
	switch {
	case m.Hello != nil && m.Hello.Entry != "":
		in.session = s.addSession(in.conn)
		s.input <- &SessionBegan{Session: in.session, Hello: *m.Hello, Reads: in.peer.Reads(), Build: in.build}
	case m.Ping != nil && in.session != 0:
		s.input <- &SessionPinged{Session: in.session, Ping: *m.Ping}
	case m.Batch != nil && in.session != 0:
		s.input <- &SessionTold{Session: in.session, Batch: m.Batch}
	case m.Want != nil && in.session != 0:
		s.input <- &SessionWanted{Session: in.session, Want: m.Want}
	case m.Consensus != nil && m.Consensus.Valid():
		in.knowBox(m.Consensus.From.Box())
		s.logInput <- &Received{Message: *m.Consensus}
	case m.Heard != nil:
		s.input <- &EndpointsHeard{IDs: m.Heard.Endpoints}
	case m.Join != nil:
		in.knowBox(m.Join.ID.Box())
		s.input <- &JoinAsked{Member: *m.Join}
		s.peers.tellMembers(string(m.Join.ID.Box()))
	case m.Redirect != nil:
		s.peers.learn(m.Redirect)
	}
}

// knowBox tells the loop which control box made the connection and what it reads, before anything
// that the box says of the log.
func (in *incoming) knowBox(box event.BoxID) {
	if reads := in.peer.Reads(); in.box != box || in.told != reads {
		in.box, in.told = box, reads
		in.server.logInput <- &PeerTold{Box: box, Link: in.number, Reads: reads, Build: in.build}
	}
}
