// SPDX-License-Identifier: MIT

package consensus

import (
	"lynxramp.org/event"
)

func (n *Node) resetDeadline(now event.Time) {
	spread := event.Span(n.random.Int64N(int64(ElectionSpread)))
	n.deadline = now.Add(ElectionMin + spread)
}

// follow makes the node a follower in a term; of a leader, if that is known.
func (n *Node) follow(now event.Time, t Term, of ID) {
	if t > n.hard.Term {
		n.hard = HardState{Term: t}
		n.leader = ""
	}
	if n.role != follower {
		n.resetDeadline(now)
	}
	n.role = follower
	n.transfer = ""
	n.joins = nil
	if of != "" {
		n.leader = of
		n.heard = now
		n.resetDeadline(now)
	}
}

// startPreVote asks whether an election could be won, without a new term.
func (n *Node) startPreVote(now event.Time, out *Ready) {
	n.resetDeadline(now)
	n.role = preCandidate
	n.leader = ""
	n.votes = map[ID]bool{n.id: true}
	if n.wonVotes() {
		n.campaign(now, false, out)
		return
	}
	n.askVotes(KindPreVote, n.hard.Term+1, false, out)
}

// campaign stands for leader in a new term.
func (n *Node) campaign(now event.Time, forced bool, out *Ready) {
	n.resetDeadline(now)
	n.role = candidate
	n.leader = ""
	n.hard = HardState{Term: n.hard.Term + 1, Vote: n.id}
	n.votes = map[ID]bool{n.id: true}
	if n.wonVotes() {
		n.lead(now, out)
		return
	}
	n.askVotes(KindVote, n.hard.Term, forced, out)
}

func (n *Node) askVotes(kind Kind, t Term, forced bool, out *Ready) {
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

// vote judges a candidate of the present term.
func (n *Node) vote(now event.Time, m Message, out *Ready) {
	ok := n.hard.Vote == "" || n.hard.Vote == m.From
	ok = ok && n.role == follower && n.leader == "" && m.Term == n.hard.Term
	ok = ok && n.log.isNewer(m.Index, m.LogTerm)
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
	case !n.wonVotes():
	case pre:
		n.campaign(now, false, out)
	default:
		n.lead(now, out)
	}
}

func (n *Node) wonVotes() bool {
	won := 0
	for _, m := range n.members.Voters {
		if n.votes[m.ID] {
			won++
		}
	}
	return won > len(n.members.Voters)/2
}

// lead makes the node the leader of its term.
func (n *Node) lead(now event.Time, out *Ready) {
	n.role = leader
	n.leader = n.id
	n.transfer = ""
	n.ledSince = now
	n.progress = make(map[ID]*progress)
	n.trackMembers()
	n.firstOwn = n.add(EntryNone, nil, out)
	n.sendAll(now, out)
}

// checkQuorum ends the leadership of a node that no quorum has answered for
// long.
func (n *Node) checkQuorum(now event.Time) {
	if n.role == leader && now > n.leaseEnd(now).Add(ElectionMin) {
		n.follow(now, n.hard.Term, "")
		n.leader = ""
	}
}

// Transfer hands the leadership to a member that answers: of those that a rank puts first, the one
// that holds most of the log. The lease ends here and now. A nil rank puts all alike.
func (n *Node) Transfer(now event.Time, rank func(ID) int, out *Ready) {
	defer n.finish(out)
	if n.role != leader {
		return
	}
	var best ID
	for _, m := range n.members.Voters {
		if m.ID != n.id && n.mayFollow(m.ID) && (best == "" || n.isBefore(now, m.ID, best, rank)) {
			best = m.ID
		}
	}
	if best == "" {
		return
	}
	n.transfer = best
	n.transferT = now
	n.tryTransfer(now, out)
}

// mayFollow reports whether a member has answered in this term and reads what the log has.
func (n *Node) mayFollow(id ID) bool {
	p := n.progress[id]
	return p != nil && p.heard && !p.isIgnored
}

// isBefore reports whether a member is to lead rather than another: one that answers rather than one
// that is silent, then by rank, then by how much of the log it holds.
func (n *Node) isBefore(now event.Time, id, other ID, rank func(ID) int) bool {
	p, q := n.progress[id], n.progress[other]
	answers, otherAnswers := now.Sub(p.answered) < ElectionMin, now.Sub(q.answered) < ElectionMin
	if answers != otherAnswers {
		return answers
	}
	if rank != nil && rank(id) != rank(other) {
		return rank(id) > rank(other)
	}
	return p.match > q.match
}

// tryTransfer tells the chosen member to stand once it holds the whole log.
func (n *Node) tryTransfer(now event.Time, out *Ready) {
	if n.transfer == "" {
		return
	}
	if now.Sub(n.transferT) > ElectionMin {
		// The order to stand may still be on its way, so the lease of this term
		// must not come back.
		n.follow(now, n.hard.Term, "")
		n.leader = ""
		return
	}
	if p := n.progress[n.transfer]; p != nil && p.match == n.log.last() {
		out.Messages = append(out.Messages, Message{Kind: KindTimeoutNow, From: n.id, To: n.transfer, Term: n.hard.Term})
	}
}
