// SPDX-License-Identifier: MIT

package budget

import (
	"maps"
	"slices"

	"lynxramp.org/event"
)

// Ledger is what the log has of the budgets: the newest Line on each account. The zero value
// has none. It is not safe for concurrent use.
type Ledger struct {
	lines map[Account]*heardLine
	// unheard are those that came since Heard was called.
	unheard []*heardLine
}

// heardLine is a Line and when this box came to know it. It is not changed once it is heard.
type heardLine struct {
	Line
	at event.Time
}

// Apply takes a Record of the log.
func (l *Ledger) Apply(r Record) {
	if !r.Part || l.lines == nil {
		l.lines = make(map[Account]*heardLine, len(r.Lines))
	}
	for _, name := range r.Gone {
		delete(l.lines, name)
	}
	for _, line := range r.Lines {
		one := &heardLine{Line: line}
		l.lines[line.Account] = one
		l.unheard = append(l.unheard, one)
	}
}

// Heard says that what was applied since the last call came to be known at now.
func (l *Ledger) Heard(now event.Time) {
	for _, one := range l.unheard {
		one.at = now
	}
	l.unheard = nil
}

// Record returns all that the log has, as one Record, for a snapshot.
func (l *Ledger) Record() Record {
	var r Record
	for _, name := range slices.Sorted(maps.Keys(l.lines)) {
		r.Lines = append(r.Lines, l.lines[name].Line)
	}
	return r
}

// copy returns the lines by account.
func (l *Ledger) copy() map[Account]*heardLine {
	lines := make(map[Account]*heardLine, len(l.lines))
	maps.Copy(lines, l.lines)
	return lines
}
