// SPDX-License-Identifier: MIT

package store

import (
	"encoding/binary"
	"encoding/json"
	"iter"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"

	"lynxramp.org/consensus"
)

// A snapshot file has a header record (index, term and length of the data, 8 bytes each, and the
// members as JSON) and then the data in chunk records. If the data is JSON, the group has boxes
// below level.Chunked: then the file is one record with the whole snapshot as JSON, the only form
// that those read.
const (
	snapshotHeaderBytes = 24
	jsonStart           = '{'
	// snapshotChunkBytes is the size of a chunk; writing a snapshot needs one more buffer of this
	// size.
	snapshotChunkBytes = 1 << 20
)

// snapshotRecords returns the records of a snapshot file. Each is valid until the next one.
func snapshotRecords(s *consensus.Snapshot) (iter.Seq[[]byte], error) {
	if len(s.Data) > 0 && s.Data[0] == jsonStart {
		whole, err := json.Marshal(s)
		if err != nil {
			return nil, errors.Wrap(err, "snapshot")
		}
		return slices.Values([][]byte{appendRecord(nil, append([]byte{recordSnapshot}, whole...))}), nil
	}
	members, err := json.Marshal(s.Members)
	if err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	header := []byte{recordSnapshot}
	for _, n := range [...]uint64{uint64(s.Index), uint64(s.Term), uint64(len(s.Data))} {
		header = binary.BigEndian.AppendUint64(header, n)
	}
	header = append(header, members...)
	return func(yield func([]byte) bool) {
		if !yield(appendRecord(nil, header)) {
			return
		}
		var record []byte
		for rest := s.Data; len(rest) > 0; {
			n := min(snapshotChunkBytes, len(rest))
			record = appendRecord(record[:0], append([]byte{recordChunk}, rest[:n]...))
			if !yield(record) {
				return
			}
			rest = rest[n:]
		}
	}, nil
}

func (s *Store) loadSnapshot(n consensus.Index) (consensus.Snapshot, error) {
	name := fileName(snapshotPrefix, n)
	data, err := os.ReadFile(filepath.Join(s.dir, name))
	if err != nil {
		return consensus.Snapshot{}, errors.Wrap(err, "snapshot")
	}
	snap, err := parseSnapshot(data)
	if err == nil && snap.Index != n {
		err = errors.Wrap(ErrDamaged, "index differs from the file name")
	}
	return snap, errors.Wrap(err, name)
}

// parseSnapshot reads a complete snapshot file.
func parseSnapshot(file []byte) (consensus.Snapshot, error) {
	var snap consensus.Snapshot
	header, length, err := readRecord(file)
	switch {
	case err != nil || len(header) < 2:
		return snap, errors.Wrap(ErrDamaged, "snapshot header")
	case header[0] != recordSnapshot:
		return snap, unexpectedRecord(header[0])
	case header[1] == jsonStart:
		if err := json.Unmarshal(header[1:], &snap); err != nil || length != len(file) {
			return snap, errors.Wrap(ErrDamaged, "single-record snapshot")
		}
		return snap, nil
	case len(header) < 1+snapshotHeaderBytes:
		return snap, errors.Wrap(ErrDamaged, "snapshot header")
	}
	snap.Index = consensus.Index(binary.BigEndian.Uint64(header[1:]))
	snap.Term = consensus.Term(binary.BigEndian.Uint64(header[9:]))
	size := binary.BigEndian.Uint64(header[17:])
	if err := json.Unmarshal(header[1+snapshotHeaderBytes:], &snap.Members); err != nil {
		return snap, errors.Wrap(ErrDamaged, "snapshot members")
	}
	file = file[length:]
	for len(file) > 0 {
		content, length, err := readRecord(file)
		if err != nil || len(content) == 0 {
			return snap, errors.Wrap(ErrDamaged, "snapshot chunk")
		}
		if content[0] != recordChunk {
			return snap, unexpectedRecord(content[0])
		}
		snap.Data = append(snap.Data, content[1:]...)
		file = file[length:]
	}
	if uint64(len(snap.Data)) != size {
		return snap, errors.Wrapf(ErrDamaged, "snapshot has %d bytes of %d", len(snap.Data), size)
	}
	return snap, nil
}
