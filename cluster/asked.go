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

// This file distributes the feedback of endpoints, such as rate limits and draining: an owner receives
// it from the entries that got the responses and sends it to all entries, so that it is also respected by
// degraded entries and after a change of owner.

const (
	// maxFeedbackPerMessage bounds the endpoints in one message, to about 16 kB.
	maxFeedbackPerMessage = 400
	// maxFeedbackLogLines bounds the log lines about feedback, in lines per second.
	maxFeedbackLogLines = 20
)

// feedbackTracker tracks the endpoints with feedback in force. The zero value is empty.
type feedbackTracker struct {
	active map[event.EndpointID]bool // endpoints with feedback in force
	unsent map[event.EndpointID]bool // endpoints whose change is not yet sent to the entries
	// sorted caches the ids of active in order, for all new sessions; nil if it must be rebuilt.
	sorted []event.EndpointID
	// logLines is the number of lines logged since logWindowStart, suppressed the number dropped.
	logLines, suppressed int
	logWindowStart       event.Time
}

// list returns the endpoints with feedback in force, by id.
func (f *feedbackTracker) list() []event.EndpointID {
	if f.sorted == nil {
		f.sorted = slices.Sorted(maps.Keys(f.active))
	}
	return f.sorted
}

// receiveFeedback applies endpoint feedback that an entry received in responses.
func (o *owner) receiveFeedback(now event.Time, entry event.BoxID, reports []backpressure.Report) {
	for i := range reports {
		id := reports[i].Endpoint
		if !o.admission.ObserveFeedback(now, entry, &reports[i], &o.effects) {
			continue
		}
		o.feedback.update(id, o.admission.FeedbackState(id).Restricts())
	}
}

func (f *feedbackTracker) update(id event.EndpointID, isActive bool) {
	if f.active == nil {
		f.active, f.unsent = make(map[event.EndpointID]bool), make(map[event.EndpointID]bool)
	}
	f.unsent[id] = true
	f.sorted = nil
	if isActive {
		f.active[id] = true
	} else {
		delete(f.active, id)
	}
}

// remove drops a terminated endpoint. Entries learn of its removal from the registry.
func (f *feedbackTracker) remove(id event.EndpointID) {
	delete(f.active, id)
	delete(f.unsent, id)
	f.sorted = nil
}

// sendFeedback sends all entries what changed since the last tick, up to the limit of one message.
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
		state := o.admission.FeedbackState(id)
		list = append(list, state)
		if o.feedback.allowLogLine(now, out) {
			out.logInfo("endpoint feedback changed", Field{"endpoint", string(id)}, Field{"limited", state.Limited}, Field{"limit_per_s", state.Rate}, Field{"leaving", state.Leaving})
		}
	}
	m := &message.Envelope{View: &message.View{Asked: list}}
	for _, id := range o.sessionIDs() {
		if o.sessions[id].formatVersion >= level.Feedback {
			out.Sends = append(out.Sends, Send{id, m})
		}
	}
}

// allowLogLine reports whether the rate limit allows another log line.
func (f *feedbackTracker) allowLogLine(now event.Time, out *Effects) bool {
	if now.Sub(f.logWindowStart) >= event.Second {
		if f.suppressed > 0 {
			out.logInfo("suppressed log lines on endpoint feedback", Field{"count", f.suppressed})
		}
		f.logLines, f.suppressed, f.logWindowStart = 0, 0, now
	}
	if f.logLines == maxFeedbackLogLines {
		f.suppressed++
		return false
	}
	f.logLines++
	return true
}

// sendInitialFeedback sends an entry the next part of the feedback in force when its session began.
func (o *owner) sendInitialFeedback(id SessionID, sess *session, out *Effects) {
	n := min(len(sess.pendingFeedback), maxFeedbackPerMessage)
	if n == 0 {
		return
	}
	list := make([]backpressure.State, n)
	for i, endpoint := range sess.pendingFeedback[:n] {
		list[i] = o.admission.FeedbackState(endpoint)
	}
	sess.pendingFeedback = sess.pendingFeedback[n:]
	out.Sends = append(out.Sends, Send{id, &message.Envelope{View: &message.View{Asked: list}}})
}

// deferTimeout is how long an entry is assumed to leave decisions to the owner after a ping that said so. It
// spans several pings and is shorter than the time after which an entry without an answer decides by itself.
const deferTimeout = 500 * event.Millisecond

// recordDeferral records whether a ping says that the entry leaves decisions to this owner. An entry whose format
// version has no rate limits uses no share of them, so it counts as well.
func (e *entry) recordDeferral(now event.Time, p *message.Ping) {
	if p.Owned || e.formatVersion < level.Feedback {
		e.deferredAt = now
	}
}

func (e *entry) defersToOwner(now event.Time) bool {
	return e.session != 0 && e.deferredAt != 0 && now.Sub(e.deferredAt) < deferTimeout
}

// updateLimitShare sets the share of endpoints' rate limits that this owner may use: that of the entries that leave
// decisions to it. The other entries may be degraded and use their own shares.
func (o *owner) updateLimitShare(now event.Time) {
	deferring := 0
	for _, e := range o.entries {
		if e.defersToOwner(now) {
			deferring++
		}
	}
	o.admission.SetLimitShare(now, float64(deferring)/float64(o.entryCount(now)), &o.effects)
}
