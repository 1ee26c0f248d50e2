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

// Times of runs.
const (
	// unclearFor is how long a run is kept that told nothing of its request, or whose time is
	// over: an endpoint that ended under it is found silent, or followed by another, within it.
	unclearFor = 10 * event.Second
	sweepEvery = 5 * event.Second
)

// run is a call that was granted. Who asked for it may die with what it saw: if the endpoint is
// then found to have ended, it is taken to have ended under the run.
type run struct {
	print    poison.Print
	endpoint event.EndpointID
	attempt  int
	began    event.Time
	over     event.Time // 0 while it is under way
	until    event.Time // it is kept
}

// began takes note of a grant.
func (s *State) began(now event.Time, m *message.Submission, endpoint event.EndpointID) {
	t := &m.Ticket
	s.poison.Granted(t.ID, endpoint)
	s.keepRun(t.ID, &run{print: m.Print, endpoint: endpoint, attempt: t.Attempt, began: now, until: now.Add(t.Deadline + unclearFor)})
}

func (s *State) keepRun(id event.RequestID, r *run) {
	if r.print != "" {
		s.runs[id] = r
	}
}

// ended takes note that a run is over; it is kept if it is unclear what came of it.
func (s *State) ended(now event.Time, f *message.Finish) {
	r, ok := s.runs[f.ID]
	switch {
	case !ok:
	case f.Unsent, f.Ran != message.RanUnclear:
		delete(s.runs, f.ID)
	default:
		r.over, r.until = now, now.Add(unclearFor)
	}
}

// Fallen takes in that endpoints have ended or are silent, with when each was last heard: what
// ran there since is taken to have ended with it.
func (s *State) Fallen(now event.Time, heard map[event.EndpointID]event.Time, out *event.Effects) {
	var ids []event.RequestID
	for id, r := range s.runs {
		if at, ok := heard[r.endpoint]; ok && (r.over == 0 || r.over >= at) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	var ends []poison.End
	for _, id := range ids {
		r := s.runs[id]
		ends = append(ends, poison.End{Print: r.print, Endpoint: r.endpoint, Request: id, Attempt: r.attempt, Ran: now.Sub(r.began)})
	}
	s.Ended(now, ends, out)
}

// sweepRuns forgets runs whose time is over.
func (s *State) sweepRuns(now event.Time) {
	if now < s.sweepAt {
		return
	}
	s.sweepAt = now.Add(sweepEvery)
	maps.DeleteFunc(s.runs, func(_ event.RequestID, r *run) bool { return now >= r.until })
}

// queued returns the calls of requests that wait for an endpoint, oldest first.
func (s *State) queued(prints []poison.Print) []*counted {
	wanted := make(map[poison.Print]bool, len(prints))
	for _, p := range prints {
		wanted[p] = true
	}
	var list []*counted
	for _, c := range s.counted {
		if !c.granted && wanted[c.submission.Print] {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(c, d *counted) int {
		return cmp.Or(cmp.Compare(c.at, d.at), cmp.Compare(c.submission.Ticket.ID, d.submission.Ticket.ID))
	})
	return list
}
