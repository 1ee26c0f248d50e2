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

// A snapshot's file has one record with its head (index, term and length of the data, 8 bytes each,
// and the members as JSON) and then the data, in records of pieces. A state machine whose data is
// JSON is that of a group with boxes below level.Parts: then the file has one record, all of it as
// JSON, which those read and no other.
const (
	snapshotHead = 24
	beginsJSON   = '{'
	// snapshotPiece is the length of a piece in bytes: that of one buffer more while a snapshot is
	// written, whatever its size.
	snapshotPiece = 1 << 20
)

// snapshotRecords returns the records of a snapshot's file. Each is gone with the next.
func snapshotRecords(s *consensus.Snapshot) (iter.Seq[[]byte], error) {
	if len(s.Data) > 0 && s.Data[0] == beginsJSON {
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
	head := []byte{recordSnapshot}
	for _, n := range [...]uint64{uint64(s.Index), uint64(s.Term), uint64(len(s.Data))} {
		head = binary.BigEndian.AppendUint64(head, n)
	}
	head = append(head, members...)
	return func(yield func([]byte) bool) {
		if !yield(appendRecord(nil, head)) {
			return
		}
		var record []byte
		for rest := s.Data; len(rest) > 0; {
			n := min(snapshotPiece, len(rest))
			record = appendRecord(record[:0], append([]byte{recordPiece}, rest[:n]...))
			if !yield(record) {
				return
			}
			rest = rest[n:]
		}
	}, nil
}

func (s *Store) loadSnapshot(n consensus.Index) (consensus.Snapshot, error) {
	name := numbered(snapshotPrefix, n)
	data, err := os.ReadFile(filepath.Join(s.dir, name))
	if err != nil {
		return consensus.Snapshot{}, errors.Wrap(err, "snapshot")
	}
	snap, err := parseSnapshot(data)
	if err == nil && snap.Index != n {
		err = errors.Wrap(ErrDamaged, "another index")
	}
	return snap, errors.Wrap(err, name)
}

// parseSnapshot reads a snapshot's file, which must be whole.
func parseSnapshot(file []byte) (consensus.Snapshot, error) {
	var snap consensus.Snapshot
	head, length, err := readRecord(file)
	switch {
	case err != nil || len(head) < 2:
		return snap, errors.Wrap(ErrDamaged, "head")
	case head[0] != recordSnapshot:
		return snap, unknownRecord(head[0])
	case head[1] == beginsJSON:
		if err := json.Unmarshal(head[1:], &snap); err != nil || length != len(file) {
			return snap, errors.Wrap(ErrDamaged, "one record")
		}
		return snap, nil
	case len(head) < 1+snapshotHead:
		return snap, errors.Wrap(ErrDamaged, "head")
	}
	snap.Index = consensus.Index(binary.BigEndian.Uint64(head[1:]))
	snap.Term = consensus.Term(binary.BigEndian.Uint64(head[9:]))
	size := binary.BigEndian.Uint64(head[17:])
	if err := json.Unmarshal(head[1+snapshotHead:], &snap.Members); err != nil {
		return snap, errors.Wrap(ErrDamaged, "members")
	}
	file = file[length:]
	for len(file) > 0 {
		content, length, err := readRecord(file)
		if err != nil || len(content) == 0 {
			return snap, errors.Wrap(ErrDamaged, "piece")
		}
		if content[0] != recordPiece {
			return snap, unknownRecord(content[0])
		}
		snap.Data = append(snap.Data, content[1:]...)
		file = file[length:]
	}
	if uint64(len(snap.Data)) != size {
		return snap, errors.Wrapf(ErrDamaged, "%d bytes of %d", len(snap.Data), size)
	}
	return snap, nil
}
