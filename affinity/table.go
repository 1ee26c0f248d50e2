// SPDX-License-Identifier: MIT

package affinity

import (
	"maps"
	"slices"

	"lynxramp.org/event"
)

// Limits of a Table.
const (
	// MaxOwnerStreams and MaxEntryStreams bound the streams of a Table: 20,000 requests a second over 15 s, and a
	// hundredth of those.
	MaxOwnerStreams = 300_000
	MaxEntryStreams = 8192
	sweepInterval   = event.Second
)

// Binding is the version of a stream. Its field names are part of the wire format.
type Binding struct {
	Key     Key
	Version string
	// Left is the time for which the stream may still be resumed.
	Left event.Duration
}

// Table has the versions of streams that may still be resumed. Use NewTable to make one. It is not safe for concurrent use.
type Table struct {
	limit   int
	streams map[Key]stream
	names   []string // versions, by index in streams
	indices map[string]uint16
	sweepAt event.Time
}

// stream is what is known of a stream.
type stream struct {
	expires event.Time
	version uint16
	begun   bool // its first event arrived from this version
	// conflicting is set if it is unknown which of several versions began it.
	conflicting bool
}

// maxNames bounds the versions of a Table. Streams of others are not recorded.
const maxNames = 1 << 12

// NewTable returns an empty Table of at most limit streams.
func NewTable(limit int) *Table {
	return &Table{limit: limit, streams: make(map[Key]stream), indices: make(map[string]uint16)}
}

// Grant records that an attempt was granted to an endpoint of a version. Until its first event arrives, another
// grant of the attempt may be to another version.
func (t *Table) Grant(now event.Time, key Key, version string, left event.Duration) {
	i, ok := t.index(version)
	if !ok || key == "" {
		return
	}
	s, known := t.get(now, key)
	switch {
	case !known && !t.hasRoom(now):
		return
	case !known:
		s = stream{version: i}
	case s.version != i:
		s.conflicting = true
	}
	s.expires = max(s.expires, now.Add(left))
	t.streams[key] = s
}

// Begin records that the first event of a stream arrived from an endpoint of a version.
func (t *Table) Begin(now event.Time, key Key, version string, left event.Duration) {
	i, ok := t.index(version)
	if !ok || key == "" {
		return
	}
	s, known := t.get(now, key)
	if !known && !t.hasRoom(now) {
		return
	}
	if known && s.begun && s.version != i {
		s.conflicting = true // two requests have the same ID
	} else {
		s = stream{version: i, begun: true, expires: s.expires, conflicting: s.conflicting && s.begun}
	}
	s.expires = max(s.expires, now.Add(left))
	t.streams[key] = s
}

// Version returns the version to which a stream is bound; false if it is not known.
func (t *Table) Version(now event.Time, key Key) (string, bool) {
	s, ok := t.get(now, key)
	if !ok || s.conflicting {
		return "", false
	}
	return t.names[s.version], true
}

// Extend prolongs the time for which a stream may be resumed.
func (t *Table) Extend(now event.Time, key Key, left event.Duration) {
	if s, ok := t.get(now, key); ok {
		s.expires = max(s.expires, now.Add(left))
		t.streams[key] = s
	}
}

// Bindings returns the known versions of all streams, in order of their keys.
func (t *Table) Bindings(now event.Time) []Binding {
	var list []Binding
	for _, key := range slices.Sorted(maps.Keys(t.streams)) {
		if version, ok := t.Version(now, key); ok {
			list = append(list, Binding{Key: key, Version: version, Left: t.streams[key].expires.Sub(now)})
		}
	}
	return list
}

// Len returns the number of streams, including expired ones that were not removed yet.
func (t *Table) Len() int { return len(t.streams) }

// Sweep removes expired streams, at most once a second.
func (t *Table) Sweep(now event.Time) {
	if now < t.sweepAt || len(t.streams) == 0 {
		return
	}
	t.sweepAt = now.Add(sweepInterval)
	maps.DeleteFunc(t.streams, func(_ Key, s stream) bool { return now >= s.expires })
}

func (t *Table) get(now event.Time, key Key) (stream, bool) {
	s, ok := t.streams[key]
	if !ok || now >= s.expires {
		return stream{}, false
	}
	return s, true
}

// hasRoom reports whether one more stream may be recorded. A stream that is not recorded can't be resumed.
func (t *Table) hasRoom(now event.Time) bool {
	if len(t.streams) >= t.limit {
		t.Sweep(now)
	}
	return len(t.streams) < t.limit
}

func (t *Table) index(version string) (uint16, bool) {
	i, ok := t.indices[version]
	if !ok && len(t.names) < maxNames {
		i, ok = uint16(len(t.names)), true
		t.names, t.indices[version] = append(t.names, version), i
	}
	return i, ok
}
