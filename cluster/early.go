// SPDX-License-Identifier: MIT

package cluster

import (
	"maps"
	"slices"

	"lynxramp.org/event"
)

// This file serves entries while the control box is not the owner.

// pendingSession holds the messages of an entry that connected while no leader was known. Redirecting
// such entries at once would make hundreds of them retry box after box, every 60 ms, during an election.
type pendingSession struct {
	receivedAt event.Time
	opened     *SessionOpened
	pings      []*PingReceived
}

// pendingSessionTimeout is how long a pending session is kept: most of the time of an election, but short enough
// that an entry loses little time at a box that is cut off from the group.
const pendingSessionTimeout = 250 * event.Millisecond

// stepSession applies messages of entries while this box is not the owner: it redirects them to the
// leader, or queues them while no leader is known.
func (s *State) stepSession(now event.Time, e Event, out *Effects) {
	switch e := e.(type) {
	case *SessionOpened:
		if s.node.Leader() == "" || s.node.Leader() == s.node.ID() {
			s.pendingSessions[e.Session] = &pendingSession{receivedAt: now, opened: e}
			return
		}
		s.redirect(e.Session, out)
	case *PingReceived:
		if pending, ok := s.pendingSessions[e.Session]; ok {
			pending.pings = append(pending.pings, e)
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

// openPendingSessions opens the queued sessions when this box becomes the owner.
func (s *State) openPendingSessions(now event.Time, out *Effects) {
	for _, id := range slices.Sorted(maps.Keys(s.pendingSessions)) {
		pending := s.pendingSessions[id]
		s.owner.step(now, pending.opened, s, out)
		for _, p := range pending.pings {
			s.owner.step(now, p, s, out)
		}
	}
	clear(s.pendingSessions)
}

// redirectPendingSessions redirects queued sessions to the leader once it is known, and those that
// timed out to any other member.
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
