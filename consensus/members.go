// SPDX-License-Identifier: MIT

package consensus

import (
	"slices"

	"lynxramp.org/event"
)

// Join asks the leader to add a member, in place of an earlier incarnation of the same box. It
// reports whether the member is a voter and that change is committed.
func (n *Node) Join(now event.Time, m Member, out *Ready) (bool, error) {
	defer n.finish(out)
	if !n.HasLease(now) {
		return false, ErrNotLeader
	}
	if n.members.isVoter(m.ID) && n.commit >= n.membersIndex {
		return true, nil
	}
	if !has(n.joinRequests, m.ID) {
		n.joinRequests = append(n.joinRequests, m)
	}
	n.changeMembers(now, out)
	return false, nil
}

// changeMembers makes the next single-member change if the previous one is committed.
func (n *Node) changeMembers(now event.Time, out *Ready) {
	if len(n.joinRequests) == 0 || !n.HasLease(now) || n.commit < n.membersIndex {
		return
	}
	next, changed := n.nextMembers(now)
	if !changed {
		return
	}
	n.members = next
	n.membersIndex = n.appendEntry(EntryMembers, encodeMembers(next), out)
	n.updateProgress()
	n.sendAll(now, out)
}

// nextMembers returns the membership after one change towards the join requests: a box first
// becomes a learner; once it has saved all that is committed, its earlier incarnation is removed,
// and then it becomes a voter. Beyond the limit of voters it can only replace an unreachable one.
func (n *Node) nextMembers(now event.Time) (Membership, bool) {
	m := n.members
	n.joinRequests = slices.DeleteFunc(n.joinRequests, func(j Member) bool { return m.isVoter(j.ID) })
	for _, j := range n.joinRequests {
		if !m.Has(j.ID) {
			m.Learners = append(withoutBox(m.Learners, j.ID.Box()), j)
			return m, true
		}
	}
	for _, j := range n.joinRequests {
		if !n.isCaughtUp(now, j.ID) {
			continue
		}
		if old := memberOfBox(m.Voters, j.ID.Box()); old != "" {
			m.Voters = without(m.Voters, old)
			return m, true
		}
		if n.limits.MaxVoters == 0 || len(m.Voters) < n.limits.MaxVoters {
			m.Voters = append(slices.Clone(m.Voters), j)
			m.Learners = without(m.Learners, j.ID)
			return m, true
		}
		if unreachable := n.unreachableVoter(now); unreachable != "" {
			m.Voters = without(m.Voters, unreachable)
			return m, true
		}
	}
	return m, false
}

// isCaughtUp reports whether a learner is reachable and has saved all that is committed.
func (n *Node) isCaughtUp(now event.Time, id ID) bool {
	p := n.progress[id]
	return p != nil && p.match >= n.commit && p.hasReplied && now.Sub(p.lastRepliedSentAt) < MinElectionTimeout
}

// unreachableVoter returns a voter that has not replied for ReplaceAfter; empty if there is none
// or replacement is off.
func (n *Node) unreachableVoter(now event.Time) ID {
	if n.limits.ReplaceAfter == 0 || now.Sub(n.leaderSince) < n.limits.ReplaceAfter {
		return ""
	}
	for _, v := range n.members.Voters {
		p := n.progress[v.ID]
		if v.ID == n.id || p == nil {
			continue
		}
		if now.Sub(max(p.lastRepliedSentAt, n.leaderSince)) > n.limits.ReplaceAfter {
			return v.ID
		}
	}
	return ""
}

// memberOfBox returns the member of list that is an incarnation of box; empty if there is none.
func memberOfBox(list []Member, box event.BoxID) ID {
	for _, m := range list {
		if m.ID.Box() == box {
			return m.ID
		}
	}
	return ""
}

// withoutBox returns a copy of list without any incarnation of box.
func withoutBox(list []Member, box event.BoxID) []Member {
	return slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m.ID.Box() == box })
}
