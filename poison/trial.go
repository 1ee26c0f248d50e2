// SPDX-License-Identifier: MIT

package poison

import (
	"slices"

	"lynxramp.org/event"
)

// Verdict is the result of Tracker.Check.
type Verdict uint8

// Verdicts of Tracker.Check.
const (
	// Allow: the call may run.
	Allow Verdict = iota
	// Wait: another run of the request, or a commit, must finish first.
	Wait
	// Reject: the caller may retry later.
	Reject
)

// trial is a run of a serialized request.
type trial struct {
	entry    event.BoxID
	request  event.RequestID
	attempt  int
	deadline event.Time // until when its outcome is awaited
	// isCounted is set if it is one of maxTrials; else it is a run after a single termination.
	isCounted          bool
	isSaved            bool // recorded in the log
	endpointTerminated bool // its endpoint terminated
	endpoint           event.EndpointID
}

// Call is a call that is waiting to run.
type Call struct {
	Fingerprint Fingerprint
	Entry       event.BoxID
	Request     event.RequestID
	Attempt     int            // number of times it was sent before
	Remaining   event.Duration // time to its deadline
}

// Check reports whether a call may run; with Reject it returns after how long the caller may retry.
// A call that has to wait is checked again after a commit, or when TakeUnblocked reports true.
func (b *Tracker) Check(now event.Time, call *Call) (Verdict, event.Duration) {
	p := call.Fingerprint
	if b.suspects[p] {
		return Reject, noOwnerRetryAfter
	}
	c, ok := b.cases[p]
	if !ok || !c.isSerialized {
		return Allow, 0
	}
	if b.isDegraded {
		return b.checkDegraded(c)
	}
	if t := c.trial; t != nil && t.request == call.Request && t.attempt != call.Attempt {
		b.abandonTrial(now, c)
	}
	switch t := c.trial; {
	case t == nil:
	case t.request == call.Request && t.isSaved:
		return Allow, 0
	default:
		return Wait, 0
	}
	if nextRunAt := c.nextRunAt(); now < nextRunAt {
		return Reject, nextRunAt.Sub(now)
	}
	if c.trials >= maxTrials {
		b.remove(c)
		return Allow, 0
	}
	b.startTrial(now, c, call)
	return Wait, 0
}

// checkDegraded is Check for an entry without an owner, where there are no trials.
func (b *Tracker) checkDegraded(c *requestCase) (Verdict, event.Duration) {
	if c.isSuspected() {
		return Reject, noOwnerRetryAfter
	}
	return Allow, 0
}

func (b *Tracker) startTrial(now event.Time, c *requestCase, call *Call) {
	c.trial = &trial{
		entry: call.Entry, request: call.Request, attempt: call.Attempt, deadline: now.Add(call.Remaining + trialMargin),
		isCounted: c.isSuspected(),
	}
	b.trials[call.Request] = c
	b.markDirty(c.fingerprint)
	if c.trial.isCounted {
		c.trials++
		b.addChange(TrialStarted, c, call.Request)
	}
}

// RecordGrant records at which endpoint a call will run.
func (b *Tracker) RecordGrant(request event.RequestID, endpoint event.EndpointID) {
	b.parts.RecordGrant(request, endpoint)
	if c, ok := b.trials[request]; ok {
		c.trial.endpoint = endpoint
	}
}

// Avoid returns the endpoints that a trial must not use: those with trials of other requests. If
// two trials shared an endpoint that terminates, it would be unknown which one caused it.
func (b *Tracker) Avoid(request event.RequestID) []event.EndpointID {
	if c, ok := b.trials[request]; !ok || !c.trial.isCounted {
		return nil
	}
	var list []event.EndpointID
	for other, c := range b.trials {
		if other != request && c.trial.endpoint != "" {
			list = append(list, c.trial.endpoint)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// RecordUnsent records that a call was not sent. If it was a trial, the trial is cancelled and not
// counted.
func (b *Tracker) RecordUnsent(request event.RequestID) {
	b.parts.RecordUnsent(request)
	if c, ok := b.trials[request]; ok {
		b.removeTrial(c, true)
	}
}

// removeTrial removes a trial; with uncount it does not count as one of maxTrials.
func (b *Tracker) removeTrial(c *requestCase, uncount bool) {
	if uncount && c.trial.isCounted {
		c.trials--
	}
	delete(b.trials, c.trial.request)
	c.trial = nil
	b.isUnblocked = true
	b.markDirty(c.fingerprint)
}

// TakeUnblocked reports whether a run finished or a request was removed since its last call,
// so that waiting calls are to be checked again. It avoids checking them after each run.
func (b *Tracker) TakeUnblocked() bool {
	unblocked := b.isUnblocked || b.parts.isUnblocked
	b.isUnblocked, b.parts.isUnblocked = false, false
	return unblocked
}

// RecordFinish records that a call finished; isAlive is set if its endpoint is known to have
// survived it.
func (b *Tracker) RecordFinish(now event.Time, request event.RequestID, isAlive bool) {
	c, ok := b.trials[request]
	if !ok {
		return
	}
	if c.trial.isCounted && !c.trial.endpointTerminated {
		b.addChange(TrialInconclusive, c, request)
	}
	b.removeTrial(c, isAlive && len(c.terminations) < provenThreshold)
	c.lastChange = now
}

// abandonTrial ends a trial whose outcome nobody will report. A run after a single termination
// then counts as a termination; a counted trial counts as proof.
func (b *Tracker) abandonTrial(now event.Time, c *requestCase) {
	t := c.trial
	if t.endpoint == "" {
		b.removeTrial(c, true)
		return
	}
	b.removeTrial(c, false)
	c.lastChange = now
	if t.isCounted {
		c.isProven = true
		b.addChange(TrialOutcomeUnknown, c, t.request)
		return
	}
	if !t.endpointTerminated {
		b.addTermination(now, c, terminatedInstance{endpoint: hashOf(t.endpoint), at: now})
	}
}

// EntryTerminated abandons the trials of an entry that terminated.
func (b *Tracker) EntryTerminated(now event.Time, entry event.BoxID) {
	b.parts.EntryTerminated(now, entry)
	var list []*requestCase
	for _, c := range b.trials {
		if c.trial.entry == entry {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, compareFingerprints)
	for _, c := range list {
		b.abandonTrial(now, c)
	}
}
