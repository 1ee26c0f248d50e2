// SPDX-License-Identifier: MIT

package consensus

import (
	"encoding/json"
	"math/rand/v2"
	"slices"

	"github.com/pkg/errors"

	"lynxramp.org/event"
)

// Timeouts of the group. MinElectionTimeout, less LeaseMargin for differences in clock rate, is also
// the length of a leader's lease.
const (
	MinElectionTimeout = 400 * event.Millisecond
	ElectionJitter     = 250 * event.Millisecond
	HeartbeatInterval  = 120 * event.Millisecond
	LeaseMargin        = 60 * event.Millisecond
	// unreachableAfter is how long a member may go without a reply before its messages no longer
	// count as in flight: twice the time that ends a lease.
	unreachableAfter = 2 * MinElectionTimeout
)

// maxEntries is the maximum number of entries in a message.
const maxEntries = 256

// bounds limits messages and the log, in bytes unless noted.
type bounds struct {
	// messageBytes bounds the entries or the snapshot chunk in a message; a larger entry goes
	// alone. inFlightBytes bounds the sum over the messages to all members.
	messageBytes, inFlightBytes int
	// unsavedBytes bounds what a member is sent beyond what it has saved.
	unsavedBytes int
	// keepEntries (a count) and keepBytes bound the log that is kept behind a snapshot.
	keepEntries, keepBytes int
}

// defaultBounds keeps the data in flight to 128 kB, about 105 ms on a 10 Mbit/s link, so that
// heartbeats queued behind it return within the lease.
var defaultBounds = bounds{messageBytes: 32 << 10, inFlightBytes: 128 << 10, unsavedBytes: 1 << 20, keepEntries: 8192, keepBytes: 16 << 20}

var (
	// ErrNotLeader says that another member leads, or none.
	ErrNotLeader = errors.New("this box is not the leader of the control group")
	// ErrBusy says that a membership change is in progress.
	ErrBusy = errors.New("a membership change is in progress")
)

// role is a member's role in its term.
type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// PersistentState is what a member reads from its disk at the start.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Node is one member of the group. It is not safe for concurrent use.
type Node struct {
	id     ID
	random *rand.Rand

	hard     HardState
	savedHS  HardState // as last returned in a Ready
	log      raftLog
	snapshot Snapshot
	saved    Index // last entry on disk
	commit   Index
	applied  Index

	role    role
	leader  ID
	members Membership
	// membersIndex is the index of the entry that set members.
	membersIndex Index

	lastContact      event.Time // last message from a leader
	electionDeadline event.Time
	votes            map[ID]bool
	progress         map[ID]*progress
	rotation         int   // offset of the member that is sent to first
	termStart        Index // the leader's first entry of its term
	leaderSince      event.Time
	transferee       ID
	transferStart    event.Time
	joinRequests     []Member // boxes that asked to become members
	limits           MembershipLimits
	bounds           bounds
	// The log up to matched equals that of the leader of matchedTerm.
	matched          Index
	matchedTerm      Term
	incomingSnapshot *incomingSnapshot // nil unless a snapshot is being received
	peerModes        map[event.BoxID]PeerMode
	defaultMode      PeerMode
}

// MembershipLimits restricts automatic membership changes. The zero value makes every joining box a
// voter and replaces no voter.
type MembershipLimits struct {
	// MaxVoters is the number of voters up to which joining boxes become voters; 0 means no limit.
	MaxVoters int
	// ReplaceAfter is how long a voter may be unreachable before a joining box replaces it; 0 means
	// that no voter is replaced.
	ReplaceAfter event.Duration
}

// SetLimits sets the limits of later membership changes.
func (n *Node) SetLimits(l MembershipLimits) { n.limits = l }

// LastLeaderContact returns when the last message from a leader arrived, or the time of the start.
func (n *Node) LastLeaderContact() event.Time { return n.lastContact }

// IsVoter reports whether this member has a vote, by the newest membership in its log.
func (n *Node) IsVoter() bool { return n.members.isVoter(n.id) }

// New returns a member that starts from its saved state. It refuses votes for MinElectionTimeout
// after the start: it may have replied to a heartbeat just before, and a lease may rely on that.
func New(now event.Time, id ID, r PersistentState, seed uint64) *Node {
	n := &Node{
		id:          id,
		random:      rand.New(rand.NewPCG(seed, 1)),
		hard:        r.HardState,
		savedHS:     r.HardState,
		snapshot:    r.Snapshot,
		log:         raftLog{base: r.Snapshot.Index, baseTerm: r.Snapshot.Term, entries: r.Entries},
		commit:      r.Snapshot.Index,
		applied:     r.Snapshot.Index,
		lastContact: now,
		bounds:      defaultBounds,
	}
	n.saved = n.log.last()
	n.loadMembers()
	n.resetDeadline(now)
	return n
}

// loadMembers sets the newest membership in the log, committed or not.
func (n *Node) loadMembers() {
	n.members = n.snapshot.Members
	n.membersIndex = n.snapshot.Index
	for i := len(n.log.entries) - 1; i >= 0; i-- {
		e := n.log.entries[i]
		if m, ok := lastMembership(n.log.entries[i : i+1]); ok && e.Index > n.snapshot.Index {
			n.members = m
			n.membersIndex = e.Index
			return
		}
	}
}

// ID returns the ID of this member.
func (n *Node) ID() ID { return n.id }

// Term returns the current term.
func (n *Node) Term() Term { return n.hard.Term }

// Leader returns the known leader; empty if there is none.
func (n *Node) Leader() ID { return n.leader }

// Members returns the newest membership, committed or not.
func (n *Node) Members() Membership { return n.members }

// Applied returns the index of the last entry that was returned in Ready.Committed.
func (n *Node) Applied() Index { return n.applied }

// IsLeader reports whether this member is the leader and has committed an entry of its own term, so
// that its log holds everything that was ever committed.
func (n *Node) IsLeader() bool { return n.role == leader && n.commit >= n.termStart }

// LogBytes returns the length of the data of all entries in memory.
func (n *Node) LogBytes() int { return bytesOf(n.log.entries) }

// HasLease reports whether no other leader can exist at now. While it is true, this member's
// applied state is current.
func (n *Node) HasLease(now event.Time) bool {
	return n.IsLeader() && n.transferee == "" && now < n.leaseEnd(now)
}

// IsTransferring reports whether this member is transferring its leadership.
func (n *Node) IsTransferring() bool { return n.transferee != "" }

// LeaseEnd returns when the leader's lease ends, as known at now.
func (n *Node) LeaseEnd(now event.Time) event.Time { return n.leaseEnd(now) }

// leaseEnd returns when the lease ends, based on the heartbeats that a quorum replied to.
func (n *Node) leaseEnd(now event.Time) event.Time {
	times := make([]event.Time, 0, len(n.members.Voters))
	for _, m := range n.members.Voters {
		switch p := n.progress[m.ID]; {
		case m.ID == n.id:
			times = append(times, now)
		case p != nil && p.hasReplied:
			times = append(times, p.lastRepliedSentAt)
		default:
			times = append(times, n.leaderSince-event.Time(MinElectionTimeout))
		}
	}
	return quorumOf(times).Add(MinElectionTimeout - LeaseMargin)
}

// quorumOf returns the largest value that a majority reaches.
func quorumOf[T event.Time | Index](values []T) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// Tick does what is due at now: elections, heartbeats, retries.
func (n *Node) Tick(now event.Time, out *Ready) {
	defer n.finish(out)
	if n.role == leader {
		n.tickLeader(now, out)
		return
	}
	if now >= n.electionDeadline && n.members.isVoter(n.id) {
		n.startPreVote(now, out)
	}
}

// Step applies one received message.
func (n *Node) Step(now event.Time, m Message, out *Ready) {
	defer n.finish(out)
	n.checkQuorum(now)
	if m.To != n.id {
		return
	}
	if m.Term > n.hard.Term && !n.keepsTerm(now, m) {
		n.becomeFollower(now, m.Term, "")
	}
	if m.Kind.isReply() {
		if m.Term == n.hard.Term || m.Kind == KindPreVoteReply {
			n.stepReply(now, m, out)
		}
		return
	}
	if m.Term < n.hard.Term {
		n.reply(m, Message{}, out)
		return
	}
	n.stepRequest(now, m, out)
}

// keepsTerm reports whether a message of a later term is handled without entering that term: a
// pre-vote changes no state, and a vote request is refused while there is a leader.
func (n *Node) keepsTerm(now event.Time, m Message) bool {
	switch m.Kind {
	case KindPreVote:
		return true
	case KindPreVoteReply:
		return m.Granted
	case KindVote:
		return !m.Forced && n.hasRecentLeader(now)
	}
	return false
}

// hasRecentLeader reports whether a leader may hold a lease that relies on this member.
func (n *Node) hasRecentLeader(now event.Time) bool {
	return n.role == leader || now.Sub(n.lastContact) < MinElectionTimeout
}

func (n *Node) stepRequest(now event.Time, m Message, out *Ready) {
	switch m.Kind {
	case KindPreVote:
		ok := m.Term > n.hard.Term && !n.hasRecentLeader(now) && n.log.isUpToDate(m.Index, m.LogTerm)
		n.reply(m, Message{Granted: ok}, out)
	case KindVote:
		n.replyToVote(now, m, out)
	case KindAppend:
		n.becomeFollower(now, m.Term, m.From)
		n.append(m, out)
	case KindSnapshot:
		n.becomeFollower(now, m.Term, m.From)
		n.receiveChunk(m, out)
	case KindTimeoutNow:
		n.reply(m, Message{Granted: true}, out)
		if n.members.isVoter(n.id) {
			n.campaign(now, true, out)
		}
	}
}

func (n *Node) stepReply(now event.Time, m Message, out *Ready) {
	switch m.Kind {
	case KindPreVoteReply, KindVoteReply:
		n.countVote(now, m, out)
	case KindAppendReply, KindSnapshotReply:
		if n.role == leader {
			n.receiveAppendReply(now, m, out)
		}
	}
}

// reply sends the reply to a request after the pending save.
func (n *Node) reply(to, with Message, out *Ready) {
	out.Messages = append(out.Messages, n.makeReply(to, with))
}

// makeReply fills in with as the reply to a request.
func (n *Node) makeReply(to, with Message) Message {
	with.Kind = to.Kind.reply()
	with.From, with.To = n.id, to.From
	with.Term = n.hard.Term
	with.Token, with.Seq, with.Sum = to.Token, to.Seq, to.Sum
	with.SentAt = to.SentAt
	if to.Kind == KindPreVote && with.Granted {
		with.Term = to.Term
	}
	return with
}

// Saved says that the log is on disk up to the entry (index, term).
func (n *Node) Saved(now event.Time, index Index, term Term, out *Ready) {
	defer n.finish(out)
	if t, ok := n.log.term(index); ok && t == term {
		n.saved = max(n.saved, index)
	}
	if n.role == leader {
		n.advanceCommit(now, out)
	}
}

// Propose appends a command to the leader's log and returns its index.
func (n *Node) Propose(now event.Time, data []byte, out *Ready) (Index, error) {
	defer n.finish(out)
	if !n.HasLease(now) {
		return 0, ErrNotLeader
	}
	i := n.appendEntry(EntryCommand, data, out)
	n.sendAll(now, out)
	return i, nil
}

// appendEntry appends an entry of the current term.
func (n *Node) appendEntry(kind EntryKind, data []byte, out *Ready) Index {
	e := Entry{Index: n.log.last() + 1, Term: n.hard.Term, Kind: kind, Data: data}
	n.log.entries = append(n.log.entries, e)
	out.Entries = append(out.Entries, e)
	return e.Index
}

// Compact sets a snapshot of the state machine as of entry at, which the caller saves. The entries
// since the previous snapshot are kept, within bounds, so that a member that is receiving the
// previous snapshot can continue from there. Members that snapshot at the same index can continue
// each other's transfers.
func (n *Node) Compact(at Index, data []byte, out *Ready) {
	t, ok := n.log.term(at)
	if !ok || at <= n.snapshot.Index || at > n.applied {
		return
	}
	members := n.snapshot.Members
	if m, ok := lastMembership(n.log.entriesFrom(n.log.base+1, int(at-n.log.base))); ok {
		members = m
	}
	kept := n.log.tail(at, n.bounds.keepEntries, n.bounds.keepBytes)
	n.log.compact(max(n.snapshot.Index, at-Index(len(kept))))
	n.snapshot = Snapshot{Index: at, Term: t, Members: members, Data: data}
	s := n.snapshot
	out.Snapshot = &s
	out.Entries = append([]Entry(nil), n.log.entriesFrom(at+1, int(n.log.last()-at))...)
}

// finish adds the changed hard state and the newly committed entries to out.
func (n *Node) finish(out *Ready) {
	if n.hard != n.savedHS {
		hs := n.hard
		out.HardState = &hs
		n.savedHS = hs
	}
	for n.applied < n.commit {
		part := n.log.entriesFrom(n.applied+1, int(n.commit-n.applied))
		if len(part) == 0 {
			return
		}
		out.Committed = append(out.Committed, part...)
		n.applied += Index(len(part))
	}
}

// encodeMembers returns a membership as an entry's data.
func encodeMembers(m Membership) []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // strings always encode
	}
	return data
}
