// SPDX-License-Identifier: MIT

package sched

import (
	"maps"

	"lynxramp.org/event"
)

// This file is how a pool keeps rests: for a while an endpoint wants nothing of one entry. The load that it
// answers is an endpoint that turns away what one entry sends: that entry's requests go to others, wait if a
// rest is over in time, and are refused at once with its end if none is.

// rest takes what an endpoint asked of an entry.
func (s *State) rest(now event.Time, r *event.Rested) {
	e, ok := s.byID[r.Endpoint]
	if !ok {
		return
	}
	if e.rests == nil {
		e.rests = make(map[event.BoxID]event.Time)
	}
	e.rests[r.Entry] = max(e.rests[r.Entry], now.Add(r.For))
	s.refresh(now, e)
}

// endRests forgets the rests of an endpoint that are over.
func (e *endpoint) endRests(now event.Time) {
	maps.DeleteFunc(e.rests, func(_ event.BoxID, until event.Time) bool { return now >= until })
}

// dropRests forgets what endpoints asked of an entry.
func (s *State) dropRests(now event.Time, entry event.BoxID) {
	if s.resting == 0 {
		return
	}
	for _, e := range s.endpoints {
		if _, ok := e.rests[entry]; ok {
			delete(e.rests, entry)
			s.refresh(now, e)
		}
	}
}

// restsFrom reports whether an endpoint that isResting wants nothing of an entry now.
func (v *view) restsFrom(now event.Time, entry event.BoxID) bool {
	return now < v.endpoint.rests[entry]
}

// restedPlaces returns how many of some places are left to the entries that are not asked for rest.
func (s *State) restedPlaces(e *endpoint, places int) int {
	entries := max(len(s.entries), len(e.rests))
	return places * (entries - len(e.rests)) / entries
}

// restEnd returns when the first endpoint takes requests of a ticket's entry again; false if one does now, or
// none serves.
func (s *State) restEnd(now event.Time, k *ticket) (end event.Time, all bool) {
	for i := range s.views {
		v := &s.views[i]
		if v.places == 0 && !v.isResting || k.avoids(v.endpoint) || !v.endpoint.serves(now) {
			continue
		}
		until := v.endpoint.rests[k.entry]
		if now >= until {
			return 0, false
		}
		if !all || until < end {
			end, all = until, true
		}
	}
	return end, all
}

// refuseRested refuses a request whose entry all endpoints ask for rest, and for longer than it may wait.
func (s *State) refuseRested(now event.Time, k *ticket, out *event.Effects) bool {
	end, all := s.restEnd(now, k)
	if !all || end <= k.waitsUntil() {
		return false
	}
	wait := end.Sub(now)
	s.refuseFor(now, k, event.ReasonRest, s.spread(wait), out)
	return true
}

// waitsUntil returns the end of a ticket's patience.
func (k *ticket) waitsUntil() event.Time {
	if k.Patience == 0 {
		return k.deadline
	}
	return k.arrived.Add(k.Patience - k.Waited)
}

// refuseAllRested refuses what waits of entries that all endpoints ask for rest. Those of one entry that avoid
// no endpoint are alike but for their patience.
func (s *State) refuseAllRested(now event.Time, out *event.Effects) {
	if s.resting == 0 {
		return
	}
	isRested := make(map[event.BoxID]bool)
	for _, k := range s.inOrder() {
		rested, seen := isRested[k.entry]
		if !seen || len(k.Avoid) > 0 {
			_, rested = s.restEnd(now, k)
		}
		if len(k.Avoid) == 0 {
			isRested[k.entry] = rested
		}
		if rested {
			s.refuseRested(now, k, out)
		}
	}
}
