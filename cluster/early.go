// SPDX-License-Identifier: MIT

package cluster

import (
	"maps"
	"slices"

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

// earlyPatience is how long an entry is kept that came while no leader was known: most of
// an election, and not so long that an entry loses much at a box that is cut off.
const earlyPatience = 250 * event.Millisecond

// stepSession takes what entries say while this box is not the owner: it sends them on to
// the leader, and keeps those that come while there is none.
func (s *State) stepSession(now event.Time, e Event, out *Effects) {
	switch e := e.(type) {
	case *SessionBegan:
		if s.node.Leader() == "" || s.node.Leader() == s.node.ID() {
			s.early[e.Session] = &earlySession{came: now, began: e}
			return
		}
		s.redirect(e.Session, out)
	case *SessionPinged:
		if one, ok := s.early[e.Session]; ok {
			one.pinged = append(one.pinged, e)
			return
		}
		s.redirect(e.Session, out)
	case *SessionTold:
		s.redirect(e.Session, out)
	case *SessionWanted:
		s.redirect(e.Session, out)
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
	leader := s.node.Leader()
	known := leader != "" && leader != s.node.ID()
	for _, id := range slices.Sorted(maps.Keys(s.early)) {
		if known || now.Sub(s.early[id].came) > earlyPatience {
			delete(s.early, id)
			s.redirect(id, out)
		}
	}
}
