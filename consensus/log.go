// SPDX-License-Identifier: MIT

package consensus

import (
	"encoding/json"
)

// raftLog is the log after the last snapshot, in memory.
type raftLog struct {
	base     Index // of the snapshot; entries[0] has base+1
	baseTerm Term
	entries  []Entry
}

func (l *raftLog) last() Index { return l.base + Index(len(l.entries)) }

func (l *raftLog) lastTerm() Term { t, _ := l.term(l.last()); return t }

// term returns the term of an entry; false if it is not here.
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

// from returns the entries from i on, up to limit of them. They must not be
// changed.
func (l *raftLog) from(i Index, limit int) []Entry {
	if i <= l.base || i > l.last() {
		return nil
	}
	part := l.entries[i-l.base-1:]
	return part[:min(limit, len(part)):min(limit, len(part))]
}

// part returns the entries from i on, up to limit of them and so many bytes, but at least one
// if there is any. They must not be changed.
func (l *raftLog) part(i Index, limit, size int) []Entry {
	part := l.from(i, limit)
	for n, e := range part {
		size -= len(e.Data)
		if size < 0 && n > 0 {
			return part[:n:n]
		}
	}
	return part
}

// tail returns the last entries up to i, up to limit of them and so many bytes.
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

// cut drops the entries from i on.
func (l *raftLog) cut(i Index) {
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

// bytesOf returns the bytes of the entries' data.
func bytesOf(entries []Entry) int {
	sum := 0
	for _, e := range entries {
		sum += len(e.Data)
	}
	return sum
}

// isNewer reports whether a log that ends with (index, term) holds at least as
// much as this one.
func (l *raftLog) isNewer(index Index, term Term) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// membersIn returns the last membership among entries.
func membersIn(entries []Entry) (Membership, bool) {
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
