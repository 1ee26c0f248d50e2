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

// batch returns the entries from i on that go into one message: one at least, if there is
// one. They must not be changed.
func (l *raftLog) batch(i Index) []Entry {
	part := l.from(i, maxEntries)
	for n, sum := 0, 0; n < len(part); n++ {
		sum += len(part[n].Data)
		if n > 0 && sum > appendBytes {
			return part[:n:n]
		}
	}
	return part
}

// tail returns the index from behind which entries are kept when all up to i are in a
// snapshot.
func (l *raftLog) tail(i Index) Index {
	sum := 0
	for at := i; at > l.base; at-- {
		sum += len(l.entries[at-l.base-1].Data)
		if sum > keepBytes || i-at >= keepEntries {
			return at
		}
	}
	return l.base
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
