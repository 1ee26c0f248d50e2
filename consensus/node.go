// SPDX-License-Identifier: MIT

package consensus

import (
	"encoding/json"
	"math/rand/v2"
	"slices"

	"github.com/pkg/errors"

	"lynxramp.org/event"
)

// Times of the group. ElectionMin is also the length of a leader's lease, less
// LeaseMargin for clocks that run at unlike rates.
const (
	ElectionMin    = 400 * event.Millisecond
	ElectionSpread = 250 * event.Millisecond
	HeartbeatEvery = 120 * event.Millisecond
	LeaseMargin    = 60 * event.Millisecond
	// silentAfter is after how long without a reply nothing is taken to be on its way to a
	// member: twice what ends a lease.
	silentAfter = 2 * ElectionMin
)

// maxEntries is the most entries in a message.
const maxEntries = 256

// bounds are of messages and of the log, in bytes where nothing else is said.
type bounds struct {
	// message bounds the entries, or the piece of a snapshot, in a message; an entry that is
	// larger goes by itself. flying bounds them in the messages to all members together.
	message, flying int
	// unsaved bounds what a member with a slow disk is sent ahead of it.
	unsaved int
	// keepEntries (a number) and keepBytes bound what stays of the log behind a snapshot.
	keepEntries, keepBytes int
}

// usualBounds: 128 kB take 105 ms out of a box with 10 Mbit/s, so that heartbeats behind them
// still come back within the lease.
var usualBounds = bounds{message: 32 << 10, flying: 128 << 10, unsaved: 1 << 20, keepEntries: 8192, keepBytes: 16 << 20}

// Errors of proposals.
var (
	// ErrNotLeader says that another member, or none, leads.
	ErrNotLeader = errors.New("this box does not lead the control group")
	// ErrBusy says that a change of members is under way.
	ErrBusy = errors.New("a change of members is under way")
)

// role is a member's part in its term.
type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Restored is what a member's disk holds.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Node is one member of the group. It is not safe for concurrent use.
type Node struct {
	id     ID
	random *rand.Rand

	hard     HardState
	savedHS  HardState
	log      raftLog
	snapshot Snapshot
	saved    Index // the last entry that is on disk
	commit   Index
	applied  Index

	role    role
	leader  ID
	members Membership
	// membersAt is the index of the entry that brought members.
	membersAt Index

	heard     event.Time // when a leader was last heard
	deadline  event.Time // of the next election
	votes     map[ID]bool
	progress  map[ID]*progress
	turn      int   // of the members to be sent something first
	firstOwn  Index // the leader's first entry of its term
	ledSince  event.Time
	transfer  ID
	transferT event.Time
	joins     []Member // boxes that ask to become members
	limits    Limits
	bounds    bounds
	// agreed is up to where the log is that of the leader of agreedTerm.
	agreed     Index
	agreedTerm Term
	incoming   *incoming // nil if no snapshot is coming
	forms      map[event.BoxID]Forms
	usualForms Forms
}

// Limits bound how the members change by themselves. The zero value lets every
// box that joins become a voter and replaces none.
type Limits struct {
	// Voters is the most voters that joining boxes make; 0 is no limit.
	Voters int
	// DeadAfter is how long a voter may be silent before a joined box takes its
	// place; 0 is for ever.
	DeadAfter event.Span
}

// SetLimits bounds the changes of members from now on.
func (n *Node) SetLimits(l Limits) { n.limits = l }

// HeardLeader returns when a leader was last heard, or the time of the start.
func (n *Node) HeardLeader() event.Time { return n.heard }

// IsVoter reports whether this member has a vote, by all it knows.
func (n *Node) IsVoter() bool { return n.members.isVoter(n.id) }

// New returns a member that starts with what its disk holds. Right after a
// start it refuses votes for ElectionMin: it may have answered a heartbeat just
// before, and a lease rests on that.
func New(now event.Time, id ID, r Restored, seed uint64) *Node {
	n := &Node{
		id:       id,
		random:   rand.New(rand.NewPCG(seed, 1)),
		hard:     r.HardState,
		savedHS:  r.HardState,
		snapshot: r.Snapshot,
		log:      raftLog{base: r.Snapshot.Index, baseTerm: r.Snapshot.Term, entries: r.Entries},
		commit:   r.Snapshot.Index,
		applied:  r.Snapshot.Index,
		heard:    now,
		bounds:   usualBounds,
	}
	n.saved = n.log.last()
	n.loadMembers()
	n.resetDeadline(now)
	return n
}

// loadMembers takes the newest membership in the log, committed or not.
func (n *Node) loadMembers() {
	n.members = n.snapshot.Members
	n.membersAt = n.snapshot.Index
	for i := len(n.log.entries) - 1; i >= 0; i-- {
		e := n.log.entries[i]
		if m, ok := membersIn(n.log.entries[i : i+1]); ok && e.Index > n.snapshot.Index {
			n.members = m
			n.membersAt = e.Index
			return
		}
	}
}

// ID returns the member that this is.
func (n *Node) ID() ID { return n.id }

// Term returns the present term.
func (n *Node) Term() Term { return n.hard.Term }

// Leader returns the member that leads, as far as is known; empty if none is.
func (n *Node) Leader() ID { return n.leader }

// Members returns who takes part.
func (n *Node) Members() Membership { return n.members }

// Applied returns the index of the last entry that was handed out to be applied.
func (n *Node) Applied() Index { return n.applied }

// Leads reports whether this member leads and has an entry of its term
// committed, so that it knows all that was ever committed.
func (n *Node) Leads() bool { return n.role == leader && n.commit >= n.firstOwn }

// LogBytes returns how many bytes the commands of the log take in memory.
func (n *Node) LogBytes() int { return bytesOf(n.log.entries) }

// HasLease reports whether no other leader can exist at now. While it is true,
// what this member has applied is the newest.
func (n *Node) HasLease(now event.Time) bool {
	return n.Leads() && n.transfer == "" && now < n.leaseEnd(now)
}

// HandsOver reports whether this member is handing its lead to another.
func (n *Node) HandsOver() bool { return n.transfer != "" }

// LeaseEnd returns when the lease of a leader is over, as far as is known at now.
func (n *Node) LeaseEnd(now event.Time) event.Time { return n.leaseEnd(now) }

// leaseEnd returns when the lease is over, by the heartbeats that a quorum
// answered.
func (n *Node) leaseEnd(now event.Time) event.Time {
	times := make([]event.Time, 0, len(n.members.Voters))
	for _, m := range n.members.Voters {
		switch p := n.progress[m.ID]; {
		case m.ID == n.id:
			times = append(times, now)
		case p != nil && p.heard:
			times = append(times, p.answered)
		default:
			times = append(times, n.ledSince-event.Time(ElectionMin))
		}
	}
	return quorumOf(times).Add(ElectionMin - LeaseMargin)
}

// quorumOf returns the largest value that a majority reaches.
func quorumOf[T event.Time | Index](values []T) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// Tick tells the node that time passed.
func (n *Node) Tick(now event.Time, out *Ready) {
	defer n.finish(out)
	if n.role == leader {
		n.tickLeader(now, out)
		return
	}
	if now >= n.deadline && n.members.isVoter(n.id) {
		n.startPreVote(now, out)
	}
}

// Step takes one message.
func (n *Node) Step(now event.Time, m Message, out *Ready) {
	defer n.finish(out)
	n.checkQuorum(now)
	if m.To != n.id {
		return
	}
	if m.Term > n.hard.Term && !n.keepsTerm(now, m) {
		n.follow(now, m.Term, "")
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

// keepsTerm reports whether a message of a later term is to be judged without
// going to that term: a pre-vote is only a question, and a vote does not count
// while a leader is heard.
func (n *Node) keepsTerm(now event.Time, m Message) bool {
	switch m.Kind {
	case KindPreVote:
		return true
	case KindPreVoteReply:
		return m.Granted
	case KindVote:
		return !m.Forced && n.hearsLeader(now)
	}
	return false
}

// hearsLeader reports whether a leader may hold a lease that rests on this
// member.
func (n *Node) hearsLeader(now event.Time) bool {
	return n.role == leader || now.Sub(n.heard) < ElectionMin
}

func (n *Node) stepRequest(now event.Time, m Message, out *Ready) {
	switch m.Kind {
	case KindPreVote:
		ok := m.Term > n.hard.Term && !n.hearsLeader(now) && n.log.isNewer(m.Index, m.LogTerm)
		n.reply(m, Message{Granted: ok}, out)
	case KindVote:
		n.vote(now, m, out)
	case KindAppend:
		n.follow(now, m.Term, m.From)
		n.append(m, out)
	case KindSnapshot:
		n.follow(now, m.Term, m.From)
		n.takePiece(m, out)
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
			n.appended(now, m, out)
		}
	}
}

// reply answers a request. It is sent after all that is to be saved.
func (n *Node) reply(to, with Message, out *Ready) {
	out.Messages = append(out.Messages, n.makeReply(to, with))
}

// makeReply returns with as the reply to a request.
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

// Saved tells the node that its log is on disk up to the entry (index, term).
func (n *Node) Saved(now event.Time, index Index, term Term, out *Ready) {
	defer n.finish(out)
	if t, ok := n.log.term(index); ok && t == term {
		n.saved = max(n.saved, index)
	}
	if n.role == leader {
		n.advance(now, out)
	}
}

// Propose adds a command to the log of the leader and returns its index.
func (n *Node) Propose(now event.Time, data []byte, out *Ready) (Index, error) {
	defer n.finish(out)
	if !n.HasLease(now) {
		return 0, ErrNotLeader
	}
	i := n.add(EntryCommand, data, out)
	n.sendAll(now, out)
	return i, nil
}

// add appends an entry of the present term.
func (n *Node) add(kind EntryKind, data []byte, out *Ready) Index {
	e := Entry{Index: n.log.last() + 1, Term: n.hard.Term, Kind: kind, Data: data}
	n.log.entries = append(n.log.entries, e)
	out.Entries = append(out.Entries, e)
	return e.Index
}

// Compact takes a snapshot of the state machine as it was when an entry was applied. The
// carrier saves it. What the log has since the snapshot before this one stays, within bounds: a
// member that is being sent that one goes on from there. Members that take snapshots at the same
// entries go on with each other's transfers.
func (n *Node) Compact(at Index, data []byte, out *Ready) {
	t, ok := n.log.term(at)
	if !ok || at <= n.snapshot.Index || at > n.applied {
		return
	}
	members := n.snapshot.Members
	if m, ok := membersIn(n.log.from(n.log.base+1, int(at-n.log.base))); ok {
		members = m
	}
	kept := n.log.tail(at, n.bounds.keepEntries, n.bounds.keepBytes)
	n.log.compact(max(n.snapshot.Index, at-Index(len(kept))))
	n.snapshot = Snapshot{Index: at, Term: t, Members: members, Data: data}
	s := n.snapshot
	out.Snapshot = &s
	out.Entries = append([]Entry(nil), n.log.from(at+1, int(n.log.last()-at))...)
}

// finish hands out what changed in a step.
func (n *Node) finish(out *Ready) {
	if n.hard != n.savedHS {
		hs := n.hard
		out.HardState = &hs
		n.savedHS = hs
	}
	for n.applied < n.commit {
		part := n.log.from(n.applied+1, int(n.commit-n.applied))
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
