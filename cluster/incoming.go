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

// inboundConn is a connection that another control box or an entry made to this one.
type inboundConn struct {
	server  *Server
	conn    *link.Conn[message.Envelope]
	peer    message.Peer
	id  uint64
	session SessionID   // of an entry; 0 for a control box
	box     event.BoxID // a control box, once it is known which
	reportedVersion    level.Level // what the loop was last told that the control box reads
	build   string
}

// serve serves one connection until it ends.
func (s *Server) serve(c *link.Conn[message.Envelope]) {
	in := &inboundConn{server: s, conn: c, id: s.lastConnection.Add(1)}
	c.SetForms(in.peer.Answering())
	err := c.Serve(in.receive)
	if errors.Is(err, link.ErrTooLong) || errors.Is(err, link.ErrBehind) {
		// Other ends are seen by the other side too, which connects again.
		s.log.Warn("link given up", zap.String("peer", c.Remote()), logx.Err(err))
	}
	if in.session != 0 {
		s.removeSession(in.session)
		s.events <- &SessionClosed{Session: in.session}
	}
	if in.box != "" {
		s.logEvents <- &PeerDisconnected{Box: in.box, Connection: in.id} // after its PeerTold, by the same queue
	}
}

// receive takes one message.
func (in *inboundConn) receive(m *message.Envelope) {
	s := in.server
	if m.Build != "" {
		in.build = m.Build
	}
	switch {
	case m.Hello != nil && m.Hello.Entry != "":
		in.session = s.addSession(in.conn)
		s.events <- &SessionOpened{Session: in.session, Hello: *m.Hello, FormatVersion: in.peer.Reads(), Build: in.build}
	case m.Ping != nil && in.session != 0:
		s.events <- &PingReceived{Session: in.session, Ping: *m.Ping}
	case m.Batch != nil && in.session != 0:
		s.events <- &BatchReceived{Session: in.session, Batch: m.Batch}
	case m.Want != nil && in.session != 0:
		s.events <- &NodesRequested{Session: in.session, Request: m.Want}
	case m.Consensus != nil && m.Consensus.Valid():
		in.reportPeer(m.Consensus.From.Box())
		s.logEvents <- &MessageReceived{Message: *m.Consensus}
	case m.Heard != nil:
		s.events <- &HeartbeatsForwarded{IDs: m.Heard.Endpoints}
	case m.Join != nil:
		in.reportPeer(m.Join.ID.Box())
		s.events <- &JoinRequested{Member: *m.Join}
		s.peers.sendMembers(string(m.Join.ID.Box()))
	case m.Redirect != nil:
		s.peers.addMembers(m.Redirect)
	}
}

// reportPeer tells the loop which control box made the connection and what it reads, before anything
// that the box says of the log.
func (in *inboundConn) reportPeer(box event.BoxID) {
	if reads := in.peer.Reads(); in.box != box || in.reportedVersion != reads {
		in.box, in.reportedVersion = box, reads
		in.server.logEvents <- &PeerConnected{Box: box, Connection: in.id, FormatVersion: reads, Build: in.build}
	}
}
