// SPDX-License-Identifier: MIT

package consensus

import (
	"slices"
	"strings"

	"lynxramp.org/event"
)

// ID names a member: a box in one life of its disk.
type ID string

// MakeID returns the member that a box is while its disk lives.
func MakeID(box event.BoxID, disk event.Incarnation) ID {
	return ID(string(box) + "@" + hex(uint64(disk)))
}

// Box returns the box that a member is or was.
func (id ID) Box() event.BoxID {
	box, _, _ := strings.Cut(string(id), "@")
	return event.BoxID(box)
}

func hex(n uint64) string {
	const signs = "0123456789abcdef"
	var b [16]byte
	for i := range b {
		b[i] = signs[n>>(60-4*i)&15]
	}
	return string(b[:])
}

// Term numbers the times between elections.
type Term uint64

// Index numbers the log's entries, from 1.
type Index uint64

// EntryKind says what an entry's data is.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryNone is a new leader's first entry, without data.
	EntryNone EntryKind = iota
	// EntryCommand is for the state machine.
	EntryCommand
	// EntryMembers has a Membership as JSON.
	EntryMembers
)

// Entry is one entry of the log.
type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	Data  []byte
}

// Member is a box of the group and where it is reached.
type Member struct {
	ID      ID     `json:"id"`
	Address string `json:"address"`
}

// Membership is who takes part. Learners get the log and have no vote.
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

// without returns list less the member id.
func without(list []Member, id ID) []Member {
	kept := make([]Member, 0, len(list))
	for _, m := range list {
		if m.ID != id {
			kept = append(kept, m)
		}
	}
	return kept
}

// HardState is what a member must never forget.
type HardState struct {
	Term Term
	Vote ID
}

// Snapshot is the state machine and the members at an index.
type Snapshot struct {
	Index   Index
	Term    Term
	Members Membership
	Data    []byte
}

// Kind says what a message is.
type Kind uint8

// The kinds of messages. Each request has a reply, which follows it here.
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

// Message is what members tell each other.
type Message struct {
	Kind     Kind
	From, To ID
	Term     Term
	// Token ties a reply to its request, for carriers that take one reply to each.
	Token uint64
	// Seq numbers a leader's messages to a member; replies give it back.
	Seq uint64
	// Index and LogTerm are of the sender's last entry (votes), or of the entry
	// before Entries (append). In an append's reply Index is the last entry that
	// is the leader's, or a hint where to try.
	Index   Index
	LogTerm Term
	Entries []Entry
	Commit  Index
	// SentAt is the leader's time of sending, given back in the reply.
	SentAt  event.Time
	Granted bool // of a reply: yes
	Forced  bool // of a vote: the leader asked for this election
	// Snapshot has a piece of a snapshot's data, which begins at Offset; all of it has Size
	// bytes and the checksum Sum (CRC-32C). A reply gives Sum back, and in Offset how many bytes
	// the member holds.
	Snapshot *Snapshot
	Offset   uint64
	Size     uint64
	Sum      uint32
}

// bytes returns the bytes of the entries, or of the piece of a snapshot.
func (m *Message) bytes() int {
	if m.Snapshot != nil {
		return len(m.Snapshot.Data)
	}
	return bytesOf(m.Entries)
}

// reply returns the kind of a request's reply.
func (k Kind) reply() Kind { return k + 1 }

// isReply reports whether the kind is a reply.
func (k Kind) isReply() bool { return k%2 == 0 }

// Ready is what is to be done after steps, in this order: send Early, save,
// send Messages, apply. When entries or a snapshot are saved, the node is told (Saved).
type Ready struct {
	Early     []Message
	HardState *HardState
	// Snapshot replaces the log and the state machine.
	Snapshot *Snapshot
	// Entries are to be saved; they replace all that is saved from the first
	// one's index on.
	Entries  []Entry
	Messages []Message
	// Committed are to be applied in order.
	Committed []Entry
}

// Reset empties r and keeps its memory.
func (r *Ready) Reset() {
	r.Early = r.Early[:0]
	r.HardState = nil
	r.Snapshot = nil
	r.Entries = nil
	r.Messages = r.Messages[:0]
	r.Committed = r.Committed[:0]
}

// MustSave reports whether anything is to be saved.
func (r *Ready) MustSave() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
}

// Valid reports whether a message can be what it says: entries that follow each
// other and a piece of a snapshot where one belongs.
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
	return m.isWhole() || m.Offset <= m.Size && uint64(len(m.Snapshot.Data)) <= m.Size-m.Offset
}

// isEarlier reports whether a leader's message is of a build that numbers no messages: it takes one
// reply to each, once what it brought is saved.
func (m *Message) isEarlier() bool { return m.Seq == 0 }

// isWhole reports whether a message with a snapshot brings all of it, as those builds send it.
func (m *Message) isWhole() bool { return m.isEarlier() && m.Size == 0 }

// takesOneReply reports whether the sender takes a single reply to the message.
func (m *Message) takesOneReply() bool { return m.Token != 0 || m.isEarlier() }

// number returns the number of the message that a reply answers: members that know no Seq give back
// the Token alone.
func (m *Message) number() uint64 {
	if m.Seq > 0 {
		return m.Seq
	}
	return m.Token
}
