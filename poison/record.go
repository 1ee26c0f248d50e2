// SPDX-License-Identifier: MIT

package poison

import (
	"cmp"
	"maps"
	"slices"

	"lynxramp.org/event"
)

// maxRecordLines bounds the requests in a Record, of about 130 bytes each.
const maxRecordLines = 200

// maxListed bounds the list of suspects that is sent to entries: about 9 kB.
const maxListed = 512

// Record is a command of the replicated log. Each Line replaces the previous one of its request.
type Record struct {
	Lines []Line `json:"lines"`
}

// Line is the state of a request; one without Terminations deletes it.
type Line struct {
	Fingerprint Fingerprint `json:"print"`
	// Terminations are hashes of the names of the endpoints that terminated while they ran it; 0 is a run in progress.
	Terminations []uint64 `json:"ends,omitempty"`
	Trials       int      `json:"trials,omitempty"`
	Proven       bool     `json:"proven,omitempty"`
	// Joint is the number of trials of a part of prompts together with other suspected parts; Trials has those by itself.
	Joint int `json:"joint,omitempty"`
}

// pendingLine is a Line that is proposed but not committed, with the trial that it records.
type pendingLine struct {
	fingerprint Fingerprint
	trial       *trial
}

// markDirty marks a request to be written to the log.
func (b *Tracker) markDirty(p Fingerprint) {
	b.listChanged = true
	if b.isDegraded || b.isDirty[p] {
		return
	}
	b.isDirty[p] = true
	b.dirty = append(b.dirty, p)
}

// MarkAllDirty marks all requests to be written to the log. It is called when the log could not
// be written before.
func (b *Tracker) MarkAllDirty() {
	for _, p := range slices.Sorted(maps.Keys(b.cases)) {
		b.markDirty(p)
	}
	b.parts.markAllDirty()
}

// Due reports whether a Record should be made. None is due while one is being committed.
func (b *Tracker) Due() bool { return !b.isPending && len(b.dirty)+len(b.parts.dirty) > 0 }

// IsSaved reports whether the log has the state of all requests.
func (b *Tracker) IsSaved() bool { return !b.isPending && len(b.dirty)+len(b.parts.dirty) == 0 }

// MakeRecord returns the next Record to write to the log. Deletions come first, so that the log
// never has more requests than a Tracker may. isAll reports whether the log has the state of all
// requests once the Record is committed.
func (b *Tracker) MakeRecord() (r Record, isAll bool) {
	slices.SortStableFunc(b.dirty, func(p, q Fingerprint) int { return cmp.Compare(b.saveOrder(p), b.saveOrder(q)) })
	n := min(len(b.dirty), maxRecordLines)
	b.pending, b.isPending = b.pending[:0], true
	for _, p := range b.dirty[:n] {
		delete(b.isDirty, p)
		c, ok := b.cases[p]
		if !ok {
			r.Lines = append(r.Lines, Line{Fingerprint: p})
			continue
		}
		r.Lines = append(r.Lines, c.line())
		b.pending = append(b.pending, pendingLine{p, c.trial})
	}
	b.dirty = append(b.dirty[:0], b.dirty[n:]...)
	r.Lines = append(r.Lines, b.parts.takeLines(maxRecordLines-n)...)
	return r, len(b.dirty)+len(b.parts.dirty) == 0
}

// saveOrder returns the sort key of a request in a Record: 0 for a deletion, else 1.
func (b *Tracker) saveOrder(p Fingerprint) int {
	if _, ok := b.cases[p]; ok {
		return 1
	}
	return 0
}

func (c *requestCase) line() Line {
	l := Line{Fingerprint: c.fingerprint, Trials: c.trials, Proven: c.isProven}
	for _, t := range c.terminations {
		l.Terminations = append(l.Terminations, t.endpoint)
	}
	// A run whose outcome nobody reports counts as a termination.
	switch {
	case c.trial == nil:
	case c.trial.isCounted:
		l.Proven = true
	default:
		l.Terminations = append(l.Terminations, 0)
	}
	return l
}

// Committed reports that the last Record is committed: the trials that it has may run.
func (b *Tracker) Committed() {
	b.isPending = false
	for _, line := range b.pending {
		if line.trial != nil {
			line.trial.isSaved = true
		}
	}
	b.parts.committed()
}

// ApplyForeign merges a Record of another owner that was committed after this Tracker was made: it adds
// terminations and trials, and removes nothing.
func (b *Tracker) ApplyForeign(now event.Time, r Record) {
	for _, line := range r.Lines {
		if line.Fingerprint.IsPart() {
			b.parts.applyForeign(now, line)
			continue
		}
		b.markDirty(line.Fingerprint)
		if len(line.Terminations) == 0 {
			continue
		}
		c, ok := b.cases[line.Fingerprint]
		if !ok {
			if !b.ensureCapacity() {
				continue
			}
			c = &requestCase{fingerprint: line.Fingerprint}
			b.cases[line.Fingerprint] = c
		}
		c.lastChange = now
		c.trials = max(c.trials, line.Trials)
		c.isProven = c.isProven || line.Proven
		for _, endpoint := range line.Terminations {
			if len(c.terminations) < maxTerminations && !slices.ContainsFunc(c.terminations, func(t terminatedInstance) bool { return t.endpoint == endpoint }) {
				c.terminations = append(c.terminations, terminatedInstance{endpoint, now})
			}
		}
		b.serialize(now, c)
	}
}

// Suspects returns the requests that an entry without an owner must not run, the most recent
// maxListed of them, and a revision that increases whenever the list changes.
func (b *Tracker) Suspects() (list []Fingerprint, revision uint64) {
	if !b.listChanged && !b.parts.listChanged {
		return b.listed, b.revision
	}
	b.listChanged, b.parts.listChanged = false, false
	var all []*requestCase
	for _, c := range b.cases {
		if c.isSuspected() && c.trials > 0 {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(c, d *requestCase) int {
		return cmp.Or(cmp.Compare(d.lastChange, c.lastChange), cmp.Compare(c.fingerprint, d.fingerprint))
	})
	list = b.parts.listed()
	list = list[:min(len(list), maxListed)]
	for _, c := range all[:min(len(all), maxListed-len(list))] {
		list = append(list, c.fingerprint)
	}
	slices.Sort(list)
	if !slices.Equal(list, b.listed) {
		b.listed = list
		b.revision++
	}
	return b.listed, b.revision
}

// Ledger is the state of all tracked requests in the replicated log: the latest Line of each. The zero
// value is empty. It is not safe for concurrent use.
type Ledger struct{ lines map[Fingerprint]Line }

// Apply applies a Record of the log.
func (l *Ledger) Apply(r Record) {
	if l.lines == nil {
		l.lines = make(map[Fingerprint]Line)
	}
	for _, line := range r.Lines {
		if len(line.Terminations) == 0 {
			delete(l.lines, line.Fingerprint)
			continue
		}
		l.lines[line.Fingerprint] = line
	}
}

// Record returns all Lines, for a snapshot.
func (l *Ledger) Record() Record {
	var r Record
	for _, p := range slices.Sorted(maps.Keys(l.lines)) {
		r.Lines = append(r.Lines, l.lines[p])
	}
	return r
}
