// SPDX-License-Identifier: MIT

package store

import (
	"encoding/binary"
	"encoding/json"
	"iter"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"lynxramp.org/consensus"
)

// A snapshot's file has one record with its head (index, term and length of the data, 8 bytes each,
// and the members as JSON) and then the data, in records of pieces.
const (
	snapshotHead = 24
	// snapshotPiece is the length of a piece in bytes: that of one buffer more while a snapshot is
	// written, whatever its size.
	snapshotPiece = 1 << 20
)

// snapshotRecords returns the records of a snapshot's file. Each is gone with the next.
func snapshotRecords(s *consensus.Snapshot) (iter.Seq[[]byte], error) {
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
	if err != nil || len(head) < 1+snapshotHead || head[0] != recordSnapshot {
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
		if err != nil || len(content) == 0 || content[0] != recordPiece {
			return snap, errors.Wrap(ErrDamaged, "piece")
		}
		snap.Data = append(snap.Data, content[1:]...)
		file = file[length:]
	}
	if uint64(len(snap.Data)) != size {
		return snap, errors.Wrapf(ErrDamaged, "%d bytes of %d", len(snap.Data), size)
	}
	return snap, nil
}
