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
	reads level.Level
	build string
	// links are the connections that it has to this box.
	links map[uint64]bool
	// since orders the boxes by when their present processes were first heard: the larger the later.
	since uint64
}

// levels is what a box knows of the levels of others.
type levels struct {
	// own is what this box reads.
	own   level.Level
	peers map[event.BoxID]*peerBox
	told  uint64 // counts peers as they came
	// raising is the index of the command that raises the level, 0 for none, and heldBy what
	// was last said to hold it back.
	raising consensus.Index
	heldBy  string
}

func newLevels(own level.Level) levels {
	if own == 0 {
		own = level.Newest
	}
	return levels{own: own, peers: make(map[event.BoxID]*peerBox)}
}

// hearPeer takes what another control box says of itself at the beginning of a connection.
func (s *State) hearPeer(e *PeerTold, out *Effects) {
	p, ok := s.levels.peers[e.Box]
	if !ok {
		if !s.makeRoomFor(e.Box) {
			out.note("too many control boxes are connected: one is not remembered", Field{"peer", string(e.Box)}, Field{"most", maxPeers})
			return
		}
		p = &peerBox{links: make(map[uint64]bool)}
		s.levels.peers[e.Box] = p
	}
	isBack := len(p.links) == 0
	if isBack {
		s.levels.told++
		p.since = s.levels.told
	}
	p.links[e.Link] = true
	if !isBack && p.reads == e.Reads && p.build == e.Build {
		return
	}
	p.reads, p.build = e.Reads, e.Build
	out.note("level of a control box", Field{"peer", string(e.Box)}, Field{"level", uint8(e.Reads)}, Field{"build", e.Build})
	s.setForms(e.Box, p, out)
	if s.owner != nil {
		s.owner.useForms(s)
	}
}

// makeRoomFor reports whether another control box may be remembered: its name is what it says of itself, so
// that the names must be bounded. Boxes that are gone make room, and members always have it.
func (s *State) makeRoomFor(box event.BoxID) bool {
	if len(s.levels.peers) < maxPeers {
		return true
	}
	isMember := func(id event.BoxID) bool {
		return slices.ContainsFunc(s.allMembers(), func(m consensus.Member) bool { return m.ID.Box() == id })
	}
	for _, name := range slices.Sorted(maps.Keys(s.levels.peers)) {
		if len(s.levels.peers[name].links) == 0 && !isMember(name) {
			delete(s.levels.peers, name)
			s.node.ForgetForms(name)
			return true
		}
	}
	return isMember(box)
}

// losePeer takes note that a connection of another control box has ended. If it was the last one, the
// box may come back with another build: no entries of the log go to it until it has said what it reads.
func (s *State) losePeer(e *PeerLost, out *Effects) {
	p, ok := s.levels.peers[e.Box]
	if !ok {
		return
	}
	delete(p.links, e.Link)
	s.setForms(e.Box, p, out)
}

// setForms has the log's messages go to a box in forms that it reads. One that does not read what
// the log has is sent nothing: it would pass commands over, and differ from the others from then on.
func (s *State) setForms(box event.BoxID, p *peerBox, out *Effects) {
	held, ignored := len(p.links) == 0, s.isBelowGroup(p.reads)
	if ignored && !held {
		out.note("a control box does not read what the group writes: it is sent nothing", Field{"peer", string(box)},
			Field{"level", uint8(p.reads)}, Field{"group_level", uint8(s.machine.level)}, Field{"build", p.build})
	}
	s.node.SetForms(box, consensus.Forms{Whole: p.reads < level.Parts, Ignored: ignored && !held, Held: held})
}

// isBelowGroup reports whether a box reads less than the group's level, which the log tells from
// level.Told on.
func (s *State) isBelowGroup(reads level.Level) bool {
	return reads > 0 && s.machine.level >= level.Told && reads < s.machine.level
}

// mayJoin reports whether a box that asks to be a member reads what the log has.
func (s *State) mayJoin(e *JoinAsked, out *Effects) bool {
	p, ok := s.levels.peers[e.Member.ID.Box()]
	if !ok || p.reads >= s.machine.level {
		return true
	}
	out.note("a box that does not read what the group writes asks to join", Field{"member", string(e.Member.ID)},
		Field{"level", uint8(p.reads)}, Field{"group_level", uint8(s.machine.level)}, Field{"build", p.build})
	return false
}

// mayServe reports whether an entry that connects reads what the group writes. One of an earlier build, after
// the group's level was raised, would name endpoints by ids that they don't know: it gets no answer, so that
// it asks again twice a second, and serves nothing.
func (s *State) mayServe(b *SessionBegan, out *Effects) bool {
	if s.machine.level < level.Told || !level.ReadBy(level.Entries, b.Reads, s.machine.level) {
		return true
	}
	out.note("an entry does not read what the group writes: it is sent nothing", Field{"entry", string(b.Hello.Entry)},
		Field{"level", uint8(b.Reads)}, Field{"group_level", uint8(s.machine.level)}, Field{"build", b.Build})
	return false
}

// writes returns the level of the forms that an owner puts into the log; 0 while it is not known what
// a member reads of which neither a connection nor the log tells.
func (s *State) writes() level.Level {
	if s.machine.level >= level.Told {
		return s.machine.level
	}
	least, all := s.readByMembers()
	if !all {
		return min(least, s.machine.level)
	}
	return least
}

// readByMembers returns what all members read that are known, and whether all are known.
func (s *State) readByMembers() (least level.Level, all bool) {
	least, all = s.levels.own, true
	for _, m := range s.allMembers() {
		if m.ID == s.node.ID() {
			continue
		}
		p, ok := s.levels.peers[m.ID.Box()]
		if !ok {
			all = false
			continue
		}
		least = min(least, p.reads)
	}
	return least, all
}

// raiseLevel raises the group's level once all members that are connected read more, and entries
// where the forms concern them.
func (o *owner) raiseLevel(now event.Time, s *State, out *Effects) {
	if s.levels.raising > s.node.Applied() || !s.owns(now) {
		return
	}
	next, by := s.nextLevel(now)
	if by != s.levels.heldBy {
		s.levels.heldBy = by
		out.note("the group's level is held back", Field{"level", uint8(s.machine.level)}, Field{"own", uint8(s.levels.own)}, Field{"by", by})
	}
	if next <= s.machine.level || next < level.Told {
		return
	}
	index, err := s.node.Propose(now, encodeLevel(next), &out.Ready)
	if err != nil {
		return // it does not lead any more; the next owner sees to it
	}
	s.levels.raising = index
	out.note("raises the group's level", Field{"from", uint8(s.machine.level)}, Field{"to", uint8(next)})
}

// nextLevel returns the level that the group may have, and who holds it below this box's; empty if
// nobody does.
func (s *State) nextLevel(now event.Time) (next level.Level, heldBy string) {
	next = s.levels.own
	hold := func(who string, reads level.Level) {
		if reads < next {
			next, heldBy = reads, who
		}
	}
	for _, m := range s.allMembers() {
		if m.ID == s.node.ID() {
			continue
		}
		p, ok := s.levels.peers[m.ID.Box()]
		if !ok || len(p.links) == 0 {
			hold("member "+string(m.ID)+", which is not connected", s.machine.level)
			continue
		}
		hold("member "+string(m.ID)+" of build "+p.build, p.reads)
	}
	if !level.ReadBy(level.Entries, s.machine.level, next) {
		return next, heldBy
	}
	// Entries that are away for a moment count, too: they would come back to a group that they can't read.
	o := s.owner
	for _, name := range slices.Sorted(maps.Keys(o.entries)) {
		hold("entry "+string(name)+" of build "+o.entries[name].build, o.entries[name].reads)
	}
	if now.Sub(o.began) <= o.keepTime {
		hold("entries that may not have been heard yet", s.machine.level)
	}
	return next, heldBy
}

// levelRaised takes note that the log has another level.
func (s *State) levelRaised(out *Effects) {
	out.note("level of the group", Field{"level", uint8(s.machine.level)})
	for _, box := range slices.Sorted(maps.Keys(s.levels.peers)) {
		s.setForms(box, s.levels.peers[box], out)
	}
	if s.owner != nil {
		clear(s.owner.packed) // in the form of the level before
		s.owner.useForms(s)
	}
}

// useForms has the owner's books make records that all members read.
func (o *owner) useForms(s *State) {
	writes := s.writes()
	o.book.RecordWhole(writes < level.Parts)
	if isLogged := writes >= level.Suspects; isLogged != o.poisonLogged {
		o.poisonLogged = isLogged
		if isLogged {
			o.poison.TellAll()
		}
	}
}

// handOverTo ranks members for the end of this box: the one whose process is the youngest comes
// first. While boxes are replaced one after the other it was replaced already, so that the lead does
// not move on with the next one.
func (s *State) handOverTo(id consensus.ID) int {
	if p, ok := s.levels.peers[id.Box()]; ok && len(p.links) > 0 {
		return int(p.since)
	}
	return 0
}

// readable reports whether this box reads a command of the log.
func (s *State) readable(command []byte) error { return readable(command, s.levels.own) }

// restore makes the machine what a snapshot says.
func (s *State) restore(data []byte) error { return s.machine.restore(data, s.levels.own) }

// foundingState returns the state of a group that is founded now: all its boxes are of this build.
func foundingState() []byte {
	m := machine{level: level.Newest}
	return m.snapshot()
}
