// SPDX-License-Identifier: MIT

package sched

import (
	"maps"

	"lynxramp.org/event"
)

// This file implements cooldowns: an endpoint asks one entry to send nothing for a while. The entry's requests go
// to other endpoints, wait if a cooldown ends soon, and are refused at once if none does.

// startCooldown records a cooldown that an endpoint asked of an entry.
func (s *State) startCooldown(now event.Time, r *event.CooldownRequested) {
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

// expireCooldowns removes an endpoint's expired cooldowns.
func (e *endpoint) expireCooldowns(now event.Time) {
	maps.DeleteFunc(e.cooldowns, func(_ event.BoxID, until event.Time) bool { return now >= until })
}

// dropCooldowns removes all cooldowns of an entry.
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

// inCooldownFor reports whether the endpoint accepts nothing from an entry now.
func (v *view) inCooldownFor(now event.Time, entry event.BoxID) bool {
	return now < v.endpoint.cooldowns[entry]
}

// capacityOutsideCooldown returns the capacity units that are available to entries not in cooldown.
func (s *State) capacityOutsideCooldown(e *endpoint, units int) int {
	entries := max(len(s.entries), len(e.cooldowns))
	return units * (entries - len(e.cooldowns)) / entries
}

// cooldownEnd returns when the first available endpoint accepts requests of a ticket's entry again. all is false
// if one accepts them now or none is available.
func (s *State) cooldownEnd(now event.Time, k *ticket) (end event.Time, all bool) {
	for i := range s.views {
		v := &s.views[i]
		if v.capacityUnits == 0 && !v.hasCooldowns || k.avoids(v.endpoint) || !v.endpoint.isAvailable(now) {
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

// refuseInCooldown refuses a request if its entry is in cooldown at all endpoints for longer than the request may
// wait, and reports whether it did.
func (s *State) refuseInCooldown(now event.Time, k *ticket, out *event.Effects) bool {
	end, all := s.cooldownEnd(now, k)
	if !all || end <= k.latestCooldownEnd() {
		return false
	}
	wait := end.Sub(now)
	s.refuseWithRetry(now, k, event.ReasonCooldown, s.addJitter(wait), out)
	return true
}

// latestCooldownEnd returns until when a request waits for the end of a cooldown: for half of its queue timeout. The
// endpoint may reject it again, and the rest is for another attempt, or for a refusal while the caller still has time.
func (k *ticket) latestCooldownEnd() event.Time {
	return k.arrived.Add(k.queueDeadline().Sub(k.arrived) / 2)
}

// queueDeadline returns when a ticket's queue timeout ends.
func (k *ticket) queueDeadline() event.Time {
	if k.Patience == 0 {
		return k.deadline
	}
	return k.arrived.Add(k.Patience - k.Waited)
}

// refuseAllInCooldown refuses the waiting requests whose cooldowns end too late. Requests of one entry without
// endpoints to avoid or a version share one lookup, because they differ only in their timeouts.
func (s *State) refuseAllInCooldown(now event.Time, out *event.Effects) {
	if s.cooldownEndpoints == 0 {
		return
	}
	inCooldown := make(map[event.BoxID]bool)
	for _, k := range s.waitingByArrival() {
		cooling, seen := inCooldown[k.entry]
		isOrdinary := len(k.Avoid) == 0 && !k.Bound
		if !seen || !isOrdinary {
			_, cooling = s.cooldownEnd(now, k)
		}
		if isOrdinary {
			inCooldown[k.entry] = cooling
		}
		if cooling {
			s.refuseInCooldown(now, k, out)
		}
	}
}
