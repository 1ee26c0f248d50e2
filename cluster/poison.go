// SPDX-License-Identifier: MIT

package cluster

import (
	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/poison"
)

// This file records poison requests, which terminate the endpoints that run them: an owner receives the terminations
// from entries, records them in the log, and sends entries the requests that must not run without an owner.

// terminationProgress has the numbers up to which the terminations reported by an entry were processed.
type terminationProgress struct {
	received uint64
	pending  uint64 // in the last proposed record, or before
	saved    uint64
}

// receiveTerminations applies the terminations that an entry reports, and skips repeated ones.
func (o *owner) receiveTerminations(now event.Time, e *entry, b *message.Batch) {
	var added []poison.Termination
	for _, t := range b.Ends {
		if t.Number > e.terminations.received {
			e.terminations.received = t.Number
			added = append(added, t)
		}
	}
	o.admission.RecordTerminations(now, added, &o.effects)
	for _, p := range b.Well {
		o.poison.RecordSuccess(now, p)
	}
}

// proposePoisonRecord proposes a record of poison requests when one is due.
func (o *owner) proposePoisonRecord(now event.Time, s *State, out *Effects) {
	for _, c := range o.poison.TakeChanges() {
		out.logInfo("suspected poison request changed state", Field{"what", c.Kind.String()}, Field{"print", c.Fingerprint.String()},
			Field{"ends", c.Terminations}, Field{"trials", c.Trials}, Field{"id", string(c.Request)})
	}
	if !o.poison.Due() || !s.owns(now) {
		return
	}
	record, isAll := o.poison.MakeRecord()
	if isAll {
		for _, e := range o.entries {
			e.terminations.pending = e.terminations.received
		}
	}
	if !o.poisonLogged {
		// Members that can't read the record would skip it and diverge, so it is kept by this
		// owner only.
		o.poisonRecordCommitted(now, s, out)
		return
	}
	index, err := s.node.Propose(now, encodePoison(record), &out.Ready)
	if err != nil {
		// No longer the leader; the entries report again to the next owner.
		out.logInfo("poison record not proposed: no longer the leader", Field{"error", err.Error()})
		return
	}
	o.poisonIndex = index
}

// poisonRecordCommitted releases the trials that waited for the last record to be committed.
func (o *owner) poisonRecordCommitted(now event.Time, s *State, out *Effects) {
	o.poison.Committed()
	for _, e := range o.entries {
		e.terminations.saved = e.terminations.pending
	}
	o.admission.ReleaseHeld(now, &o.effects)
	o.sendDecisions(now, s, out)
}

// savedTerminations returns the number up to which an entry's terminations need not be reported again.
func (o *owner) savedTerminations(e *entry) uint64 {
	if o.poison.IsSaved() {
		e.terminations.saved = e.terminations.received
	}
	return e.terminations.saved
}

// sendSuspects sends all entries the requests that must not run without an owner, if the list
// changed.
func (o *owner) sendSuspects(out *Effects) {
	list, revision := o.poison.Suspects()
	if revision == o.suspectsRevision {
		return
	}
	o.suspects, o.suspectsRevision = list, revision
	m := &message.Envelope{View: &message.View{Suspects: &message.Suspects{List: list}}}
	for _, id := range o.sessionIDs() {
		out.Sends = append(out.Sends, Send{id, m})
	}
}
