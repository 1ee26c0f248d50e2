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
	// maxWaitingBytes bounds the waiting requests in one message: 20 ms of a link of 1.25 MB/s.
	maxWaitingBytes = 24 << 10
	// waitingOverhead is the most that one takes in a message beside its names and marks, and
	// markBytes the most that a mark of its prompt takes.
	waitingOverhead = 80
	prefixHashBytes = 9
	// maxRunningBytes bounds the requests in one message: 13 ms of a link of 1.25 MB/s.
	maxRunningBytes = 16 << 10
	// runningOverhead is the most that a request takes in a message beside its names.
	runningOverhead = 72
)

// ping asks the owner whether it still is.
func (a *OwnerClient) ping(now event.Time) {
	a.lastPing = now
	ping := &message.Ping{Sent: now, Running: a.takeUnreported(), Revision: a.revision, Owned: a.hasOwner}
	ping.Has, ping.Spent = a.leases.Changes()
	ping.More = a.leases.More()
	a.send(&message.Envelope{Ping: ping})
}

// takeUnreported returns requests that the owner does not know to run, as many as one message
// may have.
func (a *OwnerClient) takeUnreported() []message.Running {
	var list []message.Running
	for bytes := 0; len(a.unreported) > 0; a.unreported = a.unreported[1:] {
		r, ok := a.running[a.unreported[0]]
		if !ok {
			continue // it has ended since
		}
		told := runningSummary(r)
		if bytes += runningSize(&told); bytes > maxRunningBytes && len(list) > 0 {
			break
		}
		list = append(list, told)
	}
	return list
}

// runningSummary returns what an owner must know of a request that runs.
func runningSummary(r *message.Running) message.Running {
	t := &r.Ticket
	return message.Running{Endpoint: r.Endpoint, Print: r.Print, Ticket: event.Ticket{
		ID: t.ID, Team: t.Team, Rank: t.Rank, Service: t.Service, OutputTokens: t.OutputTokens, Attempt: t.Attempt, Deadline: t.Deadline,
	}}
}

func runningSize(r *message.Running) int {
	return runningOverhead + len(r.Ticket.ID) + len(r.Ticket.Team) + len(r.Ticket.Service) + len(r.Endpoint)
}

// submitWaiting submits requests that waited when the owner was found, in the order of their
// arrival and as many as one message may have. The answer to a question that follows them
// brings the next ones.
func (a *OwnerClient) submitWaiting(now event.Time) {
	if len(a.unsubmitted) == 0 {
		return
	}
	for bytes := 0; len(a.unsubmitted) > 0 && bytes < maxWaitingBytes; a.unsubmitted = a.unsubmitted[1:] {
		w := a.unsubmitted[0]
		if a.waiting[w.submission.Ticket.ID] != w {
			continue // it is not awaited any more
		}
		bytes += waitingSize(&w.submission)
		a.batch.Submit = append(a.batch.Submit, w.resubmission(now))
	}
	if len(a.unsubmitted) > 0 {
		a.flush()
		a.ping(now)
	}
}

func waitingSize(m *message.Submission) int {
	t := &m.Ticket
	n := waitingOverhead + len(t.ID) + len(t.Team) + len(t.Service) + len(t.Pool) + len(t.Key) + len(t.DataCentre) + prefixHashBytes*len(t.Prefix)
	for _, id := range t.Avoid {
		n += len(id) + 1
	}
	return n
}
