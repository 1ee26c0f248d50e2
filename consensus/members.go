// SPDX-License-Identifier: MIT

package consensus

import (
	"slices"

	"lynxramp.org/event"
)

// Join asks the leader to take a box in as a member, in place of any earlier
// life of the same box. It reports whether that has been done.
func (n *Node) Join(now event.Time, m Member, out *Ready) (bool, error) {
	defer n.finish(out)
	if !n.HasLease(now) {
		return false, ErrNotLeader
	}
	if n.members.isVoter(m.ID) && n.commit >= n.membersAt {
		return true, nil
	}
	if !has(n.joins, m.ID) {
		n.joins = append(n.joins, m)
	}
	n.changeMembers(now, out)
	return false, nil
}

// changeMembers makes the next single change, if the last one is committed.
func (n *Node) changeMembers(now event.Time, out *Ready) {
	if len(n.joins) == 0 || !n.HasLease(now) || n.commit < n.membersAt {
		return
	}
	next, changed := n.nextMembers()
	if !changed {
		return
	}
	n.members = next
	n.membersAt = n.add(EntryMembers, encodeMembers(next), out)
	n.trackMembers()
	n.sendAll(now, out)
}

// nextMembers returns the members after one change towards what the joining
// boxes ask for: first a learner, then, once it has saved all that is
// committed, its old life goes, then it gets its vote.
func (n *Node) nextMembers() (Membership, bool) {
	m := n.members
	for _, j := range n.joins {
		if m.isVoter(j.ID) {
			n.joins = without(n.joins, j.ID)
			return m, false
		}
		if !m.Has(j.ID) {
			m.Learners = append(withoutBox(m.Learners, j.ID.Box()), j)
			return m, true
		}
		p := n.progress[j.ID]
		if p == nil || p.match < n.commit {
			continue
		}
		if old := lifeOf(m.Voters, j.ID.Box()); old != "" {
			m.Voters = without(m.Voters, old)
			return m, true
		}
		m.Voters = append(slices.Clone(m.Voters), j)
		m.Learners = without(m.Learners, j.ID)
		return m, true
	}
	return m, false
}

// lifeOf returns the member of a list that is a life of a box; empty if none is.
func lifeOf(list []Member, box event.BoxID) ID {
	for _, m := range list {
		if m.ID.Box() == box {
			return m.ID
		}
	}
	return ""
}

// withoutBox returns list less the lives of a box.
func withoutBox(list []Member, box event.BoxID) []Member {
	return slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m.ID.Box() == box })
}
