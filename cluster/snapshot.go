// SPDX-License-Identifier: MIT

package cluster

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"lynxramp.org/budget"
	"lynxramp.org/level"
	"lynxramp.org/poison"
	"lynxramp.org/registry"
)

// The first byte of a snapshot is its encoding: formatJSON for the oldest formats, formatParts,
// formatSuspects, and formatVersioned, which is followed by the format version.
const (
	formatJSON      = '{'
	formatParts     = 1
	formatSuspects  = 2
	formatVersioned = 3
	lastFormat      = formatVersioned
)

// errSnapshot is the error of a malformed snapshot.
var errSnapshot = errors.New("malformed snapshot")

// jsonState is the state in JSON.
type jsonState struct {
	Version  uint64         `json:"version"`
	Data     []byte         `json:"data"`
	Registry registry.State `json:"registry"`
	Budgets  budget.Record  `json:"spending"`
}

// snapshot encodes the state in the newest encoding of its format version. Documents are compressed, as
// in the log. Equal states have equal snapshots, so that a member can assemble one from the chunks of
// several leaders.
func (m *stateMachine) snapshot() []byte {
	var data []byte
	switch {
	case m.formatVersion >= level.Negotiated:
		data = []byte{formatVersioned, byte(m.formatVersion)}
	case m.formatVersion == level.Suspects:
		data = []byte{formatSuspects}
	case m.formatVersion == level.Chunked:
		data = []byte{formatParts}
	default:
		return m.jsonSnapshot()
	}
	if m.document.Version > 0 {
		m.document.pack()
		data = appendParts(data, m.document.packed.key, m.document.packed.parts)
	} else {
		data = appendParts(data, documentKey{}, nil)
	}
	data = appendParts(data, m.upload.key, m.upload.parts)
	data = appendJSON(data, m.registry)
	data = appendJSON(data, m.budgets.Record())
	if m.formatVersion < level.Suspects {
		return data
	}
	data = appendJSON(data, m.poison.Record())
	hasVersions := m.formatVersion >= level.Versions
	if m.formatVersion < level.Rollouts || len(m.rollouts.Services()) == 0 && !hasVersions {
		return data
	}
	data = appendJSON(data, &m.rollouts)
	if hasVersions {
		data = appendJSON(data, &m.versions)
	}
	return data
}

func (m *stateMachine) jsonSnapshot() []byte {
	data, err := json.Marshal(jsonState{
		Version: m.document.Version, Data: m.document.Data, Registry: m.registry, Budgets: m.budgets.Record(),
	})
	if err != nil {
		panic(err) // texts and numbers always encode
	}
	return data
}

func appendParts(data []byte, k documentKey, parts [][]byte) []byte {
	data = appendKey(data, k)
	data = binary.AppendUvarint(data, uint64(len(parts)))
	for _, p := range parts {
		data = appendBytes(data, p)
	}
	return data
}

func appendBytes(data, field []byte) []byte {
	data = binary.AppendUvarint(data, uint64(len(field)))
	return append(data, field...)
}

func appendJSON(data []byte, v any) []byte {
	field, err := json.Marshal(v)
	if err != nil {
		panic(err) // texts and numbers always encode
	}
	return appendBytes(data, field)
}

// restore replaces the state by a snapshot of any supported format version. An empty snapshot is that of a
// new group of a build without format versions. The error for a snapshot of a later build is a
// level.UnsupportedError.
func (m *stateMachine) restore(data []byte, supported level.Level) error {
	*m = stateMachine{}
	if len(data) == 0 {
		return nil
	}
	r := &reader{data: data[1:]}
	switch data[0] {
	case formatJSON:
		return m.restoreJSON(data)
	case formatParts:
		m.formatVersion = level.Chunked
	case formatSuspects:
		m.formatVersion = level.Suspects
	case formatVersioned:
		if version := r.take(1); version != nil {
			m.formatVersion = level.Level(version[0])
		}
	default:
		return unknownFormatError(data[0])
	}
	if m.formatVersion > supported {
		return level.Unsupported("a snapshot", m.formatVersion, supported)
	}
	return errors.Wrap(m.restoreFields(r), "restore snapshot")
}

// unknownFormatError returns the error for a snapshot with an unknown encoding.
func unknownFormatError(format byte) error {
	if format == 0 || format > lastFormat+maxFutureFormats {
		return errSnapshot
	}
	return &level.UnsupportedError{
		Source: "a snapshot", Found: fmt.Sprintf("format %d", format),
		Supported: fmt.Sprintf("formats up to %d (level %d)", lastFormat, level.Newest),
	}
}

// maxFutureFormats is how many encodings later builds may add, so that their snapshots are distinguished
// from corrupt data.
const maxFutureFormats = 16

func (m *stateMachine) restoreJSON(data []byte) error {
	var s jsonState
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(errSnapshot, err.Error())
	}
	m.formatVersion = level.Listed
	m.document = Document{Version: s.Version, Data: s.Data}
	m.registry = s.Registry
	m.budgets.Apply(s.Budgets)
	return nil
}

func (m *stateMachine) restoreFields(r *reader) error {
	document := r.upload()
	m.upload = r.upload()
	r.json(&m.registry)
	var spending budget.Record
	r.json(&spending)
	m.budgets.Apply(spending)
	if m.formatVersion >= level.Suspects {
		var known poison.Record
		r.json(&known)
		m.poison.Apply(known)
	}
	if m.formatVersion >= level.Rollouts && len(r.data) > 0 {
		r.json(&m.rollouts)
	}
	m.keepPastOrders()
	if m.formatVersion >= level.Versions && len(r.data) > 0 {
		r.json(&m.versions)
	}
	if r.err == nil && document.isComplete() {
		m.document, r.err = document.document()
	}
	return r.err
}

// reader decodes the output of appendParts and appendJSON. After an error it reads nothing.
type reader struct {
	data []byte
	err  error
}

// take returns the next n bytes.
func (r *reader) take(n uint64) []byte {
	if r.err != nil || n > uint64(len(r.data)) {
		r.fail(errSnapshot)
		return nil
	}
	field := r.data[:n:n]
	r.data = r.data[n:]
	return field
}

func (r *reader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (r *reader) uvarint() uint64 {
	n, size := binary.Uvarint(r.data)
	if size <= 0 {
		r.fail(errSnapshot)
		return 0
	}
	r.take(uint64(size))
	return n
}

func (r *reader) upload() upload {
	key := r.take(keyBytes)
	if key == nil {
		return upload{}
	}
	u := upload{key: parseKey(key)}
	if u.key.Size > maxDocumentBytes {
		r.fail(errSnapshot)
	}
	for n := r.uvarint(); n > 0 && r.err == nil; n-- {
		if part := r.take(r.uvarint()); r.err == nil {
			r.fail(u.add(part))
		}
	}
	return u
}

func (r *reader) json(v any) {
	if field := r.take(r.uvarint()); r.err == nil {
		r.fail(json.Unmarshal(field, v))
	}
}
