// SPDX-License-Identifier: MIT

package consensus

import (
	"encoding/json"
)

// raftLog is the log after the last snapshot, in memory.
type raftLog struct {
	base     Index // index before entries[0]
	baseTerm Term
	entries  []Entry
}

func (l *raftLog) last() Index { return l.base + Index(len(l.entries)) }

func (l *raftLog) lastTerm() Term { t, _ := l.term(l.last()); return t }

// term returns the term of entry i; false if it is not in memory.
func (l *raftLog) term(i Index) (Term, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	default:
		return l.entries[i-l.base-1].Term, true
	}
}

// entriesFrom returns up to limit entries from i on. They must not be modified.
func (l *raftLog) entriesFrom(i Index, limit int) []Entry {
	if i <= l.base || i > l.last() {
		return nil
	}
	part := l.entries[i-l.base-1:]
	return part[:min(limit, len(part)):min(limit, len(part))]
}

// batch returns up to limit entries from i on, of up to size bytes, but at least one if there is
// any. They must not be modified.
func (l *raftLog) batch(i Index, limit, size int) []Entry {
	batch := l.entriesFrom(i, limit)
	for n, e := range batch {
		size -= len(e.Data)
		if size < 0 && n > 0 {
			return batch[:n:n]
		}
	}
	return batch
}

// tail returns up to limit last entries up to i, of up to size bytes.
func (l *raftLog) tail(i Index, limit, size int) []Entry {
	if i <= l.base || i > l.last() {
		return nil
	}
	upTo := l.entries[:i-l.base]
	from := len(upTo)
	for from > 0 && len(upTo)-from < limit {
		size -= len(upTo[from-1].Data)
		if size < 0 {
			break
		}
		from--
	}
	return upTo[from:]
}

// truncate drops the entries from i on.
func (l *raftLog) truncate(i Index) {
	if i <= l.last() && i > l.base {
		l.entries = append([]Entry(nil), l.entries[:i-l.base-1]...)
	}
}

// compact drops the entries up to i.
func (l *raftLog) compact(i Index) {
	t, ok := l.term(i)
	if !ok || i <= l.base {
		return
	}
	l.entries = append([]Entry(nil), l.entries[i-l.base:]...)
	l.base, l.baseTerm = i, t
}

// bytesOf returns the length of the entries' data.
func bytesOf(entries []Entry) int {
	sum := 0
	for _, e := range entries {
		sum += len(e.Data)
	}
	return sum
}

// isUpToDate reports whether a log whose last entry is (index, term) is at least as up to date as
// this one.
func (l *raftLog) isUpToDate(index Index, term Term) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// lastMembership returns the last membership among entries.
func lastMembership(entries []Entry) (Membership, bool) {
	for i := len(entries) - 1; i >= 0; i-- {
		if entries[i].Kind != EntryMembers {
			continue
		}
		var m Membership
		if err := json.Unmarshal(entries[i].Data, &m); err == nil {
			return m, true
		}
	}
	return Membership{}, false
}
