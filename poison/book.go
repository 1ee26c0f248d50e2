// SPDX-License-Identifier: MIT

package poison

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lynxramp.org/event"
)

// Termination reports that an endpoint terminated, or a connection to it broke, during a run of a request.
// Its field names are part of the wire format.
type Termination struct {
	// Number is its sequence number, from 1, within one instance of the entry.
	Number   uint64
	Print    Fingerprint
	Endpoint event.EndpointID
	// Request is the call that ran, and Attempt the number of times it was sent before.
	Request event.RequestID
	Attempt int
	// Ran is how long it had run, and Ago the time from the termination to its report.
	Ran, Ago event.Duration
	// Parts are those of the request's prompt, if its response had not begun or only just.
	Parts []Fingerprint
}

// Tracker tracks requests that endpoints ran when they terminated, and decides which calls may run. Use
// NewTracker or NewDegradedTracker to make one. It is a reducer and not safe for concurrent use.
type Tracker struct {
	cases           map[Fingerprint]*requestCase
	trials          map[event.RequestID]*requestCase // in progress
	successes       recentSuccesses                  // requests with recent successful runs
	newlySerialized []Fingerprint                    // since the last call of TakeSerialized
	changes         []Change
	isUnblocked     bool // since the last call of TakeUnblocked
	// isDegraded is set at an entry without an owner: nothing is written to the log, and there are
	// no trials.
	isDegraded bool
	suspects   map[Fingerprint]bool // sent by the last owner
	parts      *PartTracker

	dirty     []Fingerprint // to be written to the log, in this order
	isDirty   map[Fingerprint]bool
	pending   []pendingLine // proposed but not committed
	isPending bool
	// listed is the last result of Suspects; listChanged is set when it may be outdated.
	listed      []Fingerprint
	revision    uint64
	listChanged bool
}

// requestCase is the state of one request.
type requestCase struct {
	fingerprint  Fingerprint
	terminations []terminatedInstance
	trials       int // counted trials
	// isSerialized is set when it runs one call at a time, each recorded in the log first.
	isSerialized bool
	// isProven is set when a trial terminated its endpoint, or its outcome will not be reported.
	isProven   bool
	lastChange event.Time // time of the last termination or end of a trial
	trial      *trial     // in progress; nil for none
}

// terminatedInstance is an endpoint instance that terminated: the hash of its name, 0 if unknown, and when.
// A run that started later was on another instance.
type terminatedInstance struct {
	endpoint uint64
	at       event.Time
}

// NewTracker returns the Tracker of an owner, with the state that earlier owners wrote to the log.
func NewTracker(now event.Time, l *Ledger) *Tracker {
	b := newTracker()
	b.listChanged = true
	for p, line := range l.lines {
		if p.IsPart() {
			b.parts.restore(now, line)
			continue
		}
		c := &requestCase{fingerprint: p, trials: line.Trials, isProven: line.Proven, lastChange: now}
		for _, endpoint := range line.Terminations {
			c.terminations = append(c.terminations, terminatedInstance{endpoint, now})
		}
		c.isSerialized = true
		b.cases[p] = c
	}
	return b
}

// NewDegradedTracker returns the Tracker of an entry without an owner. It rejects the suspects
// that the last owner sent.
func NewDegradedTracker(suspects []Fingerprint) *Tracker {
	b := newTracker()
	b.isDegraded = true
	b.suspects = make(map[Fingerprint]bool, len(suspects))
	b.parts.isDegraded = true
	for _, p := range suspects {
		if p.IsPart() {
			b.parts.suspects[p] = true
		} else {
			b.suspects[p] = true
		}
	}
	return b
}

// Parts returns the tracker of the parts of prompts.
func (b *Tracker) Parts() *PartTracker { return b.parts }

func newTracker() *Tracker {
	return &Tracker{cases: make(map[Fingerprint]*requestCase), trials: make(map[event.RequestID]*requestCase), isDirty: make(map[Fingerprint]bool), parts: newPartTracker()}
}

func (c *requestCase) isSuspected() bool { return len(c.terminations) >= suspectThreshold }

// nextRunAt returns the earliest time of the next run.
func (c *requestCase) nextRunAt() event.Time {
	switch {
	case !c.isSuspected() || c.trials == 0:
		return 0
	case c.trials >= maxTrials:
		return c.expiresAt()
	case c.isProven:
		return c.lastChange.Add(provenPause)
	default:
		return c.lastChange.Add(inconclusivePause)
	}
}

// expiresAt returns when the trial in progress, or else the whole case, expires.
func (c *requestCase) expiresAt() event.Time {
	switch {
	case c.trial != nil:
		return c.trial.deadline
	case !c.isSuspected():
		return c.lastChange.Add(singleTerminationTTL)
	case c.trials >= maxTrials && !c.isProven:
		return c.lastChange.Add(unprovenQuarantine)
	default:
		return c.lastChange.Add(provenQuarantine)
	}
}

// RecordTermination records a termination, unless that of the same endpoint instance is recorded.
func (b *Tracker) RecordTermination(now event.Time, t *Termination) {
	b.parts.RecordTermination(now, t)
	if t.Print == "" {
		return
	}
	c, ok := b.cases[t.Print]
	if !ok {
		if !b.ensureCapacity() {
			b.addChange(Untracked, &requestCase{fingerprint: t.Print}, "")
			return
		}
		c = &requestCase{fingerprint: t.Print}
		b.cases[t.Print] = c
	}
	isTrial := c.trial != nil && c.trial.request == t.Request && c.trial.attempt == t.Attempt
	instance := terminatedInstance{endpoint: hashOf(t.Endpoint), at: now.Add(-t.Ago)}
	if !isTrial && coversRun(c.terminations, instance, instance.at.Add(-t.Ran)) {
		return
	}
	b.addTermination(now, c, instance)
	if isTrial {
		c.trial.endpointTerminated = true
		c.isProven = c.isProven || c.trial.isCounted
		b.addChange(TrialTerminatedEndpoint, c, t.Request)
	}
	b.serialize(now, c)
}

func (b *Tracker) addTermination(now event.Time, c *requestCase, instance terminatedInstance) {
	wasSuspected := c.isSuspected()
	c.terminations = appendTermination(c.terminations, instance)
	c.lastChange = now
	b.markDirty(c.fingerprint)
	if !wasSuspected && c.isSuspected() {
		b.addChange(Suspected, c, "")
	}
}

// serialize starts to serialize a request with terminations, unless a run of it succeeded recently.
func (b *Tracker) serialize(now event.Time, c *requestCase) {
	if c.isSerialized || len(c.terminations) < serializeThreshold || b.successes.has(now, c.fingerprint) {
		return
	}
	c.isSerialized = true
	b.newlySerialized = append(b.newlySerialized, c.fingerprint)
}

// TakeSerialized returns the requests that became serialized since the last call.
func (b *Tracker) TakeSerialized() []Fingerprint {
	list := b.newlySerialized
	b.newlySerialized = nil
	return list
}

// coversRun reports whether a run that started at began was on an endpoint instance whose
// termination is recorded; a new instance may have the same name.
func coversRun(recorded []terminatedInstance, instance terminatedInstance, began event.Time) bool {
	return slices.ContainsFunc(recorded, func(t terminatedInstance) bool { return t.endpoint == instance.endpoint && began <= t.at })
}

// appendTermination records a termination; the latest maxTerminations are kept.
func appendTermination(recorded []terminatedInstance, instance terminatedInstance) []terminatedInstance {
	recorded = append(recorded, instance)
	return recorded[max(0, len(recorded)-maxTerminations):]
}

// ensureCapacity makes room for one more request by evicting the oldest one that is not suspected.
// It reports whether there is room.
func (b *Tracker) ensureCapacity() bool {
	if len(b.cases) < maxCases {
		return true
	}
	var oldest *requestCase
	for _, c := range b.cases {
		if !c.isSuspected() && (oldest == nil || c.lastChange < oldest.lastChange || c.lastChange == oldest.lastChange && c.fingerprint < oldest.fingerprint) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	b.remove(oldest)
	return true
}

// RecordSuccess records a successful run of a request, which clears it.
func (b *Tracker) RecordSuccess(now event.Time, p Fingerprint) {
	if p == "" {
		return
	}
	b.successes.add(now, p)
	c, ok := b.cases[p]
	if !ok {
		return
	}
	if c.isSuspected() {
		b.addChange(Cleared, c, "")
	}
	b.remove(c)
}

func (b *Tracker) remove(c *requestCase) {
	if c.trial != nil {
		delete(b.trials, c.trial.request)
	}
	delete(b.cases, c.fingerprint)
	b.isUnblocked = true
	b.markDirty(c.fingerprint)
}

func compareFingerprints(c, d *requestCase) int { return cmp.Compare(c.fingerprint, d.fingerprint) }

func hashOf(endpoint event.EndpointID) uint64 { return xxhash.Sum64String(string(endpoint)) }

// Tick abandons overdue trials, removes expired cases, and serializes requests whose last
// success is no longer recent.
func (b *Tracker) Tick(now event.Time) {
	b.parts.Tick(now)
	var due []*requestCase
	for _, c := range b.cases {
		if now >= c.expiresAt() || !c.isSerialized {
			due = append(due, c)
		}
	}
	slices.SortFunc(due, compareFingerprints)
	for _, c := range due {
		switch {
		case now < c.expiresAt():
			b.serialize(now, c)
		case c.trial != nil:
			b.abandonTrial(now, c)
		default:
			b.remove(c)
		}
	}
}
