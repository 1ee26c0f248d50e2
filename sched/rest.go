// SPDX-License-Identifier: MIT

package sched

import (
	"maps"

	"lynxramp.org/event"
)

// This file is how a pool keeps rests: for a while an endpoint wants nothing of one entry. The load that it
// answers is an endpoint that turns away what one entry sends: that entry's requests go to others, wait if a
// rest is over in time, and are refused at once with its end if none is.

// startCooldown takes what an endpoint asked of an entry.
func (s *State) startCooldown(now event.Time, r *event.Rested) {
	e, ok := s.byID[r.Endpoint]
	if !ok {
		return
	}
	if e.cooldowns == nil {
		e.cooldowns = make(map[event.BoxID]event.Time)
	}
	e.cooldowns[r.Entry] = max(e.cooldowns[r.Entry], now.Add(r.For))
	s.refreshView(now, e)
}

// expireCooldowns forgets the rests of an endpoint that are over.
func (e *endpoint) expireCooldowns(now event.Time) {
	maps.DeleteFunc(e.cooldowns, func(_ event.BoxID, until event.Time) bool { return now >= until })
}

// dropCooldowns forgets what endpoints asked of an entry.
func (s *State) dropCooldowns(now event.Time, entry event.BoxID) {
	if s.cooldownEndpoints == 0 {
		return
	}
	for _, e := range s.endpoints {
		if _, ok := e.cooldowns[entry]; ok {
			delete(e.cooldowns, entry)
			s.refreshView(now, e)
		}
	}
}

// inCooldownFor reports whether an endpoint that isResting wants nothing of an entry now.
func (v *view) inCooldownFor(now event.Time, entry event.BoxID) bool {
	return now < v.endpoint.cooldowns[entry]
}

// capacityInCooldown returns how many of some places are left to the entries that are not asked for rest.
func (s *State) capacityInCooldown(e *endpoint, places int) int {
	entries := max(len(s.entries), len(e.cooldowns))
	return places * (entries - len(e.cooldowns)) / entries
}

// cooldownEnd returns when the first endpoint takes requests of a ticket's entry again; false if one does now, or
// none serves.
func (s *State) cooldownEnd(now event.Time, k *ticket) (end event.Time, all bool) {
	for i := range s.views {
		v := &s.views[i]
		if v.capacity == 0 && !v.hasCooldowns || k.avoids(v.endpoint) || !v.endpoint.isAvailable(now) {
			continue
		}
		until := v.endpoint.cooldowns[k.entry]
		if now >= until {
			return 0, false
		}
		if !all || until < end {
			end, all = until, true
		}
	}
	return end, all
}

// refuseInCooldown refuses a request whose entry all endpoints ask for rest, and for longer than it may wait.
func (s *State) refuseInCooldown(now event.Time, k *ticket, out *event.Effects) bool {
	end, all := s.cooldownEnd(now, k)
	if !all || end <= k.waitDeadline() {
		return false
	}
	wait := end.Sub(now)
	s.refuseWithRetry(now, k, event.ReasonRest, s.addJitter(wait), out)
	return true
}

// waitDeadline returns the end of a ticket's patience.
func (k *ticket) waitDeadline() event.Time {
	if k.Patience == 0 {
		return k.deadline
	}
	return k.arrived.Add(k.Patience - k.Waited)
}

// refuseAllInCooldown refuses what waits of entries that all endpoints ask for rest. Those of one entry that avoid
// no endpoint are alike but for their patience.
func (s *State) refuseAllInCooldown(now event.Time, out *event.Effects) {
	if s.cooldownEndpoints == 0 {
		return
	}
	isRested := make(map[event.BoxID]bool)
	for _, k := range s.waitingByArrival() {
		rested, seen := isRested[k.entry]
		if !seen || len(k.Avoid) > 0 {
			_, rested = s.cooldownEnd(now, k)
		}
		if len(k.Avoid) == 0 {
			isRested[k.entry] = rested
		}
		if rested {
			s.refuseInCooldown(now, k, out)
		}
	}
}
