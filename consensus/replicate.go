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
			}
		}
	}
	for id := range n.progress {
		if !n.members.Has(id) {
			delete(n.progress, id)
		}
	}
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

// sendAll sends each member what it lacks, or a heartbeat when it is due.
func (n *Node) sendAll(now event.Time, out *Ready) {
	for _, list := range [...][]Member{n.members.Voters, n.members.Learners} {
		for _, m := range list {
			if m.ID != n.id {
				n.send(now, m.ID, out)
			}
		}
	}
}

func (n *Node) send(now event.Time, to ID, out *Ready) {
	p := n.progress[to]
	since := now.Sub(p.sent)
	switch {
	case p.inflight && since < appendRetry:
		return
	case p.sent != 0 && p.next > n.log.last() && since < HeartbeatEvery:
		return
	}
	p.sent = now
	p.inflight = true
	m := Message{From: n.id, To: to, Term: n.hard.Term, SentAt: now, Commit: n.commit, Kind: KindAppend}
	before, ok := n.log.term(p.next - 1)
	switch {
	case p.bulk != 0:
		n.ask(p, &m)
	case !ok:
		s := n.snapshot
		m.Kind = KindSnapshot
		m.Snapshot = &s
		if len(s.Data) > resendBytes {
			p.bulk = now
		}
	default:
		m.Index, m.LogTerm = p.next-1, before
		m.Entries = n.log.batch(p.next)
		if bytesIn(m.Entries) > resendBytes {
			p.bulk = now
		}
	}
	out.Early = append(out.Early, m)
}

// ask makes an append without entries, which follows what is on its way: its answer shows
// whether that has arrived. Sending that again would put it before the next heartbeats.
func (n *Node) ask(p *progress, m *Message) {
	m.Index = p.next - 1
	if t, ok := n.log.term(m.Index); ok {
		m.LogTerm = t
		return
	}
	m.Index, m.LogTerm = n.snapshot.Index, n.snapshot.Term
}

// bytesIn returns how many bytes entries have.
func bytesIn(entries []Entry) int {
	sum := 0
	for _, e := range entries {
		sum += len(e.Data)
	}
	return sum
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
		n.reply(m, Message{Index: min(n.log.last(), m.Index-1)}, out)
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
	n.reply(m, Message{Granted: true, Index: last}, out)
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

// install takes a leader's snapshot in place of log and state machine.
func (n *Node) install(m Message, out *Ready) {
	s := m.Snapshot
	if s == nil || s.Index <= n.commit {
		n.reply(m, Message{Granted: true, Index: n.commit}, out)
		return
	}
	n.snapshot = *s
	n.log = raftLog{base: s.Index, baseTerm: s.Term}
	n.saved, n.commit, n.applied = s.Index, s.Index, s.Index
	n.loadMembers()
	out.Snapshot = s
	out.Entries = nil
	n.reply(m, Message{Granted: true, Index: s.Index}, out)
}

// appended takes the reply to an append or a snapshot.
func (n *Node) appended(now event.Time, m Message, out *Ready) {
	p := n.progress[m.From]
	if p == nil {
		return
	}
	p.heard = true
	p.answered = max(p.answered, m.SentAt)
	if m.Granted {
		p.match = max(p.match, m.Index)
	}
	if m.SentAt < p.bulk {
		n.advance(now, out) // it says nothing of what was sent later and is on its way
		return
	}
	p.inflight, p.bulk = false, 0
	if !m.Granted {
		p.next = max(p.match+1, min(p.next-1, m.Index+1))
		n.send(now, m.From, out)
		return
	}
	p.next = max(p.next, p.match+1)
	n.advance(now, out)
	n.tryTransfer(now, out)
	if n.role == leader && p.next <= n.log.last() {
		n.send(now, m.From, out)
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
