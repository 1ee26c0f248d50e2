// SPDX-License-Identifier: MIT

package gateway

import (
	"lynxramp.org/event"
	"lynxramp.org/message"
)

// This file is what an entry tells an owner at the beginning of a session: as much with the
// greeting and with each question as a message may have, and the requests that wait for a
// decision as answers come. Thousands of requests or accounts in front of a question would
// take longer than an owner may be silent.

const (
	// waitingBytes bounds the waiting requests in one message: 20 ms of a link of 1.25 MB/s.
	waitingBytes = 24 << 10
	// waitingRest is the most that one takes in a message beside its names and marks, and
	// markBytes the most that a mark of its prompt takes.
	waitingRest = 80
	markBytes   = 9
	// runningBytes bounds the requests in one message: 13 ms of a link of 1.25 MB/s.
	runningBytes = 16 << 10
	// runningRest is the most that a request takes in a message beside its names.
	runningRest = 72
)

// ask asks the owner whether it still is.
func (a *OwnerClient) ask(now event.Time) {
	a.pinged = now
	ping := &message.Ping{Sent: now, Running: a.tellRunning(), Revision: a.revision, Owned: a.owned}
	ping.Has, ping.Spent = a.lent.Changes()
	ping.More = a.lent.HasMore()
	a.send(&message.Envelope{Ping: ping})
}

// tellRunning returns requests that the owner does not know to run, as many as one message
// may have.
func (a *OwnerClient) tellRunning() []message.Running {
	var list []message.Running
	for bytes := 0; len(a.untold) > 0; a.untold = a.untold[1:] {
		r, ok := a.running[a.untold[0]]
		if !ok {
			continue // it has ended since
		}
		told := briefly(r)
		if bytes += runningSize(&told); bytes > runningBytes && len(list) > 0 {
			break
		}
		list = append(list, told)
	}
	return list
}

// briefly returns what an owner must know of a request that runs.
func briefly(r *message.Running) message.Running {
	t := &r.Ticket
	return message.Running{Endpoint: r.Endpoint, Print: r.Print, Ticket: event.Ticket{
		ID: t.ID, Team: t.Team, Rank: t.Rank, Service: t.Service, OutputTokens: t.OutputTokens, Attempt: t.Attempt, Deadline: t.Deadline,
	}}
}

func runningSize(r *message.Running) int {
	return runningRest + len(r.Ticket.ID) + len(r.Ticket.Team) + len(r.Ticket.Service) + len(r.Endpoint)
}

// submitWaiting submits requests that waited when the owner was found, in the order of their
// arrival and as many as one message may have. The answer to a question that follows them
// brings the next ones.
func (a *OwnerClient) submitWaiting(now event.Time) {
	if len(a.unasked) == 0 {
		return
	}
	for bytes := 0; len(a.unasked) > 0 && bytes < waitingBytes; a.unasked = a.unasked[1:] {
		w := a.unasked[0]
		if a.waiting[w.submission.Ticket.ID] != w {
			continue // it is not awaited any more
		}
		bytes += waitingSize(&w.submission)
		a.batch.Submit = append(a.batch.Submit, w.resubmission(now))
	}
	if len(a.unasked) > 0 {
		a.flush()
		a.ask(now)
	}
}

func waitingSize(m *message.Submission) int {
	t := &m.Ticket
	n := waitingRest + len(t.ID) + len(t.Team) + len(t.Service) + len(t.Pool) + len(t.Key) + len(t.DataCentre) + markBytes*len(t.Prefix)
	for _, id := range t.Avoid {
		n += len(id) + 1
	}
	return n
}
