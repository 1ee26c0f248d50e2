// SPDX-License-Identifier: MIT

package cluster

import (
	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/poison"
)

// This file is an owner's part in what is known of requests that end endpoints: it takes in what
// entries tell, puts it into the log, and tells the entries what must not run without an owner.

// terminationProgress is how far the ends that an entry tells have come, by their numbers.
type terminationProgress struct {
	received   uint64
	pending uint64 // in the record on its way to the log, or before
	saved   uint64
}

// receiveTerminations takes in ends that an entry tells, those once that it tells again.
func (o *owner) receiveTerminations(now event.Time, e *entry, b *message.Batch) {
	var news []poison.End
	for _, end := range b.Ends {
		if end.Number > e.terminations.received {
			e.terminations.received = end.Number
			news = append(news, end)
		}
	}
	o.admission.Ended(now, news, &o.effects)
	for _, p := range b.Well {
		o.poison.Answered(now, p)
	}
}

// recordPoison puts a record of the requests that end endpoints into the log when one is due.
func (o *owner) recordPoison(now event.Time, s *State, out *Effects) {
	for _, c := range o.poison.TakeChanges() {
		out.logInfo("request under which endpoints ended", Field{"what", c.What.String()}, Field{"print", c.Print.String()},
			Field{"ends", c.Ends}, Field{"trials", c.Trials}, Field{"id", string(c.Request)})
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
		// Members that don't read it would pass it over and differ. What is known lasts as long as
		// this owner.
		o.poisonCommitted(now, s, out)
		return
	}
	index, err := s.node.Propose(now, encodePoison(record), &out.Ready)
	if err != nil {
		// It does not lead any more, and will find out; entries tell the next owner again.
		out.logInfo("requests that end endpoints not recorded", Field{"error", err.Error()})
		return
	}
	o.poisonIndex = index
}

// poisonCommitted takes note that the last record is committed: trials that waited for it run.
func (o *owner) poisonCommitted(now event.Time, s *State, out *Effects) {
	o.poison.Committed()
	for _, e := range o.entries {
		e.terminations.saved = e.terminations.pending
	}
	o.admission.Release(now, &o.effects)
	o.sendDecisions(now, s, out)
}

// savedTerminations returns up to which number an entry's ends are in the log, or changed nothing.
func (o *owner) savedTerminations(e *entry) uint64 {
	if o.poison.IsSaved() {
		e.terminations.saved = e.terminations.received
	}
	return e.terminations.saved
}

// sendSuspects tells all entries which requests must not run without an owner, if they are
// others than at the last time.
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
