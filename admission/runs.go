// SPDX-License-Identifier: MIT

package admission

import (
	"cmp"
	"maps"
	"slices"

	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/poison"
)

// Retention of runs.
const (
	// inconclusiveRunTTL is how long a run is kept after an unclear outcome or its deadline. An endpoint that
	// terminated during the run is found unreachable, or replaced, within it.
	inconclusiveRunTTL = 10 * event.Second
	sweepInterval      = 5 * event.Second
)

// run is a granted call. If its endpoint is found to have terminated, the run counts as a termination
// even if the entry terminated too and cannot report it.
type run struct {
	fingerprint poison.Fingerprint
	endpoint    event.EndpointID
	attempt     int
	startedAt   event.Time
	finishedAt  event.Time // 0 while in progress
	keptUntil   event.Time
}

// recordGrant records a granted call.
func (s *State) recordGrant(now event.Time, m *message.Submission, endpoint event.EndpointID) {
	t := &m.Ticket
	s.poison.RecordGrant(t.ID, endpoint)
	s.addRun(t.ID, &run{fingerprint: m.Print, endpoint: endpoint, attempt: t.Attempt, startedAt: now, keptUntil: now.Add(t.Deadline + inconclusiveRunTTL)})
}

func (s *State) addRun(id event.RequestID, r *run) {
	if r.fingerprint != "" {
		s.runs[id] = r
	}
}

// recordRunEnd records that a run finished; it is kept if its outcome is unclear.
func (s *State) recordRunEnd(now event.Time, f *message.Finish) {
	r, ok := s.runs[f.ID]
	switch {
	case !ok:
	case f.Unsent, f.Ran != message.OutcomeUnknown:
		delete(s.runs, f.ID)
	default:
		r.finishedAt, r.keptUntil = now, now.Add(inconclusiveRunTTL)
	}
}

// EndpointsLost records that endpoints terminated or became unreachable, with the time when each was
// last seen. Runs that were in progress then, or started since, count as terminations.
func (s *State) EndpointsLost(now event.Time, lastSeen map[event.EndpointID]event.Time, out *event.Effects) {
	var ids []event.RequestID
	for id, r := range s.runs {
		if at, ok := lastSeen[r.endpoint]; ok && (r.finishedAt == 0 || r.finishedAt >= at) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	var terminations []poison.Termination
	for _, id := range ids {
		r := s.runs[id]
		terminations = append(terminations, poison.Termination{Print: r.fingerprint, Endpoint: r.endpoint, Request: id, Attempt: r.attempt, Ran: now.Sub(r.startedAt)})
	}
	s.RecordTerminations(now, terminations, out)
}

// sweepRuns removes expired runs.
func (s *State) sweepRuns(now event.Time) {
	if now < s.sweepAt {
		return
	}
	s.sweepAt = now.Add(sweepInterval)
	maps.DeleteFunc(s.runs, func(_ event.RequestID, r *run) bool { return now >= r.keptUntil })
}

// queuedCalls returns the calls of requests that are queued for an endpoint, oldest first.
func (s *State) queuedCalls(fingerprints []poison.Fingerprint) []*charge {
	wanted := make(map[poison.Fingerprint]bool, len(fingerprints))
	for _, p := range fingerprints {
		wanted[p] = true
	}
	var list []*charge
	for _, c := range s.charges {
		if !c.granted && wanted[c.submission.Print] {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, compareCharges)
	return list
}

// compareCharges orders charges by their time.
func compareCharges(c, d *charge) int {
	return cmp.Or(cmp.Compare(c.chargedAt, d.chargedAt), cmp.Compare(c.submission.Ticket.ID, d.submission.Ticket.ID))
}
