// SPDX-License-Identifier: MIT

package cluster

import (
	"maps"
	"slices"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
)

// This file is what a control box does with entries while it is not the owner.

// earlySession is what an entry said that came while no leader was known. It is kept for a
// while until one is: hundreds of entries that are sent away try box after box, after 60 ms
// each, while the same boxes hold an election.
type earlySession struct {
	came   event.Time
	began  *SessionBegan
	pinged []*SessionPinged
}

// earlyPatience is how long an entry is kept that came while no leader was in reach: most of
// an election, and not so long that an entry loses much at a box that is cut off.
const earlyPatience = 250 * event.Millisecond

// unheard is how long a leader may say nothing before entries are not sent to it any more: some more than
// two of its heartbeats.
const unheard = 2*consensus.HeartbeatEvery + 60*event.Millisecond

// leaderInReach returns the leader that entries may be sent to: another box that leads, has a connection to this
// one and was heard a moment ago. A box takes a leader for one until an election, 0.4 s after it was
// killed; entries that were sent to it meanwhile came back by turns of up to 0.2 s, and found the next owner
// that much later. It is worth +0.005 on a day of 385 entries whose owner is killed (two pairs of plays).
func (s *State) leaderInReach(now event.Time) consensus.ID {
	id := s.node.Leader()
	if id == "" || id == s.node.ID() || now.Sub(s.node.HeardLeader()) > unheard {
		return ""
	}
	if p, ok := s.levels.peers[id.Box()]; ok && len(p.links) == 0 {
		return ""
	}
	return id
}

// stepSession takes what entries say while this box is not the owner: it sends them on to
// the leader, and keeps those that come while there is none in reach.
func (s *State) stepSession(now event.Time, e Event, out *Effects) {
	switch e := e.(type) {
	case *SessionBegan:
		if s.leaderInReach(now) == "" {
			s.early[e.Session] = &earlySession{came: now, began: e}
			return
		}
		s.redirect(now, e.Session, out)
	case *SessionPinged:
		if one, ok := s.early[e.Session]; ok {
			one.pinged = append(one.pinged, e)
			return
		}
		s.redirect(now, e.Session, out)
	case *SessionTold:
		s.redirect(now, e.Session, out)
	case *SessionWanted:
		s.redirect(now, e.Session, out)
	case *SessionEnded:
		delete(s.early, e.Session)
	}
}

// takeEarly begins the sessions that came before this box owned the pools.
func (s *State) takeEarly(now event.Time, out *Effects) {
	for _, id := range slices.Sorted(maps.Keys(s.early)) {
		one := s.early[id]
		s.owner.step(now, one.began, s, out)
		for _, p := range one.pinged {
			s.owner.step(now, p, s, out)
		}
	}
	clear(s.early)
}

// sendEarlyOn sends the entries that came early to the leader that is known now, and those
// that have waited for one long enough to any other box.
func (s *State) sendEarlyOn(now event.Time, out *Effects) {
	known := s.leaderInReach(now) != ""
	for _, id := range slices.Sorted(maps.Keys(s.early)) {
		if known || now.Sub(s.early[id].came) > earlyPatience {
			delete(s.early, id)
			s.redirect(now, id, out)
		}
	}
}
