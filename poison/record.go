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

// Line is the state of a request; one without Ends deletes it.
type Line struct {
	Print Print `json:"print"`
	// Ends are hashes of the names of the endpoints that terminated under it; 0 is a run in progress.
	Ends   []uint64 `json:"ends,omitempty"`
	Trials int      `json:"trials,omitempty"`
	Proven bool     `json:"proven,omitempty"`
}

// pendingLine is a Line that is proposed but not committed, with the trial that it records.
type pendingLine struct {
	fingerprint Print
	trial       *trial
}

// markDirty marks a request to be written to the log.
func (b *Book) markDirty(p Print) {
	b.listChanged = true
	if b.isDegraded || b.isDirty[p] {
		return
	}
	b.isDirty[p] = true
	b.dirty = append(b.dirty, p)
}

// MarkAllDirty marks all requests to be written to the log. It is called when the log could not
// be written before.
func (b *Book) TellAll() {
	for _, p := range slices.Sorted(maps.Keys(b.cases)) {
		b.markDirty(p)
	}
}

// Due reports whether a Record should be made. None is due while one is being committed.
func (b *Book) Due() bool { return !b.isPending && len(b.dirty) > 0 }

// IsSaved reports whether the log has the state of all requests.
func (b *Book) IsSaved() bool { return !b.isPending && len(b.dirty) == 0 }

// MakeRecord returns the next Record to write to the log. Deletions come first, so that the log
// never has more requests than a Tracker may. isAll reports whether the log has the state of all
// requests once the Record is committed.
func (b *Book) MakeRecord() (r Record, isAll bool) {
	slices.SortStableFunc(b.dirty, func(p, q Print) int { return cmp.Compare(b.saveOrder(p), b.saveOrder(q)) })
	n := min(len(b.dirty), maxRecordLines)
	b.pending, b.isPending = b.pending[:0], true
	for _, p := range b.dirty[:n] {
		delete(b.isDirty, p)
		c, ok := b.cases[p]
		if !ok {
			r.Lines = append(r.Lines, Line{Print: p})
			continue
		}
		r.Lines = append(r.Lines, c.line())
		b.pending = append(b.pending, pendingLine{p, c.trial})
	}
	b.dirty = append(b.dirty[:0], b.dirty[n:]...)
	return r, len(b.dirty) == 0
}

// saveOrder returns the sort key of a request in a Record: 0 for a deletion, else 1.
func (b *Book) saveOrder(p Print) int {
	if _, ok := b.cases[p]; ok {
		return 1
	}
	return 0
}

func (c *requestCase) line() Line {
	l := Line{Print: c.fingerprint, Trials: c.trials, Proven: c.isProven}
	for _, e := range c.ends {
		l.Ends = append(l.Ends, e.endpoint)
	}
	// A run whose outcome nobody reports counts as a termination.
	switch {
	case c.trial == nil:
	case c.trial.isCounted:
		l.Proven = true
	default:
		l.Ends = append(l.Ends, 0)
	}
	return l
}

// Committed reports that the last Record is committed: the trials that it has may run.
func (b *Book) Committed() {
	b.isPending = false
	for _, line := range b.pending {
		if line.trial != nil {
			line.trial.isSaved = true
		}
	}
}

// ApplyForeign merges a Record of another owner that was committed after this Tracker was made: it adds
// terminations and trials, and removes nothing.
func (b *Book) Foreign(now event.Time, r Record) {
	for _, line := range r.Lines {
		b.markDirty(line.Print)
		if len(line.Ends) == 0 {
			continue
		}
		c, ok := b.cases[line.Print]
		if !ok {
			if !b.ensureCapacity() {
				continue
			}
			c = &requestCase{fingerprint: line.Print}
			b.cases[line.Print] = c
		}
		c.lastChange = now
		c.trials = max(c.trials, line.Trials)
		c.isProven = c.isProven || line.Proven
		for _, endpoint := range line.Ends {
			if len(c.ends) < maxEnds && !slices.ContainsFunc(c.ends, func(e termination) bool { return e.endpoint == endpoint }) {
				c.ends = append(c.ends, termination{endpoint, now})
			}
		}
		b.serialize(now, c)
	}
}

// Suspects returns the requests that an entry without an owner must not run, the most recent
// maxListed of them, and a revision that increases whenever the list changes.
func (b *Book) Suspects() (list []Print, revision uint64) {
	if !b.listChanged {
		return b.listed, b.revision
	}
	b.listChanged = false
	var all []*requestCase
	for _, c := range b.cases {
		if c.isSuspected() && c.trials > 0 {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(c, d *requestCase) int {
		return cmp.Or(cmp.Compare(d.lastChange, c.lastChange), cmp.Compare(c.fingerprint, d.fingerprint))
	})
	for _, c := range all[:min(len(all), maxListed)] {
		list = append(list, c.fingerprint)
	}
	slices.Sort(list)
	if !slices.Equal(list, b.listed) {
		b.listed = list
		b.revision++
	}
	return b.listed, b.revision
}

// Ledger is the state of the log: the latest Line of each request. The zero value is empty. It is
// not safe for concurrent use.
type Ledger struct{ lines map[Print]Line }

// Apply applies a Record of the log.
func (l *Ledger) Apply(r Record) {
	if l.lines == nil {
		l.lines = make(map[Print]Line)
	}
	for _, line := range r.Lines {
		if len(line.Ends) == 0 {
			delete(l.lines, line.Print)
			continue
		}
		l.lines[line.Print] = line
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
