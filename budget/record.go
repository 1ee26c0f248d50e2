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
	// recordBins is the number of bins in which a Record divides a window.
	recordBins = 16
	// lineOverhead is the size of a Line in JSON without its name and amounts.
	lineOverhead = 48
	// escapeBytes is the most bytes that one byte of a name takes in JSON.
	escapeBytes = 6
	// partialHeadroom is the fraction of the remaining limit that a partial Record grants
	// as headroom at least: the more accounts there are, the rarer is a Record of each.
	partialHeadroom = 0.25
	// recordRate limits the rate of large Records in the log, in bytes per second.
	recordRate = 512 << 10
	// smallRecordBytes is the size up to which a Record does not count against recordRate.
	smallRecordBytes = 8 << 10
)

// Record is a command of the replicated log. A Record that is not partial replaces all
// before. A partial one replaces the lines of the accounts that it names.
type Record struct {
	Lines   []Line `json:"lines"`
	Partial bool   `json:"part,omitempty"`
	// Removed are accounts whose lines a partial Record removes.
	Removed []Account `json:"gone,omitempty"`
}

// Line is the state of one account in a Record.
type Line struct {
	Account Account `json:"account"`
	// Spent has the amounts spent, by age when the Record was made: bin i is at least
	// i/recordBins of a window old.
	Spent []int `json:"spent"`
	// Headroom is how much may be spent, and Leased how much may be on lease at any time,
	// until a newer Record is committed.
	Headroom int `json:"mark"`
	Leased   int `json:"lent"`
}

// bytes returns the largest size of the line in a Record.
func (l *Line) bytes() int {
	n := lineOverhead + nameBytes(l.Account) + digits(l.Headroom) + digits(l.Leased)
	for _, amount := range l.Spent {
		n += 2 + digits(amount)
	}
	return n
}

// nameBytes returns the largest size of a name in JSON.
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

// digits returns the number of decimal digits of an amount, at least one.
func digits(amount int) int {
	n := 1
	for ; amount >= 10; amount /= 10 {
		n++
	}
	return n
}

// Due reports whether a new Record should be made. It is false while one is pending, and
// for a while after a large one.
func (b *Allocator) Due() bool { return !b.isPending && !b.isThrottled && (b.isDue || !b.isRecorded) }

// isHighUsage reports whether so much of an account is used that it must be recorded.
func (a *account) isHighUsage(now event.Time) bool {
	return float64(a.total(now)) > float64(a.limit.Base)*recordFraction
}

// isRecordable reports whether an account needs a Line.
func (a *account) isRecordable(now event.Time) bool { return a.awaited > 0 || a.isHighUsage(now) }

// SetWholeRecords sets whether all Records are whole, whatever their size. It must be true
// while a box of the group reads no partial Records: such a box takes each for a whole one.
func (b *Allocator) SetWholeRecords(whole bool) {
	b.bounds.recordBytes = defaultBounds.recordBytes
	if whole {
		b.bounds.recordBytes = math.MaxInt
	}
}

// MakeRecord returns a Record to propose to the log. Until Committed is called, both the
// last committed Record and this one are respected.
func (b *Allocator) MakeRecord(now event.Time) Record {
	b.isPending, b.isDue = true, false
	b.recording = b.recording[:0]
	r, bytes := b.makeWhole(now)
	if bytes > b.bounds.recordBytes {
		r, bytes = b.makePartial(now)
	}
	if bytes > smallRecordBytes {
		b.throttledUntil = now.Add(event.Second * event.Duration(bytes) / recordRate)
		b.isThrottled = true
	}
	return r
}

// makeWhole returns a Record of all recordable accounts and its size. The Record is empty
// if the size exceeds the bound.
func (b *Allocator) makeWhole(now event.Time) (r Record, bytes int) {
	var list []*account
	for _, a := range b.accounts {
		if !a.isRecordable(now) {
			continue
		}
		list = append(list, a)
		if bytes += lineOverhead + nameBytes(a.name); bytes > b.bounds.recordBytes {
			return Record{}, bytes
		}
	}
	slices.SortFunc(list, byName)
	r.Lines = b.linesWithoutLimit(now)
	first := len(r.Lines)
	for _, a := range list {
		r.Lines = append(r.Lines, a.line(now))
	}
	bytes = 0
	for i := range r.Lines {
		bytes += r.Lines[i].bytes()
	}
	if bytes > b.bounds.recordBytes {
		return Record{}, bytes
	}
	for _, a := range b.accounts {
		a.isPending, a.pending = true, allotment{}
		b.recording = append(b.recording, a)
	}
	for i, a := range list {
		a.setPending(&r.Lines[first+i])
	}
	return r, bytes
}

// makePartial returns a Record of the accounts that need one most. The log keeps the lines
// of the others.
func (b *Allocator) makePartial(now event.Time) (r Record, bytes int) {
	r.Partial = true
	r.Removed, bytes = b.removeUnused(now)
	for _, a := range b.byNeed(now) {
		if bytes >= b.bounds.recordBytes {
			b.isDue = b.isDue || a.awaited > 0 || a.isStale || a.needsRecord(now)
			break
		}
		a.isPending, a.pending = true, allotment{}
		b.recording = append(b.recording, a)
		if !a.isRecordable(now) {
			r.Removed = append(r.Removed, a.name)
			bytes += removedBytes(a.name)
			continue
		}
		line := a.line(now)
		line.Headroom = max(line.Headroom, int(partialHeadroom*float64(a.limit.Max-a.total(now))))
		a.setPending(&line)
		r.Lines = append(r.Lines, line)
		bytes += line.bytes()
	}
	return r, bytes
}

func removedBytes(name Account) int { return 3 + nameBytes(name) }

// byNeed returns the accounts that need a Record, those with the greatest need first.
func (b *Allocator) byNeed(now event.Time) []*account {
	type candidate struct {
		account *account
		need    float64
	}
	var all []candidate
	for _, a := range b.accounts {
		if need := a.need(now); need > 0 {
			all = append(all, candidate{a, need})
		}
	}
	slices.SortFunc(all, func(u, v candidate) int {
		return cmp.Or(cmp.Compare(v.need, u.need), byName(u.account, v.account))
	})
	list := make([]*account, len(all))
	for i := range all {
		list[i] = all[i].account
	}
	return list
}

// need returns how urgently an account needs a Record: 0 for not at all, up to 1 by the
// part of its allotment that is used, and more if the account is blocked until it has one.
func (a *account) need(now event.Time) float64 {
	p := &a.committed
	switch {
	case a.awaited > 0:
		return 4
	case a.isStale:
		return 3
	case !p.recorded && a.isHighUsage(now):
		return 2
	case p.recorded && !a.isHighUsage(now):
		return minNeed
	case !p.recorded:
		return 0
	}
	need := max(float64(p.spent)/float64(p.headroom), float64(p.charged)/float64(max(1, p.leased)))
	if need < minNeed {
		return 0
	}
	return need
}

// minNeed is the fraction of an allotment that must be used for a place in a partial
// Record.
const minNeed = 0.25

// priorMayCount reports whether what earlier owners recorded may still count.
func (b *Allocator) priorMayCount(now event.Time) bool {
	return !b.isFirst && (len(b.limits) == 0 || now < b.startedAt.Add(b.leaseTTL).Add(b.maxWindow))
}

// linesWithoutLimit returns the lines of earlier owners for accounts that have no limit
// here. A whole Record must repeat them while they count: a team that is missing from this
// owner's configuration would otherwise get its quota again from the next owner.
func (b *Allocator) linesWithoutLimit(now event.Time) []Line {
	if !b.priorMayCount(now) {
		return nil
	}
	var lines []Line
	for _, name := range slices.Sorted(maps.Keys(b.prior)) {
		if b.accounts[name] == nil {
			lines = append(lines, b.prior[name].Line)
		}
	}
	return lines
}

// removeUnused returns some of the accounts that earlier owners recorded and that are no
// longer used, and their size in a Record.
func (b *Allocator) removeUnused(now event.Time) (names []Account, bytes int) {
	if b.priorMayCount(now) {
		return nil, 0
	}
	for _, name := range slices.Sorted(maps.Keys(b.prior)) {
		if bytes > b.bounds.recordBytes/4 {
			break
		}
		delete(b.prior, name)
		if b.accounts[name] == nil {
			names = append(names, name)
			bytes += removedBytes(name)
		}
	}
	return names, bytes
}

func byName(v, w *account) int { return cmp.Compare(v.name, w.name) }

// line returns the Line of an account.
func (a *account) line(now event.Time) Line {
	return Line{
		Account: a.name, Spent: a.spentByAge(now),
		Headroom: max(int(float64(a.limit.Base)*headroomFraction), minHeadroom, a.awaited),
		Leased:   a.inherited + max(a.leased, a.leaseTarget(now)),
	}
}

// setPending sets the allotment of a Line that was proposed and is not yet committed.
func (a *account) setPending(line *Line) {
	a.isPending = true
	a.pending = allotment{recorded: true, headroom: line.Headroom, leased: line.Leased}
	a.awaited = 0
}

// Committed must be called when the last Record made is committed.
func (b *Allocator) Committed() {
	for _, a := range b.recording {
		a.committed, a.isPending, a.isStale = a.pending, false, false
		delete(b.prior, a.name)
	}
	b.recording = b.recording[:0]
	b.isPending, b.isRecorded = false, true
}

// ApplyForeign must be called for a committed Record that was not made by this Allocator:
// its owner proposed it before it restarted within the same term. The Record holds for its
// accounts until a Record of this Allocator replaces their lines.
func (b *Allocator) ApplyForeign(now event.Time, r Record) {
	for _, line := range r.Lines {
		if a := b.account(now, line.Account); a != nil {
			a.isStale = true
			b.isDue = true
			continue
		}
		b.prior[line.Account] = &datedLine{Line: line, at: now}
	}
}

// spentByAge returns the amounts spent, by age in recordBins.
func (a *account) spentByAge(now event.Time) []int {
	list := make([]int, recordBins)
	used := 0
	a.spent.each(now, func(age event.Duration, amount int) {
		bin := min(int(age*recordBins/a.limit.Window), recordBins-1)
		list[bin] += amount
		used = max(used, bin+1)
	})
	return list[:used]
}

// inherit initializes an account from the log: what its line has as spent, and all that the
// line allowed and that may have been spent since.
func (a *account) inherit(now event.Time, b *Allocator, line *datedLine) {
	a.inheritedUntil = b.startedAt.Add(b.leaseTTL)
	if line == nil {
		a.inherited = a.unrecordedMax()
		a.expire(now)
		return
	}
	a.isStale = true
	a.spent.slide(now)
	for i, amount := range line.Spent {
		age := a.limit.Window * event.Duration(i) / recordBins
		a.spent.put(line.at.Add(-age), amount)
	}
	a.spent.put(b.startedAt, line.Headroom)
	a.inherited = line.Leased
	a.expire(now)
}
