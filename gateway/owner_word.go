// SPDX-License-Identifier: MIT

package gateway

import (
	"lynxramp.org/event"
	"lynxramp.org/message"
)

// This file is what an entry tells an owner at the beginning of a session: as much with the
// greeting and with each question as a message may have. Thousands of requests or accounts
// in front of the first question would take longer than an owner may be silent.

const (
	// runningBytes bounds the requests in one message: 13 ms of a link of 1.25 MB/s.
	runningBytes = 16 << 10
	// runningRest is the most that a request takes in a message beside its names.
	runningRest = 40
)

// ask asks the owner whether it still is.
func (a *OwnerClient) ask(now event.Time) {
	a.pinged = now
	ping := &message.Ping{Sent: now, Running: a.tellRunning(), Revision: a.revision}
	ping.Has, ping.Spent = a.lent.Changes()
	ping.More = a.lent.More()
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
	return message.Running{Endpoint: r.Endpoint, Ticket: event.Ticket{
		ID: t.ID, Team: t.Team, Rank: t.Rank, Service: t.Service, OutputTokens: t.OutputTokens,
	}}
}

func runningSize(r *message.Running) int {
	return runningRest + len(r.Ticket.ID) + len(r.Ticket.Team) + len(r.Ticket.Service) + len(r.Endpoint)
}
