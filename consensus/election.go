// SPDX-License-Identifier: MIT

package consensus

import (
	"lynxramp.org/event"
)

func (n *Node) resetDeadline(now event.Time) {
	spread := event.Duration(n.random.Int64N(int64(ElectionJitter)))
	n.electionDeadline = now.Add(MinElectionTimeout + spread)
}

// becomeFollower makes the node a follower in term t, of a leader if that is known.
func (n *Node) becomeFollower(now event.Time, t Term, of ID) {
	if t > n.hard.Term {
		n.hard = HardState{Term: t}
		n.leader = ""
	}
	if n.role != follower {
		n.resetDeadline(now)
	}
	n.role = follower
	n.transferee = ""
	n.joinRequests = nil
	if of != "" {
		n.leader = of
		n.lastContact = now
		n.resetDeadline(now)
	}
}

// startPreVote asks the voters whether an election could be won, without starting a new term.
func (n *Node) startPreVote(now event.Time, out *Ready) {
	n.resetDeadline(now)
	n.role = preCandidate
	n.leader = ""
	n.votes = map[ID]bool{n.id: true}
	if n.hasVoteQuorum() {
		n.campaign(now, false, out)
		return
	}
	n.requestVotes(KindPreVote, n.hard.Term+1, false, out)
}

// campaign starts an election in a new term.
func (n *Node) campaign(now event.Time, forced bool, out *Ready) {
	n.resetDeadline(now)
	n.role = candidate
	n.leader = ""
	n.hard = HardState{Term: n.hard.Term + 1, Vote: n.id}
	n.votes = map[ID]bool{n.id: true}
	if n.hasVoteQuorum() {
		n.becomeLeader(now, out)
		return
	}
	n.requestVotes(KindVote, n.hard.Term, forced, out)
}

func (n *Node) requestVotes(kind Kind, t Term, forced bool, out *Ready) {
	for _, m := range n.members.Voters {
		if m.ID == n.id {
			continue
		}
		out.Messages = append(out.Messages, Message{
			Kind: kind, From: n.id, To: m.ID, Term: t, Forced: forced,
			Index: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
}

// replyToVote answers a vote request of the current term.
func (n *Node) replyToVote(now event.Time, m Message, out *Ready) {
	ok := n.hard.Vote == "" || n.hard.Vote == m.From
	ok = ok && n.role == follower && n.leader == "" && m.Term == n.hard.Term
	ok = ok && n.log.isUpToDate(m.Index, m.LogTerm)
	if ok {
		n.hard.Vote = m.From
		n.resetDeadline(now)
	}
	n.reply(m, Message{Granted: ok}, out)
}

func (n *Node) countVote(now event.Time, m Message, out *Ready) {
	pre := m.Kind == KindPreVoteReply
	switch {
	case pre && (n.role != preCandidate || m.Term != n.hard.Term+1):
		return
	case !pre && n.role != candidate:
		return
	}
	if !m.Granted {
		return
	}
	n.votes[m.From] = true
	switch {
	case !n.hasVoteQuorum():
	case pre:
		n.campaign(now, false, out)
	default:
		n.becomeLeader(now, out)
	}
}

func (n *Node) hasVoteQuorum() bool {
	won := 0
	for _, m := range n.members.Voters {
		if n.votes[m.ID] {
			won++
		}
	}
	return won > len(n.members.Voters)/2
}

// becomeLeader makes the node the leader of its term.
func (n *Node) becomeLeader(now event.Time, out *Ready) {
	n.role = leader
	n.leader = n.id
	n.transferee = ""
	n.leaderSince = now
	n.progress = make(map[ID]*progress)
	n.updateProgress()
	n.termStart = n.appendEntry(EntryNone, nil, out)
	n.sendAll(now, out)
}

// checkQuorum makes a leader step down once no quorum has replied to it for MinElectionTimeout after
// its lease ended.
func (n *Node) checkQuorum(now event.Time) {
	if n.role == leader && now > n.leaseEnd(now).Add(MinElectionTimeout) {
		n.becomeFollower(now, n.hard.Term, "")
		n.leader = ""
	}
}

// TransferLeadership transfers the leadership to another voter, preferring reachable ones, then the
// highest rank, then the longest matching log. The lease ends immediately. A nil rank treats all
// alike.
func (n *Node) TransferLeadership(now event.Time, rank func(ID) int, out *Ready) {
	defer n.finish(out)
	if n.role != leader {
		return
	}
	var best ID
	for _, m := range n.members.Voters {
		if m.ID != n.id && n.isTransferCandidate(m.ID) && (best == "" || n.isBetterTransferee(now, m.ID, best, rank)) {
			best = m.ID
		}
	}
	if best == "" {
		return
	}
	n.transferee = best
	n.transferStart = now
	n.tryTransfer(now, out)
}

// isTransferCandidate reports whether a member has replied in this term and reads the log's
// encoding.
func (n *Node) isTransferCandidate(id ID) bool {
	p := n.progress[id]
	return p != nil && p.hasReplied && !p.isExcluded
}

// isBetterTransferee reports whether id should lead rather than other: by reachability, then rank,
// then length of the matching log.
func (n *Node) isBetterTransferee(now event.Time, id, other ID, rank func(ID) int) bool {
	p, q := n.progress[id], n.progress[other]
	answers, otherAnswers := now.Sub(p.lastRepliedSentAt) < MinElectionTimeout, now.Sub(q.lastRepliedSentAt) < MinElectionTimeout
	if answers != otherAnswers {
		return answers
	}
	if rank != nil && rank(id) != rank(other) {
		return rank(id) > rank(other)
	}
	return p.match > q.match
}

// tryTransfer sends the transferee a TimeoutNow once it holds the whole log.
func (n *Node) tryTransfer(now event.Time, out *Ready) {
	if n.transferee == "" {
		return
	}
	if now.Sub(n.transferStart) > MinElectionTimeout {
		// An earlier TimeoutNow may still be in flight, so the lease of this term must not be
		// resumed.
		n.becomeFollower(now, n.hard.Term, "")
		n.leader = ""
		return
	}
	if p := n.progress[n.transferee]; p != nil && p.match == n.log.last() {
		out.Messages = append(out.Messages, Message{Kind: KindTimeoutNow, From: n.id, To: n.transferee, Term: n.hard.Term})
	}
}
