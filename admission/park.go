// SPDX-License-Identifier: MIT

package admission

import (
	"lynxramp.org/budget"
	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/poison"
)

// quotaWaitDivisor bounds how long a request may wait for its team's quota, to target/quotaWaitDivisor. If
// the quota will not be available by then, the request is refused at once.
const quotaWaitDivisor = 5

// recordTimeout is the minimum time that a request waits for a pending record of budgets to be
// committed, however long it has waited before. A commit takes some 5 ms, and ten times that on
// slow disks.
const recordTimeout = 150 * event.Millisecond

// deferredRequest is a request that waits for its team's quota, or for the outcome of another run.
type deferredRequest struct {
	entry      event.BoxID
	submission message.Submission
	queuedAt   event.Time
	until      event.Time
	why        event.Reason // of a refusal for a poison request
}

// parkOrRefuse queues a request whose quota will be available soon, and refuses any other with the time
// when it will be. Without an owner every request is queued as long as it can meet its target: a leased
// share of a quota is often less than one long prompt, and a new owner is usually elected in time. 22
// entries that refused them at once refused 132 of 184 long requests while an owner was lost for 2 s.
func (s *State) parkOrRefuse(now event.Time, entry event.BoxID, m *message.Submission, out *event.Effects) {
	// Time that it waited before, also with another scheduler, is subtracted.
	timeout := (m.Ticket.Target+m.Ticket.Waited)/quotaWaitDivisor - m.Ticket.Waited
	switch available := s.quotaAvailableIn(now, m); {
	case s.budget.IsLeased() && s.quotaOf(m.Ticket.Team) != nil:
		timeout = remainingQueueTimeout(&m.Ticket)
	case available == 0:
		timeout = max(timeout, recordTimeout)
	case available > timeout:
		s.refuseQuota(now, entry, m, out)
		return
	}
	s.parked = append(s.parked, deferredRequest{
		entry: entry, submission: *m, queuedAt: now, until: now.Add(timeout),
	})
}

// remainingQueueTimeout returns how much longer a request may wait. Time it waited before, also with another
// scheduler, is subtracted.
func remainingQueueTimeout(t *event.Ticket) event.Duration {
	if t.Patience == 0 {
		return t.Target
	}
	return t.Patience - t.Waited
}

func (s *State) refuseQuota(now event.Time, entry event.BoxID, m *message.Submission, out *event.Effects) {
	s.poison.RecordUnsent(m.Ticket.ID)
	out.Refusals = append(out.Refusals, event.Refused{
		Entry: entry, ID: m.Ticket.ID, Reason: event.ReasonQuota, RetryAfter: max(minQuotaRetryAfter, s.quotaAvailableIn(now, m)),
		Inputs: s.quotaInputs(now, m.Ticket.Team),
	})
}

// quotaAvailableIn returns how long it takes until a team's quota suffices for a request.
func (s *State) quotaAvailableIn(now event.Time, m *message.Submission) event.Duration {
	if s.quotaOf(m.Ticket.Team) == nil {
		return 0
	}
	return s.budget.AvailableIn(now, budget.Team(m.Ticket.Team), m.Quota)
}

// Unpark retries the requests that wait for a quota, oldest first.
func (s *State) Unpark(now event.Time, out *event.Effects) {
	waiting := s.parked
	s.parked = nil
	for _, p := range waiting {
		m := afterWait(&p.submission, now.Sub(p.queuedAt))
		verdict, _, _ := s.poisonVerdict(now, p.entry, &m)
		switch {
		case verdict != poison.Allow:
			s.checkAndAdmit(now, p.entry, &m, out) // it was serialized in the meantime
		case s.spendQuota(now, p.entry, m.Ticket.Team, m.Quota):
			s.admit(now, p.entry, &m, out)
		case now >= p.until:
			s.refuseQuota(now, p.entry, &p.submission, out)
		default:
			s.parked = append(s.parked, p)
		}
	}
}

// quotaInputs returns the amount that a team has spent and its limit, for the log.
func (s *State) quotaInputs(now event.Time, name string) event.Inputs {
	spent, limit := s.budget.Usage(now, budget.Team(name))
	return event.Inputs{Spent: spent, Limit: limit}
}
