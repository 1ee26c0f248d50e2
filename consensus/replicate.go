// SPDX-License-Identifier: MIT

package consensus

import (
	"lynxramp.org/event"
)

// trackMembers keeps a progress for each other member.
func (n *Node) trackMembers() {
	for _, list := range [...][]Member{n.members.Voters, n.members.Learners} {
		for _, m := range list {
			if m.ID != n.id && n.progress[m.ID] == nil {
				n.progress[m.ID] = &progress{next: n.log.last() + 1}
				n.setForms(m.ID)
			}
		}
	}
	for id := range n.progress {
		if !n.members.Has(id) {
			delete(n.progress, id)
		}
	}
}

// Forms says how a box takes what this member sends it. The zero value is that of boxes that read
// what this build writes.
type Forms struct {
	// Whole: it takes a snapshot in one message and numbers no messages.
	Whole bool
	// Ignored: it does not read what the log has, and is sent nothing.
	Ignored bool
	// Held: it is not known any more what it reads. It is sent heartbeats alone, whose answers come
	// with that.
	Held bool
}

// SetForms takes note of how a box takes what it is sent.
func (n *Node) SetForms(box event.BoxID, f Forms) {
	if n.forms == nil {
		n.forms = make(map[event.BoxID]Forms)
	}
	n.forms[box] = f
	n.setFormsOf(box)
}

// ForgetForms undoes SetForms: the box takes what it is sent as usual boxes do.
func (n *Node) ForgetForms(box event.BoxID) {
	delete(n.forms, box)
	n.setFormsOf(box)
}

func (n *Node) setFormsOf(box event.BoxID) {
	for id := range n.progress {
		if id.Box() == box {
			n.setForms(id)
		}
	}
}

// SetUsualForms takes note of how boxes take what they are sent of which SetForms says nothing.
func (n *Node) SetUsualForms(f Forms) { n.usualForms = f }

func (n *Node) setForms(id ID) {
	f, ok := n.forms[id.Box()]
	if !ok {
		f = n.usualForms
	}
	p := n.progress[id]
	p.isWhole, p.isIgnored, p.isHeld = f.Whole, f.Ignored, f.Held
}

func (n *Node) tickLeader(now event.Time, out *Ready) {
	n.checkQuorum(now)
	if n.role != leader {
		return
	}
	n.tryTransfer(now, out)
	if n.role != leader {
		return
	}
	n.sendAll(now, out)
	n.changeMembers(now, out)
}

// sendAll sends each member what it lacks, or a heartbeat when it is due. Voters come before
// learners, as commits rest on them; among themselves they take turns.
func (n *Node) sendAll(now event.Time, out *Ready) {
	n.turn++
	for _, list := range [...][]Member{n.members.Voters, n.members.Learners} {
		for i := range list {
			if m := list[(n.turn+i)%len(list)]; m.ID != n.id {
				n.send(now, m.ID, out)
			}
		}
	}
}

// hasRoom reports whether what is on its way to other members leaves room for a message. Each of
// many members takes its part of the leader's link: heartbeats would wait for all of them.
// What members were sent that are silent by now is not on the link any more.
func (n *Node) hasRoom(now event.Time, p *progress) bool {
	flying := 0
	for _, other := range n.progress {
		if other != p && other.isInFlight() && now.Sub(other.answered) < silentAfter {
			flying += other.flying
		}
	}
	return flying == 0 || flying+n.bounds.message <= n.bounds.flying
}

// send sends a member the next part of what it lacks, or a heartbeat when it is due.
func (n *Node) send(now event.Time, to ID, out *Ready) {
	p := n.progress[to]
	if p.isIgnored {
		return
	}
	m := Message{From: n.id, To: to, Term: n.hard.Term, SentAt: now, Commit: n.commit}
	bulk := n.fill(now, p, &m)
	if !bulk && p.sent != 0 && now.Sub(p.sent) < HeartbeatEvery {
		return
	}
	p.seq++
	m.Seq = p.seq
	if p.isWhole {
		m.Token = p.seq
	}
	if bulk {
		p.bulk = p.seq
		p.flying = m.bytes()
	}
	p.sent = now
	out.Early = append(out.Early, m)
}

// fill makes m the next message of a member. It reports whether it brings anything, or asks from
// where on the member's log is another; if not, it is a heartbeat, which asks whether all that
// was sent has come.
func (n *Node) fill(now event.Time, p *progress, m *Message) bool {
	before, ok := n.log.term(p.next - 1)
	if !ok && p.snapshot == nil {
		p.begin(n.snapshot)
	}
	switch {
	case p.snapshot != nil && (!p.heard || p.isHeld):
		m.Kind = KindAppend // until it is known how the member takes snapshots
		return false
	case p.snapshot != nil && p.isWhole:
		return p.fillWhole(m)
	case p.snapshot != nil:
		return p.fillPiece(m, n.bounds.message, n.hasRoom(now, p))
	}
	m.Kind = KindAppend
	m.Index, m.LogTerm = p.next-1, before
	if p.isHeld || p.isInFlight() || n.unsaved(p) >= n.bounds.unsaved {
		return false
	}
	if p.probing {
		return true // the question alone
	}
	if p.next > n.log.last() || !n.hasRoom(now, p) {
		return false
	}
	m.Entries = n.log.part(p.next, maxEntries, n.bounds.message)
	p.next += Index(len(m.Entries))
	return true
}

// unsaved returns the bytes that a member was sent and has not told to be on its disk.
func (n *Node) unsaved(p *progress) int {
	return bytesOf(n.log.from(p.match+1, int(p.next-p.match-1)))
}

// append takes a leader's entries.
func (n *Node) append(m Message, out *Ready) {
	if m.Index < n.log.base {
		// What lies before the snapshot is committed and so the same.
		skip := min(int(n.log.base-m.Index), len(m.Entries))
		m.Entries = m.Entries[skip:]
		m.Index, m.LogTerm = n.log.base, n.log.baseTerm
	}
	if t, ok := n.log.term(m.Index); !ok || t != m.LogTerm {
		n.receipt(m, Message{Index: n.beforeConflict(m.Index)}, out)
		return
	}
	last := m.Index + Index(len(m.Entries))
	for i, e := range m.Entries {
		t, ok := n.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		n.replace(m.Entries[i:], out)
		break
	}
	n.commit = max(n.commit, min(m.Commit, last))
	n.agree(last)
	n.acknowledge(m, last, 0, len(m.Entries) > 0, out)
}

// beforeConflict returns where the log may be the leader's, which is not at index i. All entries of
// the term at i are passed over: one question a term, not one an entry.
func (n *Node) beforeConflict(i Index) Index {
	if i > n.log.last() {
		return n.log.last()
	}
	term, _ := n.log.term(i)
	for i > n.log.base && i > n.commit {
		if t, ok := n.log.term(i); !ok || t != term {
			break
		}
		i--
	}
	return i
}

// agree takes note that the log is the leader's up to an entry.
func (n *Node) agree(last Index) {
	if n.agreedTerm != n.hard.Term {
		n.agreed, n.agreedTerm = 0, n.hard.Term
	}
	n.agreed = max(n.agreed, last, n.commit)
}

// acknowledge answers a message that agrees with the log up to an entry. The receipt says what
// is on disk by now and does not wait for the disk, so that a slow one costs no lease and the
// leader sends on. What the message brought is acknowledged by itself once it is saved.
func (n *Node) acknowledge(m Message, last Index, offset uint64, brings bool, out *Ready) {
	if !m.takesOneReply() {
		n.receipt(m, Message{Granted: true, Index: min(n.saved, n.agreed), Offset: offset}, out)
	}
	if brings || m.takesOneReply() {
		n.reply(m, Message{Granted: true, Index: last, Offset: offset}, out)
	}
}

// receipt answers a message that has nothing to be saved, or does not wait for that. The one
// reply that a carrier with tokens takes goes the usual way.
func (n *Node) receipt(m, with Message, out *Ready) {
	if m.takesOneReply() {
		n.reply(m, with, out)
		return
	}
	out.Early = append(out.Early, n.makeReply(m, with))
}

// replace puts entries in place of all from the first one's index on.
func (n *Node) replace(entries []Entry, out *Ready) {
	first := entries[0].Index
	cut := first <= n.log.last()
	n.log.cut(first)
	n.log.entries = append(n.log.entries, entries...)
	n.saved = min(n.saved, first-1)
	out.Entries = append(out.Entries, entries...)
	if _, ok := membersIn(entries); ok || (cut && first <= n.membersAt) {
		n.loadMembers()
	}
}

// appended takes the reply to an append or to a snapshot's piece.
func (n *Node) appended(now event.Time, m Message, out *Ready) {
	p := n.progress[m.From]
	if p == nil {
		return
	}
	p.heard = true
	p.answered = max(p.answered, m.SentAt)
	p.seen = max(p.seen, m.number())
	// A connection keeps the order: a reply to the last part, or to a heartbeat after it, says
	// what came of all parts. An earlier one does not.
	isNews := m.number() >= p.bulk
	switch {
	case m.Kind == KindSnapshotReply && p.snapshot != nil && p.sum == m.Sum && isNews:
		p.place(m.Offset, n.snapshot)
	case m.Kind == KindAppendReply && isNews:
		p.probing = !m.Granted
		if p.probing {
			p.next = max(p.match+1, min(p.next-1, m.Index+1))
		}
	}
	if m.Granted {
		p.match = max(p.match, m.Index)
		p.next = max(p.next, p.match+1)
	}
	if p.snapshot != nil && p.match >= p.snapshot.Index {
		p.snapshot = nil
		p.next = p.match + 1
	}
	n.advance(now, out)
	n.tryTransfer(now, out)
	if n.role == leader {
		n.sendAll(now, out)
	}
}

// advance commits what a quorum has saved.
func (n *Node) advance(now event.Time, out *Ready) {
	matches := make([]Index, 0, len(n.members.Voters))
	for _, m := range n.members.Voters {
		switch p := n.progress[m.ID]; {
		case m.ID == n.id:
			matches = append(matches, n.saved)
		case p != nil:
			matches = append(matches, p.match)
		default:
			matches = append(matches, 0)
		}
	}
	q := quorumOf(matches)
	if t, ok := n.log.term(q); ok && t == n.hard.Term && q > n.commit {
		n.commit = q
		n.stepDownIfRemoved(now)
	}
}

// stepDownIfRemoved ends the leadership of a member that is no voter any more.
func (n *Node) stepDownIfRemoved(now event.Time) {
	if n.commit >= n.membersAt && !n.members.isVoter(n.id) {
		n.follow(now, n.hard.Term, "")
	}
}
