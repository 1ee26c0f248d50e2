// SPDX-License-Identifier: MIT

package cluster

import (
	"maps"
	"slices"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/level"
)

// This file is a control box's part in package level: what other boxes read, which forms an owner
// writes, and when the group's level is raised.

// peerBox is what is known of another control box.
type peerBox struct {
	formatVersion level.Level
	build string
	// connections are the connections that it has to this box.
	connections map[uint64]bool
	// connectOrder orders the boxes by when their present processes were first heard: the larger the later.
	connectOrder uint64
}

// formatVersions is what a box knows of the formatVersions of others.
type formatVersions struct {
	// own is what this box reads.
	own   level.Level
	peers map[event.BoxID]*peerBox
	connects  uint64 // counts peers as they came
	// raiseIndex is the index of the command that raises the level, 0 for none, and heldBy what
	// was last said to hold it back.
	raiseIndex consensus.Index
	blockedBy  string
}

func newFormatVersions(own level.Level) formatVersions {
	if own == 0 {
		own = level.Newest
	}
	return formatVersions{own: own, peers: make(map[event.BoxID]*peerBox)}
}

// peerConnected takes what another control box says of itself at the beginning of a connection.
func (s *State) peerConnected(e *PeerConnected, out *Effects) {
	p, ok := s.formats.peers[e.Box]
	if !ok {
		if !s.makeRoomFor(e.Box) {
			out.logInfo("too many control boxes are connected: one is not remembered", Field{"peer", string(e.Box)}, Field{"most", maxPeers})
			return
		}
		p = &peerBox{connections: make(map[uint64]bool)}
		s.formats.peers[e.Box] = p
	}
	isBack := len(p.connections) == 0
	if isBack {
		s.formats.connects++
		p.connectOrder = s.formats.connects
	}
	p.connections[e.Connection] = true
	if !isBack && p.formatVersion == e.FormatVersion && p.build == e.Build {
		return
	}
	p.formatVersion, p.build = e.FormatVersion, e.Build
	out.logInfo("level of a control box", Field{"peer", string(e.Box)}, Field{"level", uint8(e.FormatVersion)}, Field{"build", e.Build})
	s.setPeerEncoding(e.Box, p, out)
	if s.owner != nil {
		s.owner.useFormatVersion(s)
	}
}

// makeRoomFor reports whether another control box may be remembered: its name is what it says of itself, so
// that the names must be bounded. Boxes that are gone make room, and members always have it.
func (s *State) makeRoomFor(box event.BoxID) bool {
	if len(s.formats.peers) < maxPeers {
		return true
	}
	isMember := func(id event.BoxID) bool {
		return slices.ContainsFunc(s.allMembers(), func(m consensus.Member) bool { return m.ID.Box() == id })
	}
	for _, name := range slices.Sorted(maps.Keys(s.formats.peers)) {
		if len(s.formats.peers[name].connections) == 0 && !isMember(name) {
			delete(s.formats.peers, name)
			s.node.ForgetForms(name)
			return true
		}
	}
	return isMember(box)
}

// peerDisconnected takes note that a connection of another control box has ended. If it was the last one, the
// box may come back with another build: no entries of the log go to it until it has said what it reads.
func (s *State) peerDisconnected(e *PeerDisconnected, out *Effects) {
	p, ok := s.formats.peers[e.Box]
	if !ok {
		return
	}
	delete(p.connections, e.Connection)
	s.setPeerEncoding(e.Box, p, out)
}

// setPeerEncoding has the log's messages go to a box in forms that it reads. One that does not read what
// the log has is sent nothing: it would pass commands over, and differ from the others from then on.
func (s *State) setPeerEncoding(box event.BoxID, p *peerBox, out *Effects) {
	held, ignored := len(p.connections) == 0, s.isBelowGroup(p.formatVersion)
	if ignored && !held {
		out.logInfo("a control box does not read what the group writes: it is sent nothing", Field{"peer", string(box)},
			Field{"level", uint8(p.formatVersion)}, Field{"group_level", uint8(s.machine.formatVersion)}, Field{"build", p.build})
	}
	s.node.SetForms(box, consensus.Forms{Whole: p.formatVersion < level.Parts, Ignored: ignored && !held, Held: held})
}

// isBelowGroup reports whether a box reads less than the group's level, which the log tells from
// level.Told on.
func (s *State) isBelowGroup(reads level.Level) bool {
	return reads > 0 && s.machine.formatVersion >= level.Told && reads < s.machine.formatVersion
}

// canJoin reports whether a box that asks to be a member reads what the log has.
func (s *State) canJoin(e *JoinRequested, out *Effects) bool {
	p, ok := s.formats.peers[e.Member.ID.Box()]
	if !ok || p.formatVersion >= s.machine.formatVersion {
		return true
	}
	out.logInfo("a box that does not read what the group writes asks to join", Field{"member", string(e.Member.ID)},
		Field{"level", uint8(p.formatVersion)}, Field{"group_level", uint8(s.machine.formatVersion)}, Field{"build", p.build})
	return false
}

// canServe reports whether an entry that connects reads what the group writes. One of an earlier build, after
// the group's level was raised, would name endpoints by ids that they don't know: it gets no answer, so that
// it asks again twice a second, and serves nothing.
func (s *State) canServe(b *SessionOpened, out *Effects) bool {
	if s.machine.formatVersion < level.Told || !level.ReadBy(level.Entries, b.FormatVersion, s.machine.formatVersion) {
		return true
	}
	out.logInfo("an entry does not read what the group writes: it is sent nothing", Field{"entry", string(b.Hello.Entry)},
		Field{"level", uint8(b.FormatVersion)}, Field{"group_level", uint8(s.machine.formatVersion)}, Field{"build", b.Build})
	return false
}

// writeVersion returns the level of the forms that an owner puts into the log; 0 while it is not known what
// a member reads of which neither a connection nor the log tells.
func (s *State) writeVersion() level.Level {
	if s.machine.formatVersion >= level.Told {
		return s.machine.formatVersion
	}
	least, all := s.minMemberVersion()
	if !all {
		return min(least, s.machine.formatVersion)
	}
	return least
}

// minMemberVersion returns what all members read that are known, and whether all are known.
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

// raiseFormatVersion raises the group's level once all members that are connected read more, and entries
// where the forms concern them.
func (o *owner) raiseFormatVersion(now event.Time, s *State, out *Effects) {
	if s.formats.raiseIndex > s.node.Applied() || !s.owns(now) {
		return
	}
	next, by := s.nextFormatVersion(now)
	if by != s.formats.blockedBy {
		s.formats.blockedBy = by
		out.logInfo("the group's level is held back", Field{"level", uint8(s.machine.formatVersion)}, Field{"own", uint8(s.formats.own)}, Field{"by", by})
	}
	if next <= s.machine.formatVersion || next < level.Told {
		return
	}
	index, err := s.node.Propose(now, encodeFormatVersion(next), &out.Ready)
	if err != nil {
		return // it does not lead any more; the next owner sees to it
	}
	s.formats.raiseIndex = index
	out.logInfo("raises the group's level", Field{"from", uint8(s.machine.formatVersion)}, Field{"to", uint8(next)})
}

// nextFormatVersion returns the level that the group may have, and who holds it below this box's; empty if
// nobody does.
func (s *State) nextFormatVersion(now event.Time) (next level.Level, heldBy string) {
	next = s.formats.own
	hold := func(who string, reads level.Level) {
		if reads < next {
			next, heldBy = reads, who
		}
	}
	for _, m := range s.allMembers() {
		if m.ID == s.node.ID() {
			continue
		}
		p, ok := s.formats.peers[m.ID.Box()]
		if !ok || len(p.connections) == 0 {
			hold("member "+string(m.ID)+", which is not connected", s.machine.formatVersion)
			continue
		}
		hold("member "+string(m.ID)+" of build "+p.build, p.formatVersion)
	}
	if !level.ReadBy(level.Entries, s.machine.formatVersion, next) {
		return next, heldBy
	}
	// Entries that are away for a moment count, too: they would come back to a group that they can't read.
	o := s.owner
	for _, name := range slices.Sorted(maps.Keys(o.entries)) {
		hold("entry "+string(name)+" of build "+o.entries[name].build, o.entries[name].formatVersion)
	}
	if now.Sub(o.startedAt) <= o.entryRetention {
		hold("entries that may not have been heard yet", s.machine.formatVersion)
	}
	return next, heldBy
}

// formatVersionRaised takes note that the log has another level.
func (s *State) formatVersionRaised(out *Effects) {
	out.logInfo("level of the group", Field{"level", uint8(s.machine.formatVersion)})
	for _, box := range slices.Sorted(maps.Keys(s.formats.peers)) {
		s.setPeerEncoding(box, s.formats.peers[box], out)
	}
	if s.owner != nil {
		clear(s.owner.packed) // in the form of the level before
		s.owner.useFormatVersion(s)
	}
}

// useFormatVersion has the owner's books make records that all members read.
func (o *owner) useFormatVersion(s *State) {
	writes := s.writeVersion()
	o.budgets.RecordWhole(writes < level.Parts)
	if isLogged := writes >= level.Suspects; isLogged != o.poisonLogged {
		o.poisonLogged = isLogged
		if isLogged {
			o.poison.TellAll()
		}
	}
}

// transferRank ranks members for the end of this box: the one whose process is the youngest comes
// first. While boxes are replaced one after the other it was replaced already, so that the lead does
// not move on with the next one.
func (s *State) transferRank(id consensus.ID) int {
	if p, ok := s.formats.peers[id.Box()]; ok && len(p.connections) > 0 {
		return int(p.connectOrder)
	}
	return 0
}

// checkReadable reports whether this box reads a command of the log.
func (s *State) checkReadable(command []byte) error { return checkReadable(command, s.formats.own) }

// restore makes the machine what a snapshot says.
func (s *State) restore(data []byte) error { return s.machine.restore(data, s.formats.own) }

// bootstrapState returns the state of a group that is founded now: all its boxes are of this build.
func bootstrapState() []byte {
	m := stateMachine{formatVersion: level.Newest}
	return m.snapshot()
}
