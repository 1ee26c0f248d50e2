// SPDX-License-Identifier: MIT

package poison

import (
	"cmp"
	"maps"
	"slices"

	"lynxramp.org/event"
)

// recordLines is of how many requests a Record tells at the most: 130 bytes each.
const recordLines = 200

// listedMost is how many of those that are held off entries are told: 9 kB.
const listedMost = 512

// Record is what is put into the replicated log. A Line stands for all that is known of its
// request, in place of what the log said before.
type Record struct {
	Lines []Line `json:"lines"`
}

// Line is what is known of a request; one without ends says that it is as any other.
type Line struct {
	Print Print `json:"print"`
	// Ends are the endpoints that ended under it, by a hash of their names; 0 is a run under way.
	Ends   []uint64 `json:"ends,omitempty"`
	Trials int      `json:"trials,omitempty"`
	Proven bool     `json:"proven,omitempty"`
}

// pendingLine is a Line on its way to the log, with the trial that it covers.
type pendingLine struct {
	print Print
	trial *trial
}

// mark takes note that the log is to be told of a request.
func (b *Book) mark(p Print) {
	b.isStale = true
	if b.isAlone || b.isDirty[p] {
		return
	}
	b.isDirty[p] = true
	b.dirty = append(b.dirty, p)
}

// TellAll has the log told of all that is known: it was told of nothing before.
func (b *Book) TellAll() {
	for _, p := range slices.Sorted(maps.Keys(b.cases)) {
		b.mark(p)
	}
}

// Due reports whether a Record is wanted. There is none while one is on its way.
func (b *Book) Due() bool { return !b.isPending && len(b.dirty) > 0 }

// IsSaved reports whether the log has all that is known.
func (b *Book) IsSaved() bool { return !b.isPending && len(b.dirty) == 0 }

// MakeRecord returns a Record to be put into the log, of those requests first that go out of the
// book, so that the log has no more of them than a book may. It reports whether the log has all
// that is known when the Record is there.
func (b *Book) MakeRecord() (r Record, isAll bool) {
	slices.SortStableFunc(b.dirty, func(p, q Print) int { return cmp.Compare(b.isKnown(p), b.isKnown(q)) })
	n := min(len(b.dirty), recordLines)
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

func (b *Book) isKnown(p Print) int {
	if _, ok := b.cases[p]; ok {
		return 1
	}
	return 0
}

func (c *suspicion) line() Line {
	l := Line{Print: c.print, Trials: c.trials, Proven: c.isProven}
	for _, e := range c.ends {
		l.Ends = append(l.Ends, e.endpoint)
	}
	// If nobody lives to tell what came of a run, it is taken to have ended its endpoint.
	switch {
	case c.trial == nil:
	case c.trial.isCounted:
		l.Proven = true
	default:
		l.Ends = append(l.Ends, 0)
	}
	return l
}

// Committed says that the Record that was made last is in the log for good: the trials that it
// tells of may run.
func (b *Book) Committed() {
	b.isPending = false
	for _, one := range b.pending {
		if one.trial != nil {
			one.trial.isSaved = true
		}
	}
}

// Foreign takes in a Record that another owner put into the log, which came to be there after
// this book was made. What either knows holds.
func (b *Book) Foreign(now event.Time, r Record) {
	for _, line := range r.Lines {
		b.mark(line.Print)
		if len(line.Ends) == 0 {
			continue
		}
		c, ok := b.cases[line.Print]
		if !ok {
			if !b.makeRoom() {
				continue
			}
			c = &suspicion{print: line.Print}
			b.cases[line.Print] = c
		}
		c.news = now
		c.trials = max(c.trials, line.Trials)
		c.isProven = c.isProven || line.Proven
		for _, endpoint := range line.Ends {
			if len(c.ends) < maxEnds && !slices.ContainsFunc(c.ends, func(e ended) bool { return e.endpoint == endpoint }) {
				c.ends = append(c.ends, ended{endpoint, now})
			}
		}
		b.beware(now, c)
	}
}

// Suspects returns the requests that an entry without an owner must not run, the newest if
// there are more than a message may have, and a number that is another one when the list is.
func (b *Book) Suspects() (list []Print, revision uint64) {
	if !b.isStale {
		return b.listed, b.revision
	}
	b.isStale = false
	var all []*suspicion
	for _, c := range b.cases {
		if c.isSuspected() && c.trials > 0 {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(c, d *suspicion) int {
		return cmp.Or(cmp.Compare(d.news, c.news), cmp.Compare(c.print, d.print))
	})
	for _, c := range all[:min(len(all), listedMost)] {
		list = append(list, c.print)
	}
	slices.Sort(list)
	if !slices.Equal(list, b.listed) {
		b.listed = list
		b.revision++
	}
	return b.listed, b.revision
}

// Ledger is what the log has: the newest Line on each request. The zero value has none. It is
// not safe for concurrent use.
type Ledger struct{ lines map[Print]Line }

// Apply takes a Record of the log.
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

// Record returns all that the log has, for a snapshot.
func (l *Ledger) Record() Record {
	var r Record
	for _, p := range slices.Sorted(maps.Keys(l.lines)) {
		r.Lines = append(r.Lines, l.lines[p])
	}
	return r
}
