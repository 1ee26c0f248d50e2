// SPDX-License-Identifier: MIT

package admission

import (
	"lynxramp.org/budget"
	"lynxramp.org/event"
	"lynxramp.org/message"
)

// charge is what a submission spent: from its team's quota, or from the retry budget of its service. It
// is kept from admission until the request has run, and refunded if no endpoint received the request.
type charge struct {
	entry event.BoxID
	// submission is as it was admitted.
	submission *message.Submission
	team       string
	service    string
	quota      int  // amount spent from the team's quota, unless repeat is set
	repeat     bool // a retry, which is spent from the service's retry budget
	granted    bool
	chargedAt  event.Time
	// version is that of the endpoint that was granted, usualFirst the expected time to the first byte.
	version    string
	usualFirst event.Duration
	// streamVersion is that of the endpoint to which a stream of Submission.Stream was granted.
	streamVersion string
	// isAgain is set if a grant of the same submission was counted before.
	isAgain bool
}

// addCharge records the charge of an admitted submission.
func (s *State) addCharge(now event.Time, entry event.BoxID, m *message.Submission) {
	t := &m.Ticket
	if !m.Repeat {
		s.service(now, t.Service).requests.Add(now, 1)
	}
	s.storeCharge(t.ID, &charge{
		entry: entry, team: t.Team, service: t.Service, quota: m.Quota, repeat: m.Repeat, chargedAt: now, submission: m,
	})
}

// storeCharge stores a charge and replaces the previous one of the same request.
func (s *State) storeCharge(id event.RequestID, c *charge) {
	if before, ok := s.charges[id]; ok {
		c.isAgain = before.granted
	}
	s.removeCharge(id)
	s.charges[id] = c
	if s.chargesByEntry[c.entry] == nil {
		s.chargesByEntry[c.entry] = make(map[event.RequestID]*charge)
	}
	s.chargesByEntry[c.entry][id] = c
}

// removeCharge removes a charge that is final or refunded.
func (s *State) removeCharge(id event.RequestID) {
	c, ok := s.charges[id]
	if !ok {
		return
	}
	delete(s.charges, id)
	delete(s.chargesByEntry[c.entry], id)
	if len(s.chargesByEntry[c.entry]) == 0 {
		delete(s.chargesByEntry, c.entry)
	}
}

// refund refunds the charge of a request that no endpoint received. The request itself still counts
// towards the retry budget of its service.
func (s *State) refund(now event.Time, id event.RequestID) {
	c, ok := s.charges[id]
	if !ok {
		return
	}
	s.removeCharge(id)
	if c.repeat {
		s.budget.Refund(now, budget.Retries(c.service), c.chargedAt, 1)
		return
	}
	s.budget.Refund(now, budget.Team(c.team), c.chargedAt, c.quota)
}

// refundSubmission is refund for a request that will be submitted again: it also stops counting towards
// the retry budget.
func (s *State) refundSubmission(now event.Time, id event.RequestID) {
	if c, ok := s.charges[id]; ok && !c.repeat {
		s.service(now, c.service).requests.Remove(now, c.chargedAt, 1)
	}
	s.refund(now, id)
}

// step sends an event to a service's pool, and updates charges and runs by its decisions.
func (s *State) step(now event.Time, v *service, e event.Event, out *event.Effects) {
	grants, refusals, dropped := len(out.Grants), len(out.Refusals), len(out.Dropped)
	v.pool.Step(now, e, out)
	for i := range out.Grants[grants:] {
		g := &out.Grants[grants+i]
		if c, ok := s.charges[g.ID]; ok {
			s.countGrant(c, g)
			s.recordStreamGrant(now, c, g)
			c.granted = true
			s.recordGrant(now, c.submission, g.Endpoint)
		}
	}
	for i := range out.Refusals[refusals:] {
		refused := &out.Refusals[refusals+i]
		if c, ok := s.charges[refused.ID]; ok {
			t := c.submission.Ticket.AfterWait(now.Sub(c.chargedAt))
			s.refusedCalls.add(now, &t, c.submission.Print)
		}
		s.releaseUnrun(now, refused.ID)
	}
	for _, id := range out.Dropped[dropped:] {
		s.releaseUnrun(now, id)
	}
	s.updateAllowance(now, v, out)
}

// releaseUnrun refunds a request that was refused or dropped, and cancels its trial.
func (s *State) releaseUnrun(now event.Time, id event.RequestID) {
	s.refund(now, id)
	s.poison.RecordUnsent(id)
}

// removeCharges refunds the waiting requests of an entry. Granted ones are not refunded: they may
// have run.
func (s *State) removeCharges(now event.Time, entry event.BoxID) {
	for id, c := range s.chargesByEntry[entry] {
		if c.granted {
			s.removeCharge(id)
			continue
		}
		s.releaseUnrun(now, id)
	}
}
