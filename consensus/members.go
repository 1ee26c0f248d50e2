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
	next, changed := n.nextMembers(now)
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
// committed, its old life goes, then it gets its vote. Beyond the limit of voters
// it gets one only in the place of a voter that is dead.
func (n *Node) nextMembers(now event.Time) (Membership, bool) {
	m := n.members
	n.joins = slices.DeleteFunc(n.joins, func(j Member) bool { return m.isVoter(j.ID) })
	for _, j := range n.joins {
		if !m.Has(j.ID) {
			m.Learners = append(withoutBox(m.Learners, j.ID.Box()), j)
			return m, true
		}
	}
	for _, j := range n.joins {
		if !n.isReady(now, j.ID) {
			continue
		}
		if old := lifeOf(m.Voters, j.ID.Box()); old != "" {
			m.Voters = without(m.Voters, old)
			return m, true
		}
		if n.limits.Voters == 0 || len(m.Voters) < n.limits.Voters {
			m.Voters = append(slices.Clone(m.Voters), j)
			m.Learners = without(m.Learners, j.ID)
			return m, true
		}
		if dead := n.deadVoter(now); dead != "" {
			m.Voters = without(m.Voters, dead)
			return m, true
		}
	}
	return m, false
}

// isReady reports whether a learner is alive and has saved all that is committed.
func (n *Node) isReady(now event.Time, id ID) bool {
	p := n.progress[id]
	return p != nil && p.match >= n.commit && p.heard && now.Sub(p.answered) < ElectionMin
}

// deadVoter returns a voter that has not answered for the limits' time; empty if
// all did, or if none has to be replaced.
func (n *Node) deadVoter(now event.Time) ID {
	if n.limits.DeadAfter == 0 || now.Sub(n.ledSince) < n.limits.DeadAfter {
		return ""
	}
	for _, v := range n.members.Voters {
		p := n.progress[v.ID]
		if v.ID == n.id || p == nil {
			continue
		}
		if now.Sub(max(p.answered, n.ledSince)) > n.limits.DeadAfter {
			return v.ID
		}
	}
	return ""
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
