// SPDX-License-Identifier: MIT

package budget

import (
	"maps"
	"slices"

	"lynxramp.org/event"
)

// recordBins is in how many parts a Record tells what was spent in a window.
const recordBins = 16

// Record is what the replicated log holds of the budgets. The newest one counts.
type Record struct {
	Lines []Line `json:"lines"`
}

// Line is a Record's word on an account.
type Line struct {
	Account Account `json:"account"`
	// Spent has what was spent by age, as of the Record's making: part i is at least i
	// recordBins of a window old.
	Spent []int `json:"spent"`
	// Mark may be spent, and Lent may be lent at any time, until a newer Record is
	// committed.
	Mark int `json:"mark"`
	Lent int `json:"lent"`
}

// Due reports whether a new Record is wanted. There is none while one is on its way.
func (b *Book) Due() bool { return !b.isPending && (b.isDue || !b.isRecorded) }

// look finds out whether accounts ask for a new Record.
func (b *Book) look(now event.Time) {
	for _, a := range b.accounts {
		p := &a.committed
		if (p.recorded && p.returned > p.lent/2) || (!p.recorded && a.isHigh(now)) {
			b.isDue = true
		}
	}
}

// isHigh reports whether an account is to be recorded.
func (a *account) isHigh(now event.Time) bool {
	return float64(a.total(now)) > float64(a.limit.Base)*recordPart
}

// MakeRecord returns a Record to be put into the log. Until Committed is called, what the
// one before permits and what this one will are both kept to.
func (b *Book) MakeRecord(now event.Time) Record {
	var r Record
	for _, name := range slices.Sorted(maps.Keys(b.accounts)) {
		a := b.accounts[name]
		a.pending = permit{}
		if !a.isHigh(now) && a.wanted == 0 {
			continue
		}
		line := Line{Account: name, Spent: a.parts(now)}
		line.Mark = max(int(float64(a.limit.Base)*markPart), markLeast, a.wanted)
		line.Lent = a.inherited + max(a.lent, a.lendMost(now))
		a.pending = permit{recorded: true, mark: line.Mark, lent: line.Lent}
		a.wanted = 0
		r.Lines = append(r.Lines, line)
	}
	b.isPending, b.isDue = true, false
	return r
}

// Committed says that the Record that was made last is in the log for good.
func (b *Book) Committed() {
	for _, a := range b.accounts {
		a.committed = a.pending
	}
	b.isPending, b.isRecorded = false, true
}

// parts returns what was spent, by age.
func (a *account) parts(now event.Time) []int {
	list := make([]int, recordBins)
	last := 0
	a.spent.each(now, func(age event.Span, amount int) {
		part := min(int(age*recordBins/a.limit.Window), recordBins-1)
		list[part] += amount
		last = max(last, part+1)
	})
	return list[:last]
}

// inherit takes over an account from the owners before: all that a Record says, and all
// that it permits and that may have been done since.
func (a *account) inherit(now event.Time, b *Book, line *Line) {
	a.inheritedUntil = b.began.Add(b.fresh)
	if line == nil {
		a.inherited = a.free()
		a.expire(now)
		return
	}
	for i, amount := range line.Spent {
		age := a.limit.Window * event.Span(i) / recordBins
		a.spent.AddAt(now, b.heardRecord.Add(-age), amount)
	}
	a.spent.AddAt(now, b.began, line.Mark)
	a.inherited = line.Lent
	a.expire(now)
}
