// SPDX-License-Identifier: MIT

package gateway

import (
	"lynxramp.org/event"
	"lynxramp.org/message"
)

// This file builds an entry's messages at the beginning of a session. Thousands of running or waiting requests
// and leases in front of a ping would delay its reply beyond ownerTimeout. So running requests and leases are
// spread over the hello and the pings, and waiting requests follow one message per reply.

const (
	// maxWaitingBytes limits the waiting requests in one message: 20 ms on a link of 1.25 MB/s.
	maxWaitingBytes = 24 << 10
	// waitingOverhead is the most bytes that a waiting request has in a message besides its names and
	// prefix hashes, and prefixHashBytes the most of one prefix hash.
	waitingOverhead = 80
	prefixHashBytes = 9
	// maxRunningBytes limits the running requests in one message: 13 ms on a link of 1.25 MB/s.
	maxRunningBytes = 16 << 10
	partKeyBytes    = 9 // of a part of a prompt in a message
	// runningOverhead is the most bytes that a running request has in a message besides its names.
	runningOverhead = 72
)

// sendPing sends a ping, which asks the owner to confirm that it still owns the pools.
func (a *OwnerClient) sendPing(now event.Time) {
	a.lastPing = now
	a.roundTrip.pingSent(now)
	ping := &message.Ping{Sent: now, Running: a.takeUnreported(), Revision: a.revision, Owned: a.hasOwner, Versions: a.versions.revision}
	ping.Has, ping.Spent = a.leases.Changes()
	ping.More = a.leases.HasMore()
	a.send(&message.Envelope{Ping: ping})
}

// takeUnreported returns running requests that were not reported to the owner yet, as many as fit in one
// message.
func (a *OwnerClient) takeUnreported() []message.Running {
	var list []message.Running
	for bytes := 0; len(a.unreported) > 0; a.unreported = a.unreported[1:] {
		r, ok := a.running[a.unreported[0]]
		if !ok {
			continue // it finished in the meantime
		}
		summary := runningSummary(r)
		if bytes += runningSize(&summary); bytes > maxRunningBytes && len(list) > 0 {
			break
		}
		list = append(list, summary)
	}
	return list
}

// runningSummary returns the fields of a running request that an owner needs.
func runningSummary(r *message.Running) message.Running {
	t := &r.Ticket
	return message.Running{Endpoint: r.Endpoint, Print: r.Print, Parts: r.Parts, Ticket: event.Ticket{
		ID: t.ID, Team: t.Team, Rank: t.Rank, Service: t.Service, OutputTokens: t.OutputTokens, Attempt: t.Attempt, Deadline: t.Deadline,
	}}
}

func runningSize(r *message.Running) int {
	return runningOverhead + len(r.Ticket.ID) + len(r.Ticket.Team) + len(r.Ticket.Service) + len(r.Endpoint) + partKeyBytes*len(r.Parts)
}

// submitWaiting submits the requests that waited when the owner was found, in order of arrival and as many as
// fit in one message. The reply to the ping after them triggers the next message.
func (a *OwnerClient) submitWaiting(now event.Time) {
	if len(a.unsubmitted) == 0 {
		return
	}
	for bytes := 0; len(a.unsubmitted) > 0 && bytes < maxWaitingBytes; a.unsubmitted = a.unsubmitted[1:] {
		w := a.unsubmitted[0]
		if a.waiting[w.submission.Ticket.ID] != w {
			continue // no longer awaited
		}
		bytes += waitingSize(&w.submission)
		m, _ := a.prepare(now, w, w.resubmission(now))
		a.batch.Submit = append(a.batch.Submit, m)
	}
	if len(a.unsubmitted) > 0 {
		a.flush()
		a.sendPing(now)
	}
}

func waitingSize(m *message.Submission) int {
	t := &m.Ticket
	n := waitingOverhead + len(t.ID) + len(t.Team) + len(t.Service) + len(t.Pool) + len(t.Key) + len(t.DataCentre) + len(t.Route) + prefixHashBytes*len(t.Prefix)
	for _, id := range t.Avoid {
		n += len(id) + 1
	}
	return n
}
