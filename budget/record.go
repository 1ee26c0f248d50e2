// SPDX-License-Identifier: MIT

package budget

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"lynxramp.org/event"
)

const (
	// recordBins is in how many parts a Record tells what was spent in a window.
	recordBins = 16
	// lineBytes is what a Line takes beside its name and its amounts: the names of fields,
	// quotes, brackets and commas.
	lineBytes = 48
	// escapeBytes is the most that a byte of a name takes as JSON.
	escapeBytes = 6
	// partMark is the part of what is left of a limit that may be spent between two Records
	// where these have not room for all accounts: there are fewer of them by the more.
	partMark = 0.25
	// recordRate is how many bytes a second of large Records are put into the log.
	recordRate = 512 << 10
	// smallRecord is below which a Record does not count against recordRate, in bytes.
	smallRecord = 8 << 10
)

// Record is what is put into the replicated log of the budgets. One that is no Part
// replaces all before. A Part replaces what there is on the accounts that it names.
type Record struct {
	Lines []Line `json:"lines"`
	Part  bool   `json:"part,omitempty"`
	// Gone are accounts that a Part takes off.
	Gone []Account `json:"gone,omitempty"`
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

// bytes is the most that the line takes in a Record.
func (l *Line) bytes() int {
	n := lineBytes + nameBytes(l.Account) + digits(l.Mark) + digits(l.Lent)
	for _, amount := range l.Spent {
		n += 2 + digits(amount)
	}
	return n
}

// nameBytes is the most that a name takes as JSON.
func nameBytes(name Account) int {
	n := 0
	for _, c := range []byte(name) {
		switch {
		case c < ' ', c >= 0x7f, c == '"', c == '\\', c == '<', c == '>', c == '&':
			n += escapeBytes
		default:
			n++
		}
	}
	return n
}

// digits returns how many digits an amount has, at the least one.
func digits(amount int) int {
	n := 1
	for ; amount >= 10; amount /= 10 {
		n++
	}
	return n
}

// Due reports whether a new Record is wanted. There is none while one is on its way, and for
// a while after a large one.
func (b *Book) Due() bool { return !b.isPending && !b.isResting && (b.isDue || !b.isRecorded) }

// isHigh reports whether an account is to be recorded.
func (a *account) isHigh(now event.Time) bool {
	return float64(a.total(now)) > float64(a.limit.Base)*recordPart
}

// isRecordable reports whether an account is to have a Line.
func (a *account) isRecordable(now event.Time) bool { return a.wanted > 0 || a.isHigh(now) }

// RecordWhole has all Records replace all before, whatever their size, or, if it is false, lets large
// ones be Parts. A box that reads no Parts takes each for all.
func (b *Book) RecordWhole(whole bool) {
	b.bounds.record = usualBounds.record
	if whole {
		b.bounds.record = math.MaxInt
	}
}

// MakeRecord returns a Record to be put into the log. Until Committed is called, what the
// log says before and with it are both kept to.
func (b *Book) MakeRecord(now event.Time) Record {
	b.isPending, b.isDue = true, false
	b.recording = b.recording[:0]
	r, bytes := b.makeWhole(now)
	if bytes > b.bounds.record {
		r, bytes = b.makePart(now)
	}
	if bytes > smallRecord {
		b.restUntil = now.Add(event.Second * event.Span(bytes) / recordRate)
		b.isResting = true
	}
	return r
}

// makeWhole returns a Record of all accounts that are to be recorded, and its size; none
// beyond its bound.
func (b *Book) makeWhole(now event.Time) (r Record, bytes int) {
	var list []*account
	for _, a := range b.accounts {
		if !a.isRecordable(now) {
			continue
		}
		list = append(list, a)
		if bytes += lineBytes + nameBytes(a.name); bytes > b.bounds.record {
			return Record{}, bytes
		}
	}
	slices.SortFunc(list, byName)
	r.Lines = b.unclaimed(now)
	first := len(r.Lines)
	for _, a := range list {
		r.Lines = append(r.Lines, a.line(now))
	}
	bytes = 0
	for i := range r.Lines {
		bytes += r.Lines[i].bytes()
	}
	if bytes > b.bounds.record {
		return Record{}, bytes
	}
	for _, a := range b.accounts {
		a.isPending, a.pending = true, permit{}
		b.recording = append(b.recording, a)
	}
	for i, a := range list {
		a.setPending(&r.Lines[first+i])
	}
	return r, bytes
}

// makePart returns a Record of those accounts that need one most. What the log says of the
// others stays.
func (b *Book) makePart(now event.Time) (r Record, bytes int) {
	r.Part = true
	r.Gone, bytes = b.strays(now)
	for _, a := range b.needy(now) {
		if bytes >= b.bounds.record {
			b.isDue = b.isDue || a.wanted > 0 || a.isStale || a.isSpent(now)
			break
		}
		a.isPending, a.pending = true, permit{}
		b.recording = append(b.recording, a)
		if !a.isRecordable(now) {
			r.Gone = append(r.Gone, a.name)
			bytes += goneBytes(a.name)
			continue
		}
		line := a.line(now)
		line.Mark = max(line.Mark, int(partMark*float64(a.limit.Most-a.total(now))))
		a.setPending(&line)
		r.Lines = append(r.Lines, line)
		bytes += line.bytes()
	}
	return r, bytes
}

func goneBytes(name Account) int { return 3 + nameBytes(name) }

// needy returns the accounts that may be in a Record, those first that can't go on without.
func (b *Book) needy(now event.Time) []*account {
	type one struct {
		account *account
		need    float64
	}
	var all []one
	for _, a := range b.accounts {
		if need := a.need(now); need > 0 {
			all = append(all, one{a, need})
		}
	}
	slices.SortFunc(all, func(u, v one) int {
		return cmp.Or(cmp.Compare(v.need, u.need), byName(u.account, v.account))
	})
	list := make([]*account, len(all))
	for i := range all {
		list[i] = all[i].account
	}
	return list
}

// need is how much an account needs a Record: up to 1 by how much of what is permitted is
// used up, more for what waits; 0 if it needs none.
func (a *account) need(now event.Time) float64 {
	p := &a.committed
	switch {
	case a.wanted > 0:
		return 4
	case a.isStale:
		return 3
	case !p.recorded && a.isHigh(now):
		return 2
	case p.recorded && !a.isHigh(now):
		return leastNeed
	case !p.recorded:
		return 0
	}
	need := max(float64(p.spent)/float64(p.mark), float64(p.returned)/float64(max(1, p.lent)))
	if need < leastNeed {
		return 0
	}
	return need
}

// leastNeed is the part of what is permitted that must be used up for a place in a Record
// that has not room for all.
const leastNeed = 0.25

// pastCounts reports whether what earlier owners wrote may count still.
func (b *Book) pastCounts(now event.Time) bool {
	return !b.isFirst && (len(b.limits) == 0 || now < b.began.Add(b.fresh).Add(b.longest))
}

// unclaimed returns what earlier owners wrote of accounts of which this one has no limit. A Record that
// replaces all must repeat it while it counts: a team that is missing from one configuration, or
// from the one that an owner begins with, would else have its quota anew at the next owner.
func (b *Book) unclaimed(now event.Time) []Line {
	if !b.pastCounts(now) {
		return nil
	}
	var lines []Line
	for _, name := range slices.Sorted(maps.Keys(b.past)) {
		if b.accounts[name] == nil {
			lines = append(lines, b.past[name].Line)
		}
	}
	return lines
}

// strays returns accounts that earlier owners wrote of and that are not used any more, some
// at a time, and how much they take in a Record.
func (b *Book) strays(now event.Time) (names []Account, bytes int) {
	if b.pastCounts(now) {
		return nil, 0
	}
	for _, name := range slices.Sorted(maps.Keys(b.past)) {
		if bytes > b.bounds.record/4 {
			break
		}
		delete(b.past, name)
		if b.accounts[name] == nil {
			names = append(names, name)
			bytes += goneBytes(name)
		}
	}
	return names, bytes
}

func byName(v, w *account) int { return cmp.Compare(v.name, w.name) }

// line returns what a Record is to say of an account.
func (a *account) line(now event.Time) Line {
	return Line{
		Account: a.name, Spent: a.parts(now),
		Mark: max(int(float64(a.limit.Base)*markPart), markLeast, a.wanted),
		Lent: a.inherited + max(a.lent, a.lendMost(now)),
	}
}

// setPending takes note of what a Line that is on its way permits.
func (a *account) setPending(line *Line) {
	a.isPending = true
	a.pending = permit{recorded: true, mark: line.Mark, lent: line.Lent}
	a.wanted = 0
}

// Committed says that the Record that was made last is in the log for good.
func (b *Book) Committed() {
	for _, a := range b.recording {
		a.committed, a.isPending, a.isStale = a.pending, false, false
		delete(b.past, a.name)
	}
	b.recording = b.recording[:0]
	b.isPending, b.isRecorded = false, true
}

// Foreign says that a Record came to be in the log that this Book did not make: its owner
// proposed it before it ceased and began anew. What it says stands until a Record of this
// Book speaks of the same accounts.
func (b *Book) Foreign(now event.Time, r Record) {
	for _, line := range r.Lines {
		if a := b.account(now, line.Account); a != nil {
			a.isStale = true
			b.isDue = true
			continue
		}
		b.past[line.Account] = &heardLine{Line: line, at: now}
	}
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
func (a *account) inherit(now event.Time, b *Book, line *heardLine) {
	a.inheritedUntil = b.began.Add(b.fresh)
	if line == nil {
		a.inherited = a.free()
		a.expire(now)
		return
	}
	a.isStale = true
	a.spent.slide(now)
	for i, amount := range line.Spent {
		age := a.limit.Window * event.Span(i) / recordBins
		a.spent.put(line.at.Add(-age), amount)
	}
	a.spent.put(b.began, line.Mark)
	a.inherited = line.Lent
	a.expire(now)
}
