// SPDX-License-Identifier: MIT

package poison

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lynxramp.org/event"
)

// partKeyBytes is the length of the Fingerprint of a part, which distinguishes it from those of requests.
const partKeyBytes = 8

// Part returns the Fingerprint of a part of a prompt at a service. Neither the team nor the rest of the request counts: a
// part that terminates endpoints does so in any request.
func Part(service, id string) Fingerprint {
	h := xxhash.New()
	_, _ = h.WriteString(service) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(id)
	return Fingerprint(h.Sum(nil))
}

// IsPart reports whether the fingerprint is that of a part.
func (p Fingerprint) IsPart() bool { return len(p) == partKeyBytes }

// Bounds of a PartTracker.
const (
	// partThreshold is the number of terminations without a response in between after which a part is suspected.
	partThreshold = 2
	// maxSoloTrials and maxJointTrials bound the trials of a suspected part: of requests in which it is the only suspected one,
	// and of others. Together a part terminates partThreshold endpoints, those under way then, and three.
	maxSoloTrials  = 2
	maxJointTrials = 1
	// jointPause is how long requests with several suspected parts are held off, so that others can show which one it is.
	// Where all terminations were under the attempts of one request there are no others, and most likely no part is at fault.
	jointPause = 2 * event.Second
	// partQuarantine is how long a part is quarantined after its trials; and how long terminations count.
	partQuarantine = provenQuarantine
)

// BeginGrace is how long an endpoint must survive the beginning of a response for it to clear the parts of its prompt.
const BeginGrace = 250 * event.Millisecond

// PartTracker tracks the parts of prompts whose requests endpoints ran when they terminated, before their responses
// began. It is part of a Tracker and follows its rules.
type PartTracker struct {
	cases      map[Fingerprint]*partCase
	trials     map[event.RequestID]*partTrial
	successes  recentSuccesses // parts of requests whose responses began recently
	isDegraded bool
	suspects   map[Fingerprint]bool // sent by the last owner

	newlySuspected []Fingerprint
	changes        []Change
	isUnblocked    bool
	dirty          []Fingerprint
	isDirty        map[Fingerprint]bool
	pending        []*partTrial // in the record that is being committed
	listChanged    bool
}

// partCase is the state of one part.
type partCase struct {
	key          Fingerprint
	terminations []terminatedInstance // since a response to a request with the part last began
	// request is the one under whose attempts all terminations were; empty if there are several, or it is not known.
	request     event.RequestID
	solo, joint int // counted trials
	lastChange  event.Time
	trial       *partTrial // in progress; nil for none
}

// partTrial is a run of a request with suspected parts.
type partTrial struct {
	entry    event.BoxID
	request  event.RequestID
	attempt  int
	parts    []Fingerprint // the suspected ones
	deadline event.Time
	isSaved  bool // recorded in the log
	// endpointTerminated is set if its endpoint is known to have terminated.
	endpointTerminated bool
	endpoint           event.EndpointID
}

func (t *partTrial) isJoint() bool { return len(t.parts) > 1 }

func newPartTracker() *PartTracker {
	return &PartTracker{
		cases: make(map[Fingerprint]*partCase), trials: make(map[event.RequestID]*partTrial),
		isDirty: make(map[Fingerprint]bool), suspects: make(map[Fingerprint]bool),
	}
}

// restore adds the state of a part from the log.
func (b *PartTracker) restore(now event.Time, line Line) {
	c := &partCase{key: line.Fingerprint, solo: line.Trials, joint: line.Joint, lastChange: now}
	for _, endpoint := range line.Terminations {
		c.terminations = append(c.terminations, terminatedInstance{endpoint, now})
	}
	b.cases[c.key] = c
	b.listChanged = true
}

func (c *partCase) isSuspected() bool { return len(c.terminations) >= partThreshold }

// nextTrialAt returns the earliest time of a trial.
func (c *partCase) nextTrialAt(isJoint bool) event.Time {
	switch {
	case isJoint && c.joint < maxJointTrials && c.request != "":
		return 0
	case isJoint && c.joint < maxJointTrials:
		return c.lastChange.Add(jointPause)
	case !isJoint && c.solo == 0:
		return 0
	case !isJoint && c.solo < maxSoloTrials:
		return c.lastChange.Add(provenPause)
	default:
		return c.lastChange.Add(partQuarantine)
	}
}

// PartCall is a call with parts that is waiting to run.
type PartCall struct {
	Parts     []Fingerprint
	Entry     event.BoxID
	Request   event.RequestID
	Attempt   int
	Remaining event.Duration // time to its deadline
}

// suspected returns the parts that a run of a request would be a trial of. If one part is suspected, so is each other
// part with a termination: a run could not tell which of them terminated its endpoint. Parts with a recent success
// are not: some endpoints that run a frequent part terminate for other reasons.
func (b *PartTracker) suspected(now event.Time, parts []Fingerprint) []Fingerprint {
	var list []Fingerprint
	isSuspected := false
	for _, p := range parts {
		if c, ok := b.cases[p]; ok && !b.successes.has(now, p) {
			list = append(list, p)
			isSuspected = isSuspected || c.isSuspected()
		}
	}
	if !isSuspected {
		return nil
	}
	return list
}

// Check reports whether a call may run; with Reject it returns after how long the caller may retry.
func (b *PartTracker) Check(now event.Time, call *PartCall) (Verdict, event.Duration) {
	if slices.ContainsFunc(call.Parts, func(p Fingerprint) bool { return b.suspects[p] }) {
		return Reject, noOwnerRetryAfter
	}
	if len(b.cases) == 0 {
		return Allow, 0
	}
	if t, ok := b.trials[call.Request]; ok {
		switch {
		case t.attempt != call.Attempt:
			b.abandonTrial(now, t)
		case t.isSaved:
			return Allow, 0
		default:
			return Wait, 0
		}
	}
	parts := b.suspected(now, call.Parts)
	switch {
	case len(parts) == 0:
		return Allow, 0
	case b.isDegraded:
		return Reject, noOwnerRetryAfter
	}
	if slices.ContainsFunc(parts, func(p Fingerprint) bool { return b.cases[p].trial != nil }) {
		return Wait, 0
	}
	var nextAt event.Time
	for _, p := range parts {
		nextAt = max(nextAt, b.cases[p].nextTrialAt(len(parts) > 1))
	}
	if now < nextAt {
		return Reject, nextAt.Sub(now)
	}
	b.startTrial(now, call, parts)
	return Wait, 0
}

func (b *PartTracker) startTrial(now event.Time, call *PartCall, parts []Fingerprint) {
	t := &partTrial{entry: call.Entry, request: call.Request, attempt: call.Attempt, parts: parts, deadline: now.Add(call.Remaining + trialMargin)}
	b.trials[call.Request] = t
	for _, p := range parts {
		c := b.cases[p]
		c.trial = t
		if t.isJoint() {
			c.joint++
		} else {
			c.solo++
		}
		b.markDirty(p)
		b.addChange(TrialStarted, c, call.Request)
	}
}

// removeTrial removes a trial; with uncount it does not count.
func (b *PartTracker) removeTrial(now event.Time, t *partTrial, uncount bool) {
	delete(b.trials, t.request)
	b.isUnblocked = true
	for _, p := range t.parts {
		c, ok := b.cases[p]
		if !ok || c.trial != t {
			continue
		}
		c.trial = nil
		b.markDirty(p)
		switch {
		case !uncount:
			c.lastChange = now
		case t.isJoint():
			c.joint--
		default:
			c.solo--
		}
	}
}

// abandonTrial ends a trial whose outcome nobody will report. It stays counted if it was granted.
func (b *PartTracker) abandonTrial(now event.Time, t *partTrial) {
	for _, p := range t.parts {
		if c, ok := b.cases[p]; ok && t.endpoint != "" {
			b.addChange(TrialOutcomeUnknown, c, t.request)
		}
	}
	b.removeTrial(now, t, t.endpoint == "")
}

// RecordGrant records at which endpoint a call will run.
func (b *PartTracker) RecordGrant(request event.RequestID, endpoint event.EndpointID) {
	if t, ok := b.trials[request]; ok {
		t.endpoint = endpoint
	}
}

// RecordUnsent records that a call was not sent: a trial is cancelled and not counted.
func (b *PartTracker) RecordUnsent(request event.RequestID) {
	if t, ok := b.trials[request]; ok {
		b.removeTrial(0, t, true)
	}
}

// RecordFinish records that a call finished; isAlive is set if its endpoint is known to have survived it.
func (b *PartTracker) RecordFinish(now event.Time, request event.RequestID, isAlive bool) {
	if t, ok := b.trials[request]; ok {
		b.removeTrial(now, t, isAlive && !t.endpointTerminated)
	}
}

// RecordTermination records that an endpoint terminated while it ran a request, before the response began.
func (b *PartTracker) RecordTermination(now event.Time, t *Termination) {
	instance := terminatedInstance{endpoint: hashOf(t.Endpoint), at: now.Add(-t.Ago)}
	trial := b.trials[t.Request]
	for _, p := range t.Parts {
		c, ok := b.cases[p]
		if !ok {
			if !b.ensureCapacity() {
				continue
			}
			c = &partCase{key: p, request: t.Request}
			b.cases[p] = c
		}
		if c.request != t.Request {
			c.request = ""
		}
		if trial != nil && c.trial == trial && trial.attempt == t.Attempt {
			trial.endpointTerminated = true
			b.addChange(TrialTerminatedEndpoint, c, t.Request)
		}
		if coversRun(c.terminations, instance, instance.at.Add(-t.Ran)) {
			continue
		}
		b.addTermination(now, c, instance)
	}
}

func (b *PartTracker) addTermination(now event.Time, c *partCase, instance terminatedInstance) {
	wasSuspected := c.isSuspected()
	c.terminations = appendTermination(c.terminations, instance)
	c.lastChange = now
	b.markDirty(c.key)
	if !wasSuspected && c.isSuspected() {
		b.newlySuspected = append(b.newlySuspected, c.key)
		b.addChange(Suspected, c, "")
	}
}

// ensureCapacity makes room for one more part by evicting the oldest one that is not suspected.
func (b *PartTracker) ensureCapacity() bool {
	if len(b.cases) < maxCases {
		return true
	}
	var oldest *partCase
	for _, c := range b.cases {
		if !c.isSuspected() && (oldest == nil || cmp.Or(cmp.Compare(c.lastChange, oldest.lastChange), cmp.Compare(c.key, oldest.key)) < 0) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	b.remove(oldest)
	return true
}

// RecordSuccess records that the response to a request with these parts began, which clears them.
func (b *PartTracker) RecordSuccess(now event.Time, parts []Fingerprint) {
	for _, p := range parts {
		b.successes.add(now, p)
		c, ok := b.cases[p]
		if !ok {
			continue
		}
		if c.isSuspected() {
			b.addChange(Cleared, c, "")
		}
		b.remove(c)
	}
}

func (b *PartTracker) remove(c *partCase) {
	delete(b.cases, c.key)
	b.isUnblocked = true
	b.markDirty(c.key)
}

// EntryTerminated abandons the trials of an entry that terminated.
func (b *PartTracker) EntryTerminated(now event.Time, entry event.BoxID) {
	for _, id := range slices.Sorted(maps.Keys(b.trials)) {
		if t := b.trials[id]; t.entry == entry {
			b.abandonTrial(now, t)
		}
	}
}

// Tick abandons overdue trials and removes expired cases.
func (b *PartTracker) Tick(now event.Time) {
	for _, id := range slices.Sorted(maps.Keys(b.trials)) {
		if t := b.trials[id]; now >= t.deadline {
			b.abandonTrial(now, t)
		}
	}
	for _, p := range slices.Sorted(maps.Keys(b.cases)) {
		if c := b.cases[p]; c.trial == nil && now >= c.lastChange.Add(partQuarantine) {
			b.remove(c)
		}
	}
}

// TakeSuspected returns the parts that became suspected since the last call.
func (b *PartTracker) TakeSuspected() []Fingerprint {
	list := b.newlySuspected
	b.newlySuspected = nil
	return list
}

func (b *PartTracker) addChange(kind ChangeKind, c *partCase, request event.RequestID) {
	if len(b.changes) < maxChanges {
		b.changes = append(b.changes, Change{Kind: kind, Fingerprint: c.key, Terminations: len(c.terminations), Trials: c.solo + c.joint, Request: request})
	}
}

func (b *PartTracker) markDirty(p Fingerprint) {
	b.listChanged = true
	if b.isDegraded || b.isDirty[p] {
		return
	}
	b.isDirty[p] = true
	b.dirty = append(b.dirty, p)
}

func (b *PartTracker) markAllDirty() {
	for _, p := range slices.Sorted(maps.Keys(b.cases)) {
		b.markDirty(p)
	}
}

// takeLines returns at most n lines for a record, deletions first.
func (b *PartTracker) takeLines(n int) []Line {
	isDeleted := func(p Fingerprint) int {
		if _, ok := b.cases[p]; ok {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(b.dirty, func(p, q Fingerprint) int { return cmp.Compare(isDeleted(p), isDeleted(q)) })
	n = min(n, len(b.dirty))
	b.pending = b.pending[:0]
	var lines []Line
	for _, p := range b.dirty[:n] {
		delete(b.isDirty, p)
		c, ok := b.cases[p]
		if !ok {
			lines = append(lines, Line{Fingerprint: p})
			continue
		}
		l := Line{Fingerprint: p, Trials: c.solo, Joint: c.joint}
		for _, t := range c.terminations {
			l.Terminations = append(l.Terminations, t.endpoint)
		}
		lines = append(lines, l)
		if c.trial != nil {
			b.pending = append(b.pending, c.trial)
		}
	}
	b.dirty = append(b.dirty[:0], b.dirty[n:]...)
	return lines
}

// committed reports that the last lines are committed: the trials that they have may run, once all of their parts are.
func (b *PartTracker) committed() {
	for _, t := range b.pending {
		t.isSaved = !slices.ContainsFunc(t.parts, func(p Fingerprint) bool { return b.isDirty[p] && b.cases[p] != nil && b.cases[p].trial == t })
	}
	b.pending = b.pending[:0]
}

// applyForeign merges a line of another owner that was committed after this tracker was made.
func (b *PartTracker) applyForeign(now event.Time, line Line) {
	b.markDirty(line.Fingerprint)
	if len(line.Terminations) == 0 {
		return
	}
	c, ok := b.cases[line.Fingerprint]
	if !ok {
		if b.ensureCapacity() {
			b.restore(now, line)
		}
		return
	}
	c.lastChange, c.request = now, ""
	c.solo, c.joint = max(c.solo, line.Trials), max(c.joint, line.Joint)
	for _, endpoint := range line.Terminations {
		if len(c.terminations) < maxTerminations && !slices.ContainsFunc(c.terminations, func(t terminatedInstance) bool { return t.endpoint == endpoint }) {
			b.addTermination(now, c, terminatedInstance{endpoint, now})
		}
	}
}

// listed returns the parts that an entry without an owner must not send, the newest first.
func (b *PartTracker) listed() []Fingerprint {
	var all []*partCase
	for _, c := range b.cases {
		if c.isSuspected() && (c.solo+c.joint > 0 || len(c.terminations) > partThreshold) {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(c, d *partCase) int {
		return cmp.Or(cmp.Compare(d.lastChange, c.lastChange), cmp.Compare(c.key, d.key))
	})
	var list []Fingerprint
	for _, c := range all {
		list = append(list, c.key)
	}
	return list
}
