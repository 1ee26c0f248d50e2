// SPDX-License-Identifier: MIT

package cluster

import (
	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/poison"
)

// This file is an owner's part in what is known of requests that end endpoints: it takes in what
// entries tell, puts it into the log, and tells the entries what must not run without an owner.

// endsProgress is how far the ends that an entry tells have come, by their numbers.
type endsProgress struct {
	heard   uint64
	pending uint64 // in the record on its way to the log, or before
	saved   uint64
}

// hearEnds takes in ends that an entry tells, those once that it tells again.
func (o *owner) hearEnds(now event.Time, e *entry, b *message.Batch) {
	var news []poison.End
	for _, end := range b.Ends {
		if end.Number > e.ends.heard {
			e.ends.heard = end.Number
			news = append(news, end)
		}
	}
	o.admission.Ended(now, news, &o.effects)
	for _, p := range b.Well {
		o.poison.Answered(now, p)
	}
}

// keepPoisonRecord puts a record of the requests that end endpoints into the log when one is due.
func (o *owner) keepPoisonRecord(now event.Time, s *State, out *Effects) {
	for _, c := range o.poison.TakeChanges() {
		out.note("request under which endpoints ended", Field{"what", c.What.String()}, Field{"print", c.Print.String()},
			Field{"ends", c.Ends}, Field{"trials", c.Trials}, Field{"id", string(c.Request)})
	}
	if !o.poison.Due() || !s.owns(now) {
		return
	}
	record, isAll := o.poison.MakeRecord()
	if isAll {
		for _, e := range o.entries {
			e.ends.pending = e.ends.heard
		}
	}
	if !o.poisonLogged {
		// Members that don't read it would pass it over and differ. What is known lasts as long as
		// this owner.
		o.poisonRecorded(now, s, out)
		return
	}
	index, err := s.node.Propose(now, encodePoison(record), &out.Ready)
	if err != nil {
		// It does not lead any more, and will find out; entries tell the next owner again.
		out.note("requests that end endpoints not recorded", Field{"error", err.Error()})
		return
	}
	o.poisonRecord = index
}

// poisonRecorded takes note that the last record is committed: trials that waited for it run.
func (o *owner) poisonRecorded(now event.Time, s *State, out *Effects) {
	o.poison.Committed()
	for _, e := range o.entries {
		e.ends.saved = e.ends.pending
	}
	o.admission.Release(now, &o.effects)
	o.decide(now, s, out)
}

// endsSaved returns up to which number an entry's ends are in the log, or changed nothing.
func (o *owner) endsSaved(e *entry) uint64 {
	if o.poison.IsSaved() {
		e.ends.saved = e.ends.heard
	}
	return e.ends.saved
}

// tellSuspects tells all entries which requests must not run without an owner, if they are
// others than at the last time.
func (o *owner) tellSuspects(out *Effects) {
	list, revision := o.poison.Suspects()
	if revision == o.suspectsTold {
		return
	}
	o.suspects, o.suspectsTold = list, revision
	m := &message.Envelope{View: &message.View{Suspects: &message.Suspects{List: list}}}
	for _, id := range o.inOrder() {
		out.Sends = append(out.Sends, Send{id, m})
	}
}
