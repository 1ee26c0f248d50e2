// SPDX-License-Identifier: MIT

package cluster

import (
	"maps"
	"slices"

	"lynxramp.org/backpressure"
	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/message"
)

// This file is an owner's part in what endpoints ask for in their answers: it takes in what entries heard, and
// tells all entries, so that none sends more than an endpoint takes when it decides alone, or by the grant of
// an owner that is new.

const (
	// maxFeedbackPerMessage bounds the endpoints in one message: 16 kB.
	maxFeedbackPerMessage = 400
	// maxFeedbackLogLines bounds the lines about endpoints, in lines a second.
	maxFeedbackLogLines = 20
)

// feedbackTracker is what an owner knows of endpoints that ask for something. The zero feedbackTracker knows nothing.
type feedbackTracker struct {
	active  map[event.EndpointID]bool // those that do
	unsent map[event.EndpointID]bool // of which the entries are not yet told
	// sorted has those of now by id, made once for all sessions that begin alike; nil if it is to be made anew.
	sorted []event.EndpointID
	// logLines were written since linesFrom, and suppressed not.
	logLines, suppressed int
	logWindowStart      event.Time
}

// list returns those that ask for something, by id.
func (a *feedbackTracker) list() []event.EndpointID {
	if a.sorted == nil {
		a.sorted = slices.Sorted(maps.Keys(a.active))
	}
	return a.sorted
}

// receiveFeedback takes in words of endpoints that an entry heard.
func (o *owner) receiveFeedback(now event.Time, entry event.BoxID, words []backpressure.Heard) {
	for i := range words {
		id := words[i].Endpoint
		if !o.admission.Hear(now, entry, &words[i], &o.effects) {
			continue
		}
		o.feedback.update(id, o.admission.Asked(id).Asks())
	}
}

func (a *feedbackTracker) update(id event.EndpointID, asks bool) {
	if a.active == nil {
		a.active, a.unsent = make(map[event.EndpointID]bool), make(map[event.EndpointID]bool)
	}
	a.unsent[id] = true
	a.sorted = nil
	if asks {
		a.active[id] = true
	} else {
		delete(a.active, id)
	}
}

// remove forgets an endpoint that has ended. Entries find that out by themselves.
func (a *feedbackTracker) remove(id event.EndpointID) {
	delete(a.active, id)
	delete(a.unsent, id)
	a.sorted = nil
}

// sendFeedback tells all entries what changed since the last tick, as much as one message may have.
func (o *owner) sendFeedback(now event.Time, out *Effects) {
	if len(o.feedback.unsent) == 0 {
		return
	}
	var list []backpressure.State
	for _, id := range slices.Sorted(maps.Keys(o.feedback.unsent)) {
		if len(list) == maxFeedbackPerMessage {
			break
		}
		delete(o.feedback.unsent, id)
		state := o.admission.Asked(id)
		list = append(list, state)
		if o.feedback.allowLogLine(now, out) {
			out.logInfo("endpoint asks", Field{"endpoint", string(id)}, Field{"limited", state.Limited}, Field{"limit_per_s", state.Rate}, Field{"leaving", state.Leaving})
		}
	}
	m := &message.Envelope{View: &message.View{Asked: list}}
	for _, id := range o.sessionIDs() {
		if o.sessions[id].formatVersion >= level.Asked {
			out.Sends = append(out.Sends, Send{id, m})
		}
	}
}

// allowLogLine reports whether there is room for another line.
func (a *feedbackTracker) allowLogLine(now event.Time, out *Effects) bool {
	if now.Sub(a.logWindowStart) >= event.Second {
		if a.suppressed > 0 {
			out.logInfo("endpoints asked, lines left out", Field{"count", a.suppressed})
		}
		a.logLines, a.suppressed, a.logWindowStart = 0, 0, now
	}
	if a.logLines == maxFeedbackLogLines {
		a.suppressed++
		return false
	}
	a.logLines++
	return true
}

// sendInitialFeedback tells an entry the next part of what was asked for when its session began.
func (o *owner) sendInitialFeedback(id SessionID, one *session, out *Effects) {
	n := min(len(one.pendingFeedback), maxFeedbackPerMessage)
	if n == 0 {
		return
	}
	list := make([]backpressure.State, n)
	for i, endpoint := range one.pendingFeedback[:n] {
		list[i] = o.admission.Asked(endpoint)
	}
	one.pendingFeedback = one.pendingFeedback[n:]
	out.Sends = append(out.Sends, Send{id, &message.Envelope{View: &message.View{Asked: list}}})
}

// deferTimeout is how long an entry is taken to leave decisions to the owner after it said so: some of its questions,
// and less than it waits for an answer before it decides alone.
const deferTimeout = 500 * event.Millisecond

// receiveOwned takes whether an entry that asks leaves decisions to this owner. One that reads no limits spends no part.
func (e *entry) receiveOwned(now event.Time, p *message.Ping) {
	if p.Owned || e.formatVersion < level.Asked {
		e.deferredAt = now
	}
}

func (e *entry) defersToOwner(now event.Time) bool {
	return e.session != 0 && e.deferredAt != 0 && now.Sub(e.deferredAt) < deferTimeout
}

// updateLimitShare spends as much of endpoints' limits as belongs to the entries that leave decisions to this owner: the
// others may be deciding alone, by their own parts.
func (o *owner) updateLimitShare(now event.Time) {
	obey := 0
	for _, e := range o.entries {
		if e.defersToOwner(now) {
			obey++
		}
	}
	o.admission.SetPart(now, float64(obey)/float64(o.entryCount(now)), &o.effects)
}
