// SPDX-License-Identifier: MIT

package budget

import (
	"maps"
	"slices"

	"lynxramp.org/event"
)

// Ledger is the state of all budgets in the replicated log: the newest Line of each
// account. The zero value is empty. It is not safe for concurrent use.
type Ledger struct {
	lines map[Account]*datedLine
	// undated are the lines that were applied since the last call of MarkReceived.
	undated []*datedLine
}

// datedLine is a Line with the time when this box received it. It is immutable once dated.
type datedLine struct {
	Line
	at event.Time
}

// Apply applies a Record of the log.
func (l *Ledger) Apply(r Record) {
	if !r.Part || l.lines == nil {
		l.lines = make(map[Account]*datedLine, len(r.Lines))
	}
	for _, name := range r.Gone {
		delete(l.lines, name)
	}
	for _, line := range r.Lines {
		d := &datedLine{Line: line}
		l.lines[line.Account] = d
		l.undated = append(l.undated, d)
	}
}

// MarkReceived sets now as the receive time of what was applied since the last call.
func (l *Ledger) Heard(now event.Time) {
	for _, d := range l.undated {
		d.at = now
	}
	l.undated = nil
}

// Record returns the whole state as one Record, for a snapshot.
func (l *Ledger) Record() Record {
	var r Record
	for _, name := range slices.Sorted(maps.Keys(l.lines)) {
		r.Lines = append(r.Lines, l.lines[name].Line)
	}
	return r
}

// copy returns a copy of the lines by account.
func (l *Ledger) copy() map[Account]*datedLine {
	lines := make(map[Account]*datedLine, len(l.lines))
	maps.Copy(lines, l.lines)
	return lines
}
