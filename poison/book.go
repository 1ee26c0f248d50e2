// SPDX-License-Identifier: MIT

package poison

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lynxramp.org/event"
)

// End reports that an endpoint terminated, or a connection to it broke, during a run of a request.
// Its field names are part of the wire format.
type End struct {
	// Number is the sequence number of the End, from 1, within one instance of the entry.
	Number   uint64
	Print    Print
	Endpoint event.EndpointID
	// Request is the call that ran, and Attempt the number of times it was sent before.
	Request event.RequestID
	Attempt int
	// Ran is how long it had run, and Ago the time from the End to the report of it.
	Ran, Ago event.Span
}

// Tracker tracks requests under which endpoints terminated, and decides which calls may run. Use
// NewTracker or NewDegradedTracker to make one. It is a reducer and not safe for concurrent use.
type Book struct {
	cases           map[Print]*requestCase
	trials          map[event.RequestID]*requestCase // in progress
	successes       recentSuccesses                  // requests with recent successful runs
	newlySerialized []Print                          // since the last call of TakeSerialized
	changes         []Change
	isUnblocked     bool // since the last call of TakeUnblocked
	// isDegraded is set at an entry without an owner: nothing is written to the log, and there are
	// no trials.
	isDegraded bool
	suspects   map[Print]bool // sent by the last owner

	dirty     []Print // to be written to the log, in this order
	isDirty   map[Print]bool
	pending   []pendingLine // proposed but not committed
	isPending bool
	// listed is the last result of Suspects; listChanged is set when it may be outdated.
	listed      []Print
	revision    uint64
	listChanged bool
}

// requestCase is the state of one request.
type requestCase struct {
	fingerprint Print
	ends        []termination
	trials      int // counted trials
	// isSerialized is set when it runs one call at a time, each recorded in the log first.
	isSerialized bool
	// isProven is set when a trial terminated its endpoint, or its outcome will not be reported.
	isProven   bool
	lastChange event.Time // time of the last termination or end of a trial
	trial      *trial     // in progress; nil for none
}

// termination is an endpoint instance that terminated: the hash of its name, 0 if unknown, and when.
// A run that started later was on another instance.
type termination struct {
	endpoint uint64
	at       event.Time
}

// NewTracker returns the Tracker of an owner, with the state that earlier owners wrote to the log.
func NewBook(now event.Time, l *Ledger) *Book {
	b := newTracker()
	b.listChanged = true
	for p, line := range l.lines {
		c := &requestCase{fingerprint: p, trials: line.Trials, isProven: line.Proven, lastChange: now}
		for _, endpoint := range line.Ends {
			c.ends = append(c.ends, termination{endpoint, now})
		}
		c.isSerialized = true
		b.cases[p] = c
	}
	return b
}

// NewDegradedTracker returns the Tracker of an entry without an owner. It rejects the suspects
// that the last owner sent.
func NewAlone(suspects []Print) *Book {
	b := newTracker()
	b.isDegraded = true
	b.suspects = make(map[Print]bool, len(suspects))
	for _, p := range suspects {
		b.suspects[p] = true
	}
	return b
}

func newTracker() *Book {
	return &Book{cases: make(map[Print]*requestCase), trials: make(map[event.RequestID]*requestCase), isDirty: make(map[Print]bool)}
}

func (c *requestCase) isSuspected() bool { return len(c.ends) >= suspectEnds }

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
		return c.lastChange.Add(singleEndTTL)
	case c.trials >= maxTrials && !c.isProven:
		return c.lastChange.Add(unprovenQuarantine)
	default:
		return c.lastChange.Add(provenQuarantine)
	}
}

// RecordEnd records a termination, unless that of the same endpoint instance is recorded.
func (b *Book) RecordEnd(now event.Time, e *End) {
	if e.Print == "" {
		return
	}
	c, ok := b.cases[e.Print]
	if !ok {
		if !b.ensureCapacity() {
			b.addChange(Untracked, &requestCase{fingerprint: e.Print}, "")
			return
		}
		c = &requestCase{fingerprint: e.Print}
		b.cases[e.Print] = c
	}
	isTrial := c.trial != nil && c.trial.request == e.Request && c.trial.attempt == e.Attempt
	end := termination{endpoint: hashOf(e.Endpoint), at: now.Add(-e.Ago)}
	if !isTrial && c.coversRun(end, end.at.Add(-e.Ran)) {
		return
	}
	b.addTermination(now, c, end)
	if isTrial {
		c.trial.endpointEnded = true
		c.isProven = c.isProven || c.trial.isCounted
		b.addChange(TrialEndedEndpoint, c, e.Request)
	}
	b.serialize(now, c)
}

func (b *Book) addTermination(now event.Time, c *requestCase, end termination) {
	wasSuspected := c.isSuspected()
	c.ends = append(c.ends, end)
	c.ends = c.ends[max(0, len(c.ends)-maxEnds):]
	c.lastChange = now
	b.markDirty(c.fingerprint)
	if !wasSuspected && c.isSuspected() {
		b.addChange(Suspected, c, "")
	}
}

// serialize starts to serialize a request with terminations, unless a run of it succeeded recently.
func (b *Book) serialize(now event.Time, c *requestCase) {
	if c.isSerialized || len(c.ends) < serializeEnds || b.successes.has(now, c.fingerprint) {
		return
	}
	c.isSerialized = true
	b.newlySerialized = append(b.newlySerialized, c.fingerprint)
}

// TakeSerialized returns the requests that became serialized since the last call.
func (b *Book) TakeSerialized() []Print {
	list := b.newlySerialized
	b.newlySerialized = nil
	return list
}

// coversRun reports whether a run that started at began was on an endpoint instance whose
// termination is recorded; a new instance may have the same name.
func (c *requestCase) coversRun(end termination, began event.Time) bool {
	return slices.ContainsFunc(c.ends, func(t termination) bool { return t.endpoint == end.endpoint && began <= t.at })
}

// ensureCapacity makes room for one more request by evicting the oldest one that is not suspected.
// It reports whether there is room.
func (b *Book) ensureCapacity() bool {
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
func (b *Book) Answered(now event.Time, p Print) {
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

func (b *Book) remove(c *requestCase) {
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
func (b *Book) Tick(now event.Time) {
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
