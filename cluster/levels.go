// SPDX-License-Identifier: MIT

package cluster

import (
	"maps"
	"slices"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/level"
)

// This file tracks the format versions of other boxes, chooses the format that an owner writes, and raises
// the group's format version. See package level.

// peerBox is another control box.
type peerBox struct {
	formatVersion level.Level
	build         string
	// connections are the open connections from it to this box.
	connections map[uint64]bool
	// connectOrder is larger the later the box last connected after having no connection.
	connectOrder uint64
}

// formatVersions tracks the format versions of this box and of the other control boxes.
type formatVersions struct {
	// own is the format version that this box supports.
	own      level.Level
	peers    map[event.BoxID]*peerBox
	connects uint64 // number of times that a box connected after having no connection; source of connectOrder
	// raiseIndex is the index of the last command that raises the group's version, 0 for none;
	// blockedBy is the last logged reason why it can't be raised.
	raiseIndex consensus.Index
	blockedBy  string
}

func newFormatVersions(own level.Level) formatVersions {
	if own == 0 {
		own = level.Newest
	}
	return formatVersions{own: own, peers: make(map[event.BoxID]*peerBox)}
}

// peerConnected records a peer's format version at the beginning of a connection.
func (s *State) peerConnected(e *PeerConnected, out *Effects) {
	p, ok := s.formats.peers[e.Box]
	if !ok {
		if !s.admitPeer(e.Box) {
			out.logInfo("too many control boxes connected; ignoring one", Field{"peer", string(e.Box)}, Field{"most", maxPeers})
			return
		}
		p = &peerBox{connections: make(map[uint64]bool)}
		s.formats.peers[e.Box] = p
	}
	isReconnected := len(p.connections) == 0
	if isReconnected {
		s.formats.connects++
		p.connectOrder = s.formats.connects
	}
	p.connections[e.Connection] = true
	if !isReconnected && p.formatVersion == e.FormatVersion && p.build == e.Build {
		return
	}
	p.formatVersion, p.build = e.FormatVersion, e.Build
	out.logInfo("format version of a control box", Field{"peer", string(e.Box)}, Field{"level", uint8(e.FormatVersion)}, Field{"build", e.Build})
	s.setPeerEncoding(e.Box, p, out)
	if s.owner != nil {
		s.owner.useFormatVersion(s)
	}
}

// admitPeer reports whether another control box may be tracked. Peers choose their own names, so the number
// of names is bounded. At the bound it evicts a disconnected box that is no member; a member is always tracked.
func (s *State) admitPeer(box event.BoxID) bool {
	if len(s.formats.peers) < maxPeers {
		return true
	}
	isMember := func(id event.BoxID) bool {
		return slices.ContainsFunc(s.allMembers(), func(m consensus.Member) bool { return m.ID.Box() == id })
	}
	for _, name := range slices.Sorted(maps.Keys(s.formats.peers)) {
		if len(s.formats.peers[name].connections) == 0 && !isMember(name) {
			delete(s.formats.peers, name)
			s.node.ClearPeerMode(name)
			return true
		}
	}
	return isMember(box)
}

// peerDisconnected records that a connection of a peer was closed. After its last connection the peer may return
// with another build: it is sent no log entries until it reports its format version again.
func (s *State) peerDisconnected(e *PeerDisconnected, out *Effects) {
	p, ok := s.formats.peers[e.Box]
	if !ok {
		return
	}
	delete(p.connections, e.Connection)
	s.setPeerEncoding(e.Box, p, out)
}

// setPeerEncoding selects the encoding of consensus messages to a box. A box that does not support the group's format
// version is sent nothing: it would skip commands and its state would diverge.
func (s *State) setPeerEncoding(box event.BoxID, p *peerBox, out *Effects) {
	disconnected, excluded := len(p.connections) == 0, s.isBelowGroup(p.formatVersion)
	if excluded && !disconnected {
		out.logInfo("control box does not support the group's format version; sending it nothing", Field{"peer", string(box)},
			Field{"level", uint8(p.formatVersion)}, Field{"group_level", uint8(s.machine.formatVersion)}, Field{"build", p.build})
	}
	s.node.SetPeerMode(box, consensus.PeerMode{WholeSnapshots: p.formatVersion < level.Chunked, Excluded: excluded && !disconnected, HeartbeatsOnly: disconnected})
}

// isBelowGroup reports whether a box does not support the group's format version. It is false while the
// log has only formats of builds without format versions.
func (s *State) isBelowGroup(formatVersion level.Level) bool {
	return formatVersion > 0 && s.machine.formatVersion >= level.Negotiated && formatVersion < s.machine.formatVersion
}

// canJoin reports whether a box that asks to join supports the group's format version.
func (s *State) canJoin(e *JoinRequested, out *Effects) bool {
	p, ok := s.formats.peers[e.Member.ID.Box()]
	if !ok || p.formatVersion >= s.machine.formatVersion {
		return true
	}
	out.logInfo("rejected a join: box does not support the group's format version", Field{"member", string(e.Member.ID)},
		Field{"level", uint8(p.formatVersion)}, Field{"group_level", uint8(s.machine.formatVersion)}, Field{"build", p.build})
	return false
}

// canServe reports whether a connecting entry supports the group's format version. An older entry would use ids of
// endpoints that the group does not know: it gets no reply, so that it serves nothing and keeps retrying.
func (s *State) canServe(b *SessionOpened, out *Effects) bool {
	if s.machine.formatVersion < level.Negotiated || !level.Affects(level.Entries, b.FormatVersion, s.machine.formatVersion) {
		return true
	}
	out.logInfo("entry does not support the group's format version; sending it nothing", Field{"entry", string(b.Hello.Entry)},
		Field{"level", uint8(b.FormatVersion)}, Field{"group_level", uint8(s.machine.formatVersion)}, Field{"build", b.Build})
	return false
}

// writeVersion returns the format version that an owner writes to the log. It is 0 while the version of some
// member is known neither from a connection nor from the log.
func (s *State) writeVersion() level.Level {
	if s.machine.formatVersion >= level.Negotiated {
		return s.machine.formatVersion
	}
	least, all := s.minMemberVersion()
	if !all {
		return min(least, s.machine.formatVersion)
	}
	return least
}

// minMemberVersion returns the lowest known format version of the members, and whether all are known.
func (s *State) minMemberVersion() (least level.Level, all bool) {
	least, all = s.formats.own, true
	for _, m := range s.allMembers() {
		if m.ID == s.node.ID() {
			continue
		}
		p, ok := s.formats.peers[m.ID.Box()]
		if !ok {
			all = false
			continue
		}
		least = min(least, p.formatVersion)
	}
	return least, all
}

// raiseFormatVersion raises the group's format version once all members are connected and support a newer one,
// and all entries too if the change concerns them.
func (o *owner) raiseFormatVersion(now event.Time, s *State, out *Effects) {
	if s.formats.raiseIndex > s.node.Applied() || !s.owns(now) {
		return
	}
	next, by := s.nextFormatVersion(now)
	if by != s.formats.blockedBy {
		s.formats.blockedBy = by
		out.logInfo("blocker of the group's next format version changed", Field{"level", uint8(s.machine.formatVersion)}, Field{"own", uint8(s.formats.own)}, Field{"by", by})
	}
	if next <= s.machine.formatVersion || next < level.Negotiated {
		return
	}
	index, err := s.node.Propose(now, encodeFormatVersion(next), &out.Ready)
	if err != nil {
		return // no longer the leader; the next owner retries
	}
	s.formats.raiseIndex = index
	out.logInfo("raising the group's format version", Field{"from", uint8(s.machine.formatVersion)}, Field{"to", uint8(next)})
}

// nextFormatVersion returns the format version that the group may have, and what prevents that of this box; empty
// if nothing does.
func (s *State) nextFormatVersion(now event.Time) (next level.Level, blockedBy string) {
	next = s.formats.own
	limit := func(who string, formatVersion level.Level) {
		if formatVersion < next {
			next, blockedBy = formatVersion, who
		}
	}
	for _, m := range s.allMembers() {
		if m.ID == s.node.ID() {
			continue
		}
		p, ok := s.formats.peers[m.ID.Box()]
		if !ok || len(p.connections) == 0 {
			limit("member "+string(m.ID)+", which is not connected", s.machine.formatVersion)
			continue
		}
		limit("member "+string(m.ID)+" of build "+p.build, p.formatVersion)
	}
	if !level.Affects(level.Entries, s.machine.formatVersion, next) {
		return next, blockedBy
	}
	// Disconnected entries count, too: they could not return to a group whose format they don't support.
	o := s.owner
	for _, name := range slices.Sorted(maps.Keys(o.entries)) {
		limit("entry "+string(name)+" of build "+o.entries[name].build, o.entries[name].formatVersion)
	}
	if now.Sub(o.startedAt) <= o.entryRetention {
		limit("entries that may not have been heard yet", s.machine.formatVersion)
	}
	return next, blockedBy
}

// formatVersionRaised applies a new format version of the group.
func (s *State) formatVersionRaised(now event.Time, out *Effects) {
	out.logInfo("format version of the group changed", Field{"level", uint8(s.machine.formatVersion)})
	for _, box := range slices.Sorted(maps.Keys(s.formats.peers)) {
		s.setPeerEncoding(box, s.formats.peers[box], out)
	}
	if s.owner != nil {
		clear(s.owner.packed) // packed in the previous format
		s.owner.useFormatVersion(s)
		s.owner.startRollouts(now, s)
		s.owner.startVersions(now, s)
	}
}

// useFormatVersion selects a format of budget and poison records that all members support.
func (o *owner) useFormatVersion(s *State) {
	version := s.writeVersion()
	o.budgets.SetWholeRecords(version < level.Chunked)
	if isLogged := version >= level.Suspects; isLogged != o.poisonLogged {
		o.poisonLogged = isLogged
		if isLogged {
			o.poison.MarkAllDirty()
		}
	}
}

// transferRank ranks the members for a leadership transfer: the one that reconnected last is first. In a
// rolling restart that one was restarted already, so that leadership moves once.
func (s *State) transferRank(id consensus.ID) int {
	if p, ok := s.formats.peers[id.Box()]; ok && len(p.connections) > 0 {
		return int(p.connectOrder)
	}
	return 0
}

// checkReadable returns an error if this box can't read a command of the log.
func (s *State) checkReadable(command []byte) error { return checkReadable(command, s.formats.own) }

// restore replaces the state by that of a snapshot.
func (s *State) restore(data []byte) error { return s.machine.restore(data, s.formats.own) }

// bootstrapState returns the state of a new group, whose boxes all have this build.
func bootstrapState() []byte {
	m := stateMachine{formatVersion: level.Newest}
	return m.snapshot()
}
