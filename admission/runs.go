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
	parts       []poison.Fingerprint // of its prompt
	// begunAt is when its response began; 0 before.
	begunAt    event.Time
	startedAt  event.Time
	finishedAt event.Time // 0 while in progress
	keptUntil  event.Time
	isLost     bool // its endpoint terminated
}

// recordGrant records a granted call.
func (s *State) recordGrant(now event.Time, m *message.Submission, endpoint event.EndpointID) {
	t := &m.Ticket
	s.poison.RecordGrant(t.ID, endpoint)
	s.addRun(t.ID, &run{fingerprint: m.Print, parts: m.Parts, endpoint: endpoint, attempt: t.Attempt, startedAt: now, keptUntil: now.Add(t.Deadline + inconclusiveRunTTL)})
}

func (s *State) addRun(id event.RequestID, r *run) {
	if r.fingerprint != "" || len(r.parts) > 0 {
		s.runs[id] = r
	}
}

// begunRun is a run whose response began.
type begunRun struct {
	id event.RequestID
	at event.Time
	*run
}

// unansweredParts returns the parts of a run whose response had not begun, or only just, at a time.
func (r *run) unansweredParts(at event.Time) []poison.Fingerprint {
	if r.begunAt != 0 && r.begunAt.Add(poison.BeginGrace) <= at {
		return nil
	}
	return r.parts
}

// recordBegin records that the response of a run began. Its parts are cleared once its endpoint has survived that.
func (s *State) recordBegin(now event.Time, id event.RequestID) {
	r, ok := s.runs[id]
	if !ok {
		return
	}
	s.recordResponse(now, r.endpoint)
	if r.begunAt == 0 && len(r.parts) > 0 {
		s.begun = append(s.begun, begunRun{id, now, r})
	}
	r.begunAt = now
}

// clearBegun clears the parts of runs that outlived the beginning of their responses.
func (s *State) clearBegun(now event.Time) {
	n := 0
	for ; n < len(s.begun) && now >= s.begun[n].at.Add(poison.BeginGrace); n++ {
		if !s.begun[n].isLost {
			s.poison.Parts().RecordSuccess(now, s.begun[n].parts)
		}
	}
	s.begun = slices.Delete(s.begun, 0, n)
}

// partsOf returns the parts of a run; nil if it is unknown.
func (s *State) partsOf(id event.RequestID) []poison.Fingerprint {
	if r, ok := s.runs[id]; ok {
		return r.parts
	}
	return nil
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
		terminations = append(terminations, poison.Termination{Print: r.fingerprint, Endpoint: r.endpoint, Request: id, Attempt: r.attempt, Ran: now.Sub(r.startedAt), Parts: r.unansweredParts(lastSeen[r.endpoint])})
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
		isWanted := wanted[c.submission.Print] || slices.ContainsFunc(c.submission.Parts, func(p poison.Fingerprint) bool { return wanted[p] })
		if !c.granted && isWanted {
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
