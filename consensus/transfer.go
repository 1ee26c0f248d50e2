// SPDX-License-Identifier: MIT

package consensus

import (
	"hash/crc32"

	"lynxramp.org/event"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// progress is what a leader knows of another member.
type progress struct {
	match Index // saved by the member and the leader's
	next  Index // the first entry that was not sent
	// seq numbers the messages: the last one, the last that brought entries or a piece of a
	// snapshot, and the newest that was answered.
	seq, bulk, seen uint64
	flying          int        // bytes of that last one
	sent            event.Time // of the last message
	// answered is the sending time of the newest message that was answered.
	answered event.Time
	heard    bool
	// probing says that it is not known from where on the member's log is another: nothing is
	// sent that it may refuse.
	probing bool
	// snapshot is what is sent in pieces, with its checksum, up to offset; nil if none is. It
	// is kept while newer ones are taken, as what was sent of it would be lost.
	snapshot *Snapshot
	sum      uint32
	offset   int
	// isWhole says that the member takes a snapshot whole, in one message, and gives Token back
	// where others give Seq.
	isWhole bool
	// isIgnored says that the member does not read what the log has: it is sent nothing. isHeld says
	// that it is not known whether it does: it is sent heartbeats alone.
	isIgnored, isHeld bool
}

// isInFlight reports whether entries or a piece of a snapshot are on their way. Nothing is sent
// behind them, as heartbeats would have to wait for all of it, and nothing is sent again.
func (p *progress) isInFlight() bool { return p.seen < p.bulk }

// begin begins to send a snapshot.
func (p *progress) begin(s Snapshot) {
	p.snapshot = &s
	p.sum = crc32.Checksum(s.Data, castagnoli)
	p.offset = 0
}

// fillPiece makes m the next piece of the snapshot, of so many bytes at the most, if there is
// room for it, or a heartbeat, as fill does.
func (p *progress) fillPiece(m *Message, most int, hasRoom bool) bool {
	s := p.snapshot
	m.Kind = KindSnapshot
	m.Offset, m.Size, m.Sum = uint64(p.offset), uint64(len(s.Data)), p.sum
	m.Snapshot = &Snapshot{Index: s.Index, Term: s.Term, Members: s.Members}
	if p.isInFlight() || p.offset == len(s.Data) || !hasRoom {
		return false
	}
	m.Snapshot.Data = s.Data[p.offset:min(p.offset+most, len(s.Data))]
	p.offset += len(m.Snapshot.Data)
	return true
}

// fillWhole makes m the whole snapshot, or a heartbeat that any log agrees with: a member that takes
// snapshots whole would install a piece as if it were all.
func (p *progress) fillWhole(m *Message) bool {
	if p.isInFlight() {
		m.Kind = KindAppend
		return false
	}
	s := *p.snapshot
	m.Kind, m.Snapshot = KindSnapshot, &s
	m.Size, m.Sum = uint64(len(s.Data)), p.sum
	return true
}

// place goes on from what the member holds of the snapshot, which may be from another leader. A
// member that holds nothing is sent the newest one.
func (p *progress) place(held uint64, newest Snapshot) {
	p.offset = int(min(held, uint64(len(p.snapshot.Data))))
	if held == 0 && newest.Index > p.snapshot.Index {
		p.begin(newest)
	}
}

// incoming is a snapshot of which not all pieces have come.
type incoming struct {
	index Index
	term  Term
	size  uint64
	sum   uint32
	data  []byte
}

// takePiece takes a piece of a leader's snapshot, and the snapshot once it is whole. Pieces of
// the same snapshot count whoever sends them.
func (n *Node) takePiece(m Message, out *Ready) {
	s := m.Snapshot
	if s == nil {
		return
	}
	if m.isWhole() {
		m.Size, m.Sum = uint64(len(s.Data)), crc32.Checksum(s.Data, castagnoli)
	}
	if s.Index <= n.commit {
		n.incoming = nil
		n.agree(n.commit)
		n.acknowledge(m, n.commit, m.Size, false, out)
		return
	}
	in := n.incoming
	if in == nil || in.index != s.Index || in.term != s.Term || in.size != m.Size || in.sum != m.Sum {
		in = &incoming{index: s.Index, term: s.Term, size: m.Size, sum: m.Sum}
		n.incoming = in
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, s.Data...)
	}
	if uint64(len(in.data)) < in.size {
		n.receipt(m, Message{Granted: true, Offset: uint64(len(in.data))}, out)
		return
	}
	n.incoming = nil
	if crc32.Checksum(in.data, castagnoli) != in.sum {
		n.receipt(m, Message{}, out)
		return
	}
	n.install(Snapshot{Index: s.Index, Term: s.Term, Members: s.Members, Data: in.data}, out)
	n.agree(s.Index)
	n.acknowledge(m, s.Index, m.Size, true, out)
}

// install takes a leader's snapshot in place of log and state machine.
func (n *Node) install(s Snapshot, out *Ready) {
	n.snapshot = s
	n.log = raftLog{base: s.Index, baseTerm: s.Term}
	n.saved = 0 // until the disk has it
	n.commit, n.applied = s.Index, s.Index
	n.loadMembers()
	out.Snapshot = &s
	out.Entries = nil
}
