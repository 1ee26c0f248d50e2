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

// inboundConn is a connection from another control box or an entry.
type inboundConn struct {
	server          *Server
	conn            *link.Conn[message.Envelope]
	peer            message.Peer
	id              uint64
	session         SessionID   // of an entry; 0 for a control box
	box             event.BoxID // of a control box; empty until known
	reportedVersion level.Level // format version that the loop was last sent
	build           string
}

// serve serves one connection until it ends.
func (s *Server) serve(c *link.Conn[message.Envelope]) {
	in := &inboundConn{server: s, conn: c, id: s.lastConnection.Add(1)}
	c.SetEncodings(in.peer.ServerEncodings())
	c.SetMemory(s.received)
	err := c.Serve(in.receive)
	if errors.Is(err, link.ErrTooLong) || errors.Is(err, link.ErrSlowPeer) || errors.Is(err, link.ErrNoMemory) {
		// On other errors the peer sees the loss too, and reconnects.
		s.log.Warn("closed a connection: message too long, peer too slow, or no memory", zap.String("peer", c.RemoteAddress()), logx.Err(err))
	}
	if in.session != 0 {
		s.removeSession(in.session)
		s.events <- &SessionClosed{Session: in.session}
	}
	if in.box != "" {
		s.logEvents <- &PeerDisconnected{Box: in.box, Connection: in.id} // after its PeerConnected, in the same queue
	}
}

// receive dispatches one message.
func (in *inboundConn) receive(m *message.Envelope) {
	s := in.server
	if m.Build != "" {
		in.build = m.Build
	}
	switch {
	case m.Hello != nil && m.Hello.Entry != "":
		in.session = s.addSession(in.conn)
		s.events <- &SessionOpened{Session: in.session, Hello: *m.Hello, FormatVersion: in.peer.FormatVersion(), Build: in.build}
	case m.Ping != nil && in.session != 0:
		s.events <- &PingReceived{Session: in.session, Ping: *m.Ping}
	case m.Batch != nil && in.session != 0:
		s.events <- &BatchReceived{Session: in.session, Batch: m.Batch}
	case m.Want != nil && in.session != 0:
		s.events <- &NodesRequested{Session: in.session, Want: m.Want}
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

// reportPeer sends the loop the box of the connection and its format version, before any
// consensus message of that box.
func (in *inboundConn) reportPeer(box event.BoxID) {
	if version := in.peer.FormatVersion(); in.box != box || in.reportedVersion != version {
		in.box, in.reportedVersion = box, version
		in.server.logEvents <- &PeerConnected{Box: box, Connection: in.id, FormatVersion: version, Build: in.build}
	}
}
