// SPDX-License-Identifier: MIT

package consensus

import (
	"hash/crc32"

	"lynxramp.org/event"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// progress is a leader's replication state of another member.
type progress struct {
	match Index // last entry known to match and be saved
	next  Index // first entry not sent yet
	// Sequence numbers: of the last message, of the last one with a payload (entries or a snapshot
	// chunk), and of the newest one that was replied to.
	seq, payloadSeq, repliedSeq uint64
	inFlightBytes               int        // payload bytes of message payloadSeq
	lastSent                    event.Time // time of the last message
	// lastRepliedSentAt is the send time of the newest message that was replied to.
	lastRepliedSentAt event.Time
	hasReplied        bool
	// probing is set while the point where the member's log diverges is unknown; no entries are
	// sent, as they might be rejected.
	probing bool
	// snapshot is being sent in chunks, with checksum sum, up to offset; nil if none is. A newer
	// snapshot does not replace it, so that the chunks already sent are not wasted.
	snapshot *Snapshot
	sum      uint32
	offset   int
	// takesWholeSnapshots: the member takes a snapshot in one message and echoes Token instead of
	// Seq.
	takesWholeSnapshots bool
	// isExcluded: the member cannot read the log's encoding and is sent nothing. heartbeatsOnly: it
	// is unknown whether it can.
	isExcluded, heartbeatsOnly bool
}

// isInFlight reports whether a payload is in flight. No other payload is sent until then, as
// heartbeats would queue behind all of them, and nothing is resent.
func (p *progress) isInFlight() bool { return p.repliedSeq < p.payloadSeq }

// startSnapshot starts sending snapshot s.
func (p *progress) startSnapshot(s Snapshot) {
	p.snapshot = &s
	p.sum = crc32.Checksum(s.Data, castagnoli)
	p.offset = 0
}

// fillChunk makes m the next chunk of the snapshot, of up to maxBytes, if there is capacity for it;
// otherwise a heartbeat. It reports which, as fillMessage does.
func (p *progress) fillChunk(m *Message, maxBytes int, hasCapacity bool) bool {
	s := p.snapshot
	m.Kind = KindSnapshot
	m.Offset, m.Size, m.Sum = uint64(p.offset), uint64(len(s.Data)), p.sum
	m.Snapshot = &Snapshot{Index: s.Index, Term: s.Term, Members: s.Members}
	if p.isInFlight() || p.offset == len(s.Data) || !hasCapacity {
		return false
	}
	m.Snapshot.Data = s.Data[p.offset:min(p.offset+maxBytes, len(s.Data))]
	p.offset += len(m.Snapshot.Data)
	return true
}

// fillWholeSnapshot makes m the whole snapshot, or a heartbeat that matches any log: a member that
// takes whole snapshots would install a chunk as if it were complete.
func (p *progress) fillWholeSnapshot(m *Message) bool {
	if p.isInFlight() {
		m.Kind = KindAppend
		return false
	}
	s := *p.snapshot
	m.Kind, m.Snapshot = KindSnapshot, &s
	m.Size, m.Sum = uint64(len(s.Data)), p.sum
	return true
}

// resumeSnapshot continues from the held bytes that the member reports, which may come from another
// leader. A member that holds nothing is sent the newest snapshot.
func (p *progress) resumeSnapshot(held uint64, newest Snapshot) {
	p.offset = int(min(held, uint64(len(p.snapshot.Data))))
	if held == 0 && newest.Index > p.snapshot.Index {
		p.startSnapshot(newest)
	}
}

// incomingSnapshot is a partly received snapshot.
type incomingSnapshot struct {
	index Index
	term  Term
	size  uint64
	sum   uint32
	data  []byte
}

// receiveChunk stores a chunk of a leader's snapshot and installs the snapshot once it is complete.
// Chunks of the same snapshot may come from different leaders.
func (n *Node) receiveChunk(m Message, out *Ready) {
	s := m.Snapshot
	if s == nil {
		return
	}
	if m.isWholeSnapshot() {
		m.Size, m.Sum = uint64(len(s.Data)), crc32.Checksum(s.Data, castagnoli)
	}
	if s.Index <= n.commit {
		n.incomingSnapshot = nil
		n.recordMatch(n.commit)
		n.acknowledge(m, n.commit, m.Size, false, out)
		return
	}
	in := n.incomingSnapshot
	if in == nil || in.index != s.Index || in.term != s.Term || in.size != m.Size || in.sum != m.Sum {
		in = &incomingSnapshot{index: s.Index, term: s.Term, size: m.Size, sum: m.Sum}
		n.incomingSnapshot = in
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, s.Data...)
	}
	if uint64(len(in.data)) < in.size {
		n.replyImmediately(m, Message{Granted: true, Offset: uint64(len(in.data))}, out)
		return
	}
	n.incomingSnapshot = nil
	if crc32.Checksum(in.data, castagnoli) != in.sum {
		n.replyImmediately(m, Message{}, out)
		return
	}
	n.installSnapshot(Snapshot{Index: s.Index, Term: s.Term, Members: s.Members, Data: in.data}, out)
	n.recordMatch(s.Index)
	n.acknowledge(m, s.Index, m.Size, true, out)
}

// installSnapshot replaces the log and the state machine by a leader's snapshot.
func (n *Node) installSnapshot(s Snapshot, out *Ready) {
	n.snapshot = s
	n.log = raftLog{base: s.Index, baseTerm: s.Term}
	n.saved = 0 // until the snapshot is on disk
	n.commit, n.applied = s.Index, s.Index
	n.loadMembers()
	out.Snapshot = &s
	out.Entries = nil
}
