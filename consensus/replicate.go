// SPDX-License-Identifier: MIT

package consensus

import (
	"lynxramp.org/event"
)

// updateProgress adds a progress for each new other member and drops those of removed members.
func (n *Node) updateProgress() {
	for _, list := range [...][]Member{n.members.Voters, n.members.Learners} {
		for _, m := range list {
			if m.ID != n.id && n.progress[m.ID] == nil {
				n.progress[m.ID] = &progress{next: n.log.last() + 1}
				n.setProgressMode(m.ID)
			}
		}
	}
	for id := range n.progress {
		if !n.members.Has(id) {
			delete(n.progress, id)
		}
	}
}

// PeerMode restricts what a box is sent. The zero value is for boxes that read all that this build
// writes.
type PeerMode struct {
	// WholeSnapshots: it takes a snapshot in one message, and does not echo Seq.
	WholeSnapshots bool
	// Excluded: it cannot read the log's encoding, and is sent nothing.
	Excluded bool
	// HeartbeatsOnly: it is not known which encodings it reads. Its replies to heartbeats report
	// them.
	HeartbeatsOnly bool
}

// SetPeerMode sets the mode of a box.
func (n *Node) SetPeerMode(box event.BoxID, mode PeerMode) {
	if n.peerModes == nil {
		n.peerModes = make(map[event.BoxID]PeerMode)
	}
	n.peerModes[box] = mode
	n.applyPeerMode(box)
}

// ClearPeerMode resets a box to the default mode.
func (n *Node) ClearPeerMode(box event.BoxID) {
	delete(n.peerModes, box)
	n.applyPeerMode(box)
}

func (n *Node) applyPeerMode(box event.BoxID) {
	for id := range n.progress {
		if id.Box() == box {
			n.setProgressMode(id)
		}
	}
}

// SetDefaultPeerMode sets the mode of boxes without one of their own.
func (n *Node) SetDefaultPeerMode(mode PeerMode) { n.defaultMode = mode }

func (n *Node) setProgressMode(id ID) {
	mode, ok := n.peerModes[id.Box()]
	if !ok {
		mode = n.defaultMode
	}
	p := n.progress[id]
	p.takesWholeSnapshots, p.isExcluded, p.heartbeatsOnly = mode.WholeSnapshots, mode.Excluded, mode.HeartbeatsOnly
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
// learners, as commits depend on them; within each list the first one rotates.
func (n *Node) sendAll(now event.Time, out *Ready) {
	n.rotation++
	for _, list := range [...][]Member{n.members.Voters, n.members.Learners} {
		for i := range list {
			if m := list[(n.rotation+i)%len(list)]; m.ID != n.id {
				n.send(now, m.ID, out)
			}
		}
	}
}

// hasCapacity reports whether the limit of bytes in flight allows another message to p. All members
// share the leader's link, and heartbeats queue behind what is on it. Messages to unreachable
// members do not count.
func (n *Node) hasCapacity(now event.Time, p *progress) bool {
	inFlightBytes := 0
	for _, other := range n.progress {
		if other != p && other.isInFlight() && now.Sub(other.lastRepliedSentAt) < unreachableAfter {
			inFlightBytes += other.inFlightBytes
		}
	}
	return inFlightBytes == 0 || inFlightBytes+n.bounds.messageBytes <= n.bounds.inFlightBytes
}

// send sends a member the next part of what it lacks, or a heartbeat when it is due.
func (n *Node) send(now event.Time, to ID, out *Ready) {
	p := n.progress[to]
	if p.isExcluded {
		return
	}
	m := Message{From: n.id, To: to, Term: n.hard.Term, SentAt: now, Commit: n.commit}
	hasPayload := n.fillMessage(now, p, &m)
	if !hasPayload && p.lastSent != 0 && now.Sub(p.lastSent) < HeartbeatInterval {
		return
	}
	p.seq++
	m.Seq = p.seq
	if p.takesWholeSnapshots {
		m.Token = p.seq
	}
	if hasPayload {
		p.payloadSeq = p.seq
		p.inFlightBytes = m.payloadBytes()
	}
	p.lastSent = now
	out.Immediate = append(out.Immediate, m)
}

// fillMessage makes m the next message to a member. It reports whether m carries a payload or
// probes for the point where the logs diverge; otherwise m is a heartbeat, whose reply says whether
// all earlier payloads arrived.
func (n *Node) fillMessage(now event.Time, p *progress, m *Message) bool {
	before, ok := n.log.term(p.next - 1)
	if !ok && p.snapshot == nil {
		p.startSnapshot(n.snapshot)
	}
	switch {
	case p.snapshot != nil && (!p.hasReplied || p.heartbeatsOnly):
		m.Kind = KindAppend // until it is known how the member takes snapshots
		return false
	case p.snapshot != nil && p.takesWholeSnapshots:
		return p.fillWholeSnapshot(m)
	case p.snapshot != nil:
		return p.fillChunk(m, n.bounds.messageBytes, n.hasCapacity(now, p))
	}
	m.Kind = KindAppend
	m.Index, m.LogTerm = p.next-1, before
	if p.heartbeatsOnly || p.isInFlight() || n.unsavedBytes(p) >= n.bounds.unsavedBytes {
		return false
	}
	if p.probing {
		return true // a probe without entries
	}
	if p.next > n.log.last() || !n.hasCapacity(now, p) {
		return false
	}
	m.Entries = n.log.batch(p.next, maxEntries, n.bounds.messageBytes)
	p.next += Index(len(m.Entries))
	return true
}

// unsavedBytes returns the bytes of the entries that a member was sent and has not acknowledged as
// saved.
func (n *Node) unsavedBytes(p *progress) int {
	return bytesOf(n.log.entriesFrom(p.match+1, int(p.next-p.match-1)))
}

// append applies an append from the leader.
func (n *Node) append(m Message, out *Ready) {
	if m.Index < n.log.base {
		// Entries before the snapshot are committed and therefore equal.
		skip := min(int(n.log.base-m.Index), len(m.Entries))
		m.Entries = m.Entries[skip:]
		m.Index, m.LogTerm = n.log.base, n.log.baseTerm
	}
	if t, ok := n.log.term(m.Index); !ok || t != m.LogTerm {
		n.replyImmediately(m, Message{Index: n.conflictHint(m.Index)}, out)
		return
	}
	last := m.Index + Index(len(m.Entries))
	for i, e := range m.Entries {
		t, ok := n.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		n.truncateAndAppend(m.Entries[i:], out)
		break
	}
	n.commit = max(n.commit, min(m.Commit, last))
	n.recordMatch(last)
	n.acknowledge(m, last, 0, len(m.Entries) > 0, out)
}

// conflictHint returns the index from which the leader should probe when entry i does not match. It
// skips all entries of that term, so that a probe is needed per term, not per entry.
func (n *Node) conflictHint(i Index) Index {
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

// recordMatch records that the log matches the leader's up to an entry.
func (n *Node) recordMatch(last Index) {
	if n.matchedTerm != n.hard.Term {
		n.matched, n.matchedTerm = 0, n.hard.Term
	}
	n.matched = max(n.matched, last, n.commit)
}

// acknowledge replies to a message whose log matches up to last. The immediate reply says what is on
// disk now; it does not wait for the disk, so that a slow disk neither ends the lease nor stalls
// the leader. A payload is acknowledged by a second reply once it is saved.
func (n *Node) acknowledge(m Message, last Index, offset uint64, hasPayload bool, out *Ready) {
	if !m.expectsSingleReply() {
		n.replyImmediately(m, Message{Granted: true, Index: min(n.saved, n.matched), Offset: offset}, out)
	}
	if hasPayload || m.expectsSingleReply() {
		n.reply(m, Message{Granted: true, Index: last, Offset: offset}, out)
	}
}

// replyImmediately replies to a message without waiting for a save. If the sender takes only one
// reply, it is sent in the usual order.
func (n *Node) replyImmediately(m, with Message, out *Ready) {
	if m.expectsSingleReply() {
		n.reply(m, with, out)
		return
	}
	out.Immediate = append(out.Immediate, n.makeReply(m, with))
}

// truncateAndAppend replaces all entries from the first one's index on.
func (n *Node) truncateAndAppend(entries []Entry, out *Ready) {
	first := entries[0].Index
	truncate := first <= n.log.last()
	n.log.truncate(first)
	n.log.entries = append(n.log.entries, entries...)
	n.saved = min(n.saved, first-1)
	out.Entries = append(out.Entries, entries...)
	if _, ok := lastMembership(entries); ok || (truncate && first <= n.membersIndex) {
		n.loadMembers()
	}
}

// receiveAppendReply applies the reply to an append or to a snapshot chunk.
func (n *Node) receiveAppendReply(now event.Time, m Message, out *Ready) {
	p := n.progress[m.From]
	if p == nil {
		return
	}
	p.hasReplied = true
	p.lastRepliedSentAt = max(p.lastRepliedSentAt, m.SentAt)
	p.repliedSeq = max(p.repliedSeq, m.replyNumber())
	// Connections keep the order: a reply to the last payload or to a later heartbeat says what
	// became of all payloads. An earlier reply does not.
	isCurrent := m.replyNumber() >= p.payloadSeq
	switch {
	case m.Kind == KindSnapshotReply && p.snapshot != nil && p.sum == m.Sum && isCurrent:
		p.resumeSnapshot(m.Offset, n.snapshot)
	case m.Kind == KindAppendReply && isCurrent:
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
	n.advanceCommit(now, out)
	n.tryTransfer(now, out)
	if n.role == leader {
		n.sendAll(now, out)
	}
}

// advanceCommit commits what a quorum has saved.
func (n *Node) advanceCommit(now event.Time, out *Ready) {
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

// stepDownIfRemoved makes a leader step down once its removal as a voter is committed.
func (n *Node) stepDownIfRemoved(now event.Time) {
	if n.commit >= n.membersIndex && !n.members.isVoter(n.id) {
		n.becomeFollower(now, n.hard.Term, "")
	}
}
