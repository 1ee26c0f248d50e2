// SPDX-License-Identifier: MIT

package cluster

import (
	"maps"
	"slices"

	"lynxramp.org/event"
)

// This file is what a control box does with entries while it is not the owner.

// pendingSession is what an entry said that came while no leader was known. It is kept for a
// while until one is: hundreds of entries that are sent away try box after box, after 60 ms
// each, while the same boxes hold an election.
type pendingSession struct {
	receivedAt   event.Time
	opened  *SessionOpened
	pings []*PingReceived
}

// pendingSessionTimeout is how long an entry is kept that came while no leader was known: most of
// an election, and not so long that an entry loses much at a box that is cut off.
const pendingSessionTimeout = 250 * event.Millisecond

// stepSession takes what entries say while this box is not the owner: it sends them on to
// the leader, and keeps those that come while there is none.
func (s *State) stepSession(now event.Time, e Event, out *Effects) {
	switch e := e.(type) {
	case *SessionOpened:
		if s.node.Leader() == "" || s.node.Leader() == s.node.ID() {
			s.pendingSessions[e.Session] = &pendingSession{receivedAt: now, opened: e}
			return
		}
		s.redirect(e.Session, out)
	case *PingReceived:
		if one, ok := s.pendingSessions[e.Session]; ok {
			one.pings = append(one.pings, e)
			return
		}
		s.redirect(e.Session, out)
	case *BatchReceived:
		s.redirect(e.Session, out)
	case *NodesRequested:
		s.redirect(e.Session, out)
	case *SessionClosed:
		delete(s.pendingSessions, e.Session)
	}
}

// openPendingSessions begins the sessions that came before this box owned the pools.
func (s *State) openPendingSessions(now event.Time, out *Effects) {
	for _, id := range slices.Sorted(maps.Keys(s.pendingSessions)) {
		one := s.pendingSessions[id]
		s.owner.step(now, one.opened, s, out)
		for _, p := range one.pings {
			s.owner.step(now, p, s, out)
		}
	}
	clear(s.pendingSessions)
}

// redirectPendingSessions sends the entries that came early to the leader that is known now, and those
// that have waited for one long enough to any other box.
func (s *State) redirectPendingSessions(now event.Time, out *Effects) {
	leader := s.node.Leader()
	known := leader != "" && leader != s.node.ID()
	for _, id := range slices.Sorted(maps.Keys(s.pendingSessions)) {
		if known || now.Sub(s.pendingSessions[id].receivedAt) > pendingSessionTimeout {
			delete(s.pendingSessions, id)
			s.redirect(id, out)
		}
	}
}
