// SPDX-License-Identifier: MIT

package consensus

import (
	"slices"
	"strings"

	"lynxramp.org/event"
)

// ID identifies a member: a box and the incarnation of its disk.
type ID string

// MakeID returns the member ID of a box with this incarnation of its disk.
func MakeID(box event.BoxID, disk event.Incarnation) ID {
	return ID(string(box) + "@" + hex(uint64(disk)))
}

// Box returns the box of a member.
func (id ID) Box() event.BoxID {
	box, _, _ := strings.Cut(string(id), "@")
	return event.BoxID(box)
}

func hex(n uint64) string {
	const digits = "0123456789abcdef"
	var b [16]byte
	for i := range b {
		b[i] = digits[n>>(60-4*i)&15]
	}
	return string(b[:])
}

// Term is a Raft term.
type Term uint64

// Index is the position of an entry in the log, from 1.
type Index uint64

// EntryKind is the type of an entry's data.
type EntryKind uint8

const (
	// EntryNone is the empty entry that a new leader appends first.
	EntryNone EntryKind = iota
	// EntryCommand is a command for the state machine.
	EntryCommand
	// EntryMembers holds a Membership as JSON.
	EntryMembers
)

type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	Data  []byte
}

// Member is a box of the group and its network address.
type Member struct {
	ID      ID     `json:"id"`
	Address string `json:"address"`
}

// Membership lists the members. Learners receive the log and have no vote.
type Membership struct {
	Voters   []Member `json:"voters"`
	Learners []Member `json:"learners,omitempty"`
}

// isVoter reports whether id has a vote.
func (m Membership) isVoter(id ID) bool { return has(m.Voters, id) }

// Has reports whether id is a voter or a learner.
func (m Membership) Has(id ID) bool { return has(m.Voters, id) || has(m.Learners, id) }

func has(list []Member, id ID) bool {
	return slices.ContainsFunc(list, func(m Member) bool { return m.ID == id })
}

// without returns a copy of list without member id.
func without(list []Member, id ID) []Member {
	kept := make([]Member, 0, len(list))
	for _, m := range list {
		if m.ID != id {
			kept = append(kept, m)
		}
	}
	return kept
}

// HardState must survive restarts: Raft's current term and vote.
type HardState struct {
	Term Term
	Vote ID
}

// Snapshot holds the state machine and the membership as of Index.
type Snapshot struct {
	Index   Index
	Term    Term
	Members Membership
	Data    []byte
}

// Kind is the type of a message.
type Kind uint8

// Each request is followed by its reply; replies are even.
const (
	KindPreVote Kind = iota + 1
	KindPreVoteReply
	KindVote
	KindVoteReply
	KindAppend
	KindAppendReply
	KindSnapshot
	KindSnapshotReply
	KindTimeoutNow
	KindTimeoutNowReply
)

// Message is a message between members.
type Message struct {
	Kind     Kind
	From, To ID
	Term     Term
	// Token ties a reply to its request, for transports that take one reply to each request.
	Token uint64
	// Seq numbers the messages of a leader to one member; replies echo it.
	Seq uint64
	// Index and LogTerm belong to the sender's last entry (votes) or to the entry before Entries
	// (append). In the reply to an append, Index is the last saved entry that matches the leader's
	// log or, after a rejection, a hint where to probe.
	Index   Index
	LogTerm Term
	Entries []Entry
	Commit  Index
	// SentAt is when the leader sent the request, by its clock; replies echo it.
	SentAt  event.Time
	Granted bool // in a reply: accepted
	Forced  bool // in a vote request: the leader requested this election
	// Snapshot carries one chunk of a snapshot's data, starting at Offset. Size is the length of
	// the whole data in bytes, and Sum its CRC-32C. A reply echoes Sum and has in Offset how many
	// bytes the member holds.
	Snapshot *Snapshot
	Offset   uint64
	Size     uint64
	Sum      uint32
}

// payloadBytes returns the length of the entries or of the snapshot chunk.
func (m *Message) payloadBytes() int {
	if m.Snapshot != nil {
		return len(m.Snapshot.Data)
	}
	return bytesOf(m.Entries)
}

// reply returns the kind of the reply to k.
func (k Kind) reply() Kind { return k + 1 }

func (k Kind) isReply() bool { return k%2 == 0 }

// Ready is the output of the steps since the last Reset. The caller sends Immediate, saves, sends
// Messages, and applies, in this order. Once entries or a snapshot are saved, it calls Node.Saved.
type Ready struct {
	Immediate []Message
	HardState *HardState
	// Snapshot replaces the log and the state machine.
	Snapshot *Snapshot
	// Entries are to be saved; they replace all saved entries from the first one's index on.
	Entries  []Entry
	Messages []Message
	// Committed are to be applied in order.
	Committed []Entry
}

// Reset empties r and keeps its memory.
func (r *Ready) Reset() {
	r.Immediate = r.Immediate[:0]
	r.HardState = nil
	r.Snapshot = nil
	r.Entries = nil
	r.Messages = r.Messages[:0]
	r.Committed = r.Committed[:0]
}

func (r *Ready) MustSave() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
}

// Valid reports whether the message is well-formed: its entries are consecutive, and a snapshot
// message has a chunk within the size.
func (m Message) Valid() bool {
	if m.Kind < KindPreVote || m.Kind > KindTimeoutNowReply || m.From == "" || m.To == "" {
		return false
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+Index(i)+1 || e.Term > m.Term || e.Kind > EntryMembers {
			return false
		}
	}
	if m.Kind != KindSnapshot {
		return true
	}
	if m.Snapshot == nil {
		return false
	}
	return m.isWholeSnapshot() || m.Offset <= m.Size && uint64(len(m.Snapshot.Data)) <= m.Size-m.Offset
}

// isUnnumbered reports whether a leader's message is from an older build, which sets no Seq: it
// takes one reply to each message, sent once the payload is saved.
func (m *Message) isUnnumbered() bool { return m.Seq == 0 }

// isWholeSnapshot reports whether a snapshot message has the whole snapshot, as older builds send
// it.
func (m *Message) isWholeSnapshot() bool { return m.isUnnumbered() && m.Size == 0 }

// expectsSingleReply reports whether the sender takes only one reply to the message.
func (m *Message) expectsSingleReply() bool { return m.Token != 0 || m.isUnnumbered() }

// replyNumber returns the number of the message that a reply belongs to. Members that do not know Seq
// echo only Token.
func (m *Message) replyNumber() uint64 {
	if m.Seq > 0 {
		return m.Seq
	}
	return m.Token
}
