// SPDX-License-Identifier: MIT

package admission

import (
	"lynxramp.org/budget"
	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/worth"
)

// parked is a request that waits for its team's quota to have room.
type parked struct {
	entry      event.BoxID
	submission message.Submission
	arrived    event.Time
}

// age brings what the request's submission says of time up to now.
func (p *parked) age(now event.Time) {
	waited := now.Sub(p.arrived)
	p.submission.Ticket.Waited += waited
	p.submission.Ticket.Deadline -= waited
	p.arrived = now
}

// againUnknown is the chance taken for a caller beyond its team's quota to be served when it
// asks again: what others of its team ask meanwhile is not known.
const againUnknown = 0.5

// parkOrRefuse keeps a request for which its team's quota is expected to have room while
// that is worth more to its caller than to be told now, and refuses any other with the time
// when it may have.
func (s *State) parkOrRefuse(now event.Time, entry event.BoxID, m *message.Submission, out *event.Effects) {
	p := parked{entry: entry, submission: *m, arrived: now}
	ahead := 0
	for i := range s.parked {
		if s.parked[i].submission.Ticket.Team == m.Ticket.Team {
			ahead += s.parked[i].submission.Quota
		}
	}
	if s.judgeParked(now, &p, ahead, out) {
		s.parked = append(s.parked, p)
	}
}

// judgeParked reports whether a request waits on for its quota, behind others of its team
// that wait for so much, and refuses it otherwise.
func (s *State) judgeParked(now event.Time, p *parked, ahead int, out *event.Effects) bool {
	t := &p.submission.Ticket
	wait := s.roomIn(now, t.Team, ahead+p.submission.Quota)
	w := worth.Weigh(worth.Case{
		Waited: t.Waited, Target: t.Target, Left: t.Deadline, Wait: wait, Asked: t.Asked, Again: againUnknown,
	})
	if !w.IsRefused() || t.MayHaveRun {
		return true
	}
	spread := event.Span(s.random.Float64() * retrySpread * float64(wait))
	inputs := s.quotaInputs(now, t.Team)
	inputs.Wait, inputs.Waited, inputs.InTime, inputs.Any, inputs.Keep, inputs.Refuse = wait, t.Waited, w.InTime, w.Any, w.Keep, w.Refuse
	out.Refusals = append(out.Refusals, event.Refused{
		Entry: p.entry, ID: t.ID, Reason: event.ReasonQuota, RetryAfter: max(quotaRetryLeast, wait+spread), Inputs: inputs,
	})
	return false
}

// roomIn returns how long it takes until a team's quota has room for an amount.
func (s *State) roomIn(now event.Time, team string, amount int) event.Span {
	if s.quotaOf(team) == nil {
		return 0
	}
	return s.budget.Room(now, budget.Team(team), amount)
}

// Unpark tries the requests that wait for a quota, oldest first, and judges those that wait
// on.
func (s *State) Unpark(now event.Time, out *event.Effects) {
	waiting := s.parked
	s.parked = nil
	ahead := make(map[string]int) // of those that wait on, by team
	for _, p := range waiting {
		p.age(now)
		team := p.submission.Ticket.Team
		switch {
		case s.spend(now, p.entry, team, p.submission.Quota):
			s.admit(now, p.entry, &p.submission, out)
		case s.judgeParked(now, &p, ahead[team], out):
			ahead[team] += p.submission.Quota
			s.parked = append(s.parked, p)
		}
	}
}

// quotaInputs returns what a team has spent and may spend, for the log.
func (s *State) quotaInputs(now event.Time, name string) event.Inputs {
	spent, limit := s.budget.State(now, budget.Team(name))
	return event.Inputs{Spent: spent, Limit: limit}
}
