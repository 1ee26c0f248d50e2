// SPDX-License-Identifier: MIT

package admission

import (
	"slices"

	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/poison"
)

// maxHeld bounds the calls that wait for the outcome of another run of their requests.
const maxHeld = 1000

// heldRetryAfter is the retry-after time for a caller whose call waited for another run until its
// timeout: about the duration of a run.
const heldRetryAfter = event.Second

// checkPoison reports whether a call may run, given the terminations during earlier runs of its request.
// A call that has to wait is held, one that may not run is refused.
func (s *State) checkPoison(now event.Time, entry event.BoxID, m *message.Submission, out *event.Effects) bool {
	t := &m.Ticket
	verdict, wait, why := s.poisonVerdict(now, entry, m)
	switch {
	case verdict == poison.Allow:
		s.separateTrial(m)
		return true
	case verdict == poison.Wait && len(s.held) < maxHeld:
		s.held = append(s.held, deferredRequest{entry: entry, submission: *m, queuedAt: now, until: now.Add(max(remainingQueueTimeout(t), recordTimeout)), why: why})
	case verdict == poison.Wait:
		s.refusePoison(entry, t.ID, heldRetryAfter, why, out)
	default:
		s.refusePoison(entry, t.ID, wait, why, out)
	}
	return false
}

// poisonVerdict reports whether a call may run by its content and by the parts of its prompt; why is the reason if not.
func (s *State) poisonVerdict(now event.Time, entry event.BoxID, m *message.Submission) (v poison.Verdict, wait event.Duration, why event.Reason) {
	t := &m.Ticket
	if len(m.Parts) > 0 {
		v, wait = s.poison.Parts().Check(now, &poison.PartCall{Parts: m.Parts, Entry: entry, Request: t.ID, Attempt: t.Attempt, Remaining: t.Deadline})
		if v != poison.Allow {
			return v, wait, event.ReasonPoisonPart
		}
	}
	v, wait = s.poison.Check(now, &poison.Call{Fingerprint: m.Print, Entry: entry, Request: t.ID, Attempt: t.Attempt, Remaining: t.Deadline})
	return v, wait, event.ReasonPoison
}

func (s *State) refusePoison(entry event.BoxID, id event.RequestID, after event.Duration, why event.Reason, out *event.Effects) {
	s.poison.RecordUnsent(id)
	out.Refusals = append(out.Refusals, event.Refused{Entry: entry, ID: id, Reason: why, RetryAfter: after})
}

// separateTrial makes a trial avoid the endpoints with trials of other requests, if its service has
// another endpoint.
func (s *State) separateTrial(m *message.Submission) {
	avoided := s.poison.Avoid(m.Ticket.ID)
	if len(avoided) == 0 {
		return
	}
	avoid := append(slices.Clone(m.Ticket.Avoid), avoided...)
	for id, k := range s.endpoints {
		if k.Service == m.Ticket.Service && !k.Down && !k.Leaving && !slices.Contains(avoid, id) {
			m.Ticket.Avoid = avoid
			return
		}
	}
}

// RecordTerminations records endpoints that terminated during runs.
func (s *State) RecordTerminations(now event.Time, terminations []poison.Termination, out *event.Effects) {
	for i := range terminations {
		if r, ok := s.runs[terminations[i].Request]; ok {
			r.isLost = true
			delete(s.runs, terminations[i].Request)
		}
		s.poison.RecordTermination(now, &terminations[i])
	}
	s.holdQueued(now, out)
}

// holdQueued withdraws the calls of newly serialized requests, and those with newly suspected parts, from the queues of
// their services, and checks them again.
func (s *State) holdQueued(now event.Time, out *event.Effects) {
	affected := slices.Concat(s.poison.TakeSerialized(), s.poison.Parts().TakeSuspected())
	if len(affected) == 0 {
		return
	}
	for _, c := range s.queuedCalls(affected) {
		id := c.submission.Ticket.ID
		m := afterWait(c.submission, now.Sub(c.chargedAt))
		s.refund(now, id)
		s.step(now, s.service(now, m.Ticket.Service), &event.Withdrawn{Entry: c.entry, ID: id}, out)
		s.checkAndAdmit(now, c.entry, &m, out)
	}
}

// EntryTerminated records that an entry terminated and will not report the outcome of its runs.
func (s *State) EntryTerminated(now event.Time, entry event.BoxID, out *event.Effects) {
	s.poison.EntryTerminated(now, entry)
	s.ReleaseHeld(now, out)
}

// recordOutcome records the outcome of a run for its request.
func (s *State) recordOutcome(now event.Time, f *message.Finish, out *event.Effects) {
	parts := s.partsOf(f.ID)
	s.recordRunEnd(now, f)
	switch {
	case f.Unsent:
		s.poison.RecordUnsent(f.ID)
	case f.Ran == message.OutcomeSuccess:
		s.poison.RecordSuccess(now, f.Print)
		s.poison.Parts().RecordSuccess(now, parts)
	}
	// A response without length or chunks shows no success, but no termination either.
	s.poison.Parts().RecordFinish(now, f.ID, f.Ran == message.OutcomeFailed || f.FirstAfter > 0)
	s.poison.RecordFinish(now, f.ID, f.Ran == message.OutcomeFailed)
	if s.poison.TakeUnblocked() {
		s.ReleaseHeld(now, out)
	}
}

// ReleaseHeld checks the held calls again, oldest first.
func (s *State) ReleaseHeld(now event.Time, out *event.Effects) {
	held := s.held
	s.held = nil
	for _, p := range held {
		if now >= p.until {
			s.refusePoison(p.entry, p.submission.Ticket.ID, heldRetryAfter, p.why, out)
			continue
		}
		m := afterWait(&p.submission, now.Sub(p.queuedAt))
		verdict, wait, why := s.poisonVerdict(now, p.entry, &m)
		switch verdict {
		case poison.Allow:
			s.separateTrial(&m)
			s.spendAndAdmit(now, p.entry, &m, out)
		case poison.Wait:
			s.held = append(s.held, p)
		default:
			s.refusePoison(p.entry, m.Ticket.ID, wait, why, out)
		}
	}
}

// afterWait returns a submission with its times adjusted for a further wait.
func afterWait(m *message.Submission, waited event.Duration) message.Submission {
	adjusted := *m
	adjusted.Ticket = m.Ticket.AfterWait(waited)
	return adjusted
}
