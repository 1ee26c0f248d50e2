// SPDX-License-Identifier: MIT

package store

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"lynxramp.org/consensus"
)

// load reads the folder and opens the log for writing.
func (s *Store) load() (consensus.PersistentState, error) {
	var r consensus.PersistentState
	snapshots, err := s.indexes(snapshotPrefix)
	if err != nil {
		return r, err
	}
	logs, err := s.indexes(logPrefix)
	if err != nil {
		return r, err
	}
	if len(snapshots) > 0 {
		if r.Snapshot, err = s.loadSnapshot(snapshots[len(snapshots)-1]); err != nil {
			return r, err
		}
	}
	name := fileName(logPrefix, r.Snapshot.Index)
	if !containsIndex(logs, r.Snapshot.Index) {
		if len(logs) > 0 || len(snapshots) > 0 {
			return r, errors.Wrapf(ErrDamaged, "%s is missing", name)
		}
		return r, s.startLog(0, nil)
	}
	data, err := os.ReadFile(filepath.Join(s.dir, name))
	if err != nil {
		return r, errors.Wrap(err, "log")
	}
	length, err := parseLog(data, &r)
	if err != nil {
		return r, errors.Wrap(err, name)
	}
	s.hard = r.HardState
	if err := s.openLog(name, int64(length)); err != nil {
		return r, err
	}
	if length == len(data) {
		return r, nil
	}
	if err := s.log.Truncate(int64(length)); err != nil {
		return r, errors.Wrap(err, "truncating the torn end of the log")
	}
	return r, errors.Wrap(s.log.Sync(), "truncating the torn end of the log")
}

func containsIndex(list []consensus.Index, i consensus.Index) bool {
	for _, n := range list {
		if n == i {
			return true
		}
	}
	return false
}

// parseLog reads a log's records into r, whose snapshot is set, and returns the length of the
// intact part. A bad record is a torn end unless an intact record follows it; then it is
// ErrDamaged.
func parseLog(data []byte, r *consensus.PersistentState) (int, error) {
	offset := 0
	for offset < len(data) {
		content, length, err := readRecord(data[offset:])
		if err != nil {
			if containsRecord(data[offset+1:]) {
				return 0, errors.Wrapf(ErrDamaged, "at byte %d, followed by intact records", offset)
			}
			return offset, nil
		}
		if err := applyRecord(content, r); err != nil {
			return 0, errors.Wrapf(err, "at byte %d", offset)
		}
		offset += length
	}
	return offset, nil
}

func applyRecord(content []byte, r *consensus.PersistentState) error {
	if len(content) == 0 {
		return errors.Wrap(ErrDamaged, "empty record")
	}
	switch content[0] {
	case recordHardState:
		h, err := parseHardState(content[1:])
		if err != nil {
			return err
		}
		if h.Term < r.HardState.Term {
			return errors.Wrap(ErrDamaged, "term decreases")
		}
		r.HardState = h
		return nil
	case recordEntry:
		e, err := parseEntry(content[1:])
		if err != nil {
			return err
		}
		return placeEntry(e, r)
	default:
		return unexpectedRecord(content[0])
	}
}

// placeEntry puts an entry at its index and drops all entries from there on.
func placeEntry(e consensus.Entry, r *consensus.PersistentState) error {
	next := r.Snapshot.Index + consensus.Index(len(r.Entries)) + 1
	if e.Index <= r.Snapshot.Index || e.Index > next {
		return errors.Wrapf(ErrDamaged, "entry %d out of order, next is %d", e.Index, next)
	}
	r.Entries = append(r.Entries[:e.Index-r.Snapshot.Index-1], e)
	return nil
}
