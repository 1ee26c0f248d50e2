// SPDX-License-Identifier: MIT

package store

import (
	"encoding/json"
	"fmt"
	"iter"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
)

// File names.
const (
	identityFile   = "identity"
	lockFile       = "lock"
	snapshotPrefix = "snapshot-"
	logPrefix      = "log-"
	tempSuffix     = ".tmp"
)

// Identity says which box, disk and group a folder belongs to.
type Identity struct {
	Box event.BoxID `json:"box"`
	// Disk distinguishes this disk from earlier ones of the same box.
	Disk event.Incarnation `json:"disk"`
	// Group is the name of the control group; empty until the box belongs to one.
	Group string `json:"group"`
	// InitialMembers are the initial members of the group, if the box is one of them.
	InitialMembers []consensus.Member `json:"founders,omitempty"`
}

// Member returns the member ID of the box with this disk.
func (i Identity) Member() consensus.ID { return consensus.MakeID(i.Box, i.Disk) }

// Store is an open data folder. Its methods must be called from one goroutine.
type Store struct {
	dir         string
	lock        *os.File
	log         *os.File
	hard        consensus.HardState
	logBytes    int64
	needsRepair bool // a write failed: ignore what follows logBytes
	buf         []byte
}

// Open opens the data folder of a box, creating it if needed, and returns its content. A new folder
// gets an identity with incarnation disk.
func Open(dir string, box event.BoxID, disk event.Incarnation) (*Store, Identity, consensus.PersistentState, error) {
	var r consensus.PersistentState
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, Identity{}, r, errors.Wrap(err, "data folder")
	}
	s := &Store{dir: dir}
	if err := s.acquireLock(); err != nil {
		return nil, Identity{}, r, err
	}
	id, err := s.openIdentity(box, disk)
	if err == nil {
		r, err = s.load()
	}
	if err != nil {
		_ = s.lock.Close() // the first error is returned
		return nil, Identity{}, r, err
	}
	return s, id, r, nil
}

// acquireLock keeps other processes out of the folder.
func (s *Store) acquireLock() error {
	f, err := os.OpenFile(filepath.Join(s.dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return errors.Wrap(err, "lock")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // the lock error is returned
		return errors.Errorf("data folder %s is in use by another process", s.dir)
	}
	s.lock = f
	return nil
}

// Close closes the files and releases the lock.
func (s *Store) Close() error {
	err := s.log.Close()
	if closeErr := s.lock.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "close")
}

func (s *Store) openIdentity(box event.BoxID, disk event.Incarnation) (Identity, error) {
	var id Identity
	data, err := os.ReadFile(filepath.Join(s.dir, identityFile))
	if os.IsNotExist(err) {
		id = Identity{Box: box, Disk: disk}
		return id, s.SetIdentity(id)
	}
	if err != nil {
		return id, errors.Wrap(err, "identity")
	}
	if err := json.Unmarshal(data, &id); err != nil {
		return id, errors.Wrap(ErrDamaged, "identity")
	}
	if id.Box != box {
		return id, errors.Errorf("data folder %s belongs to box %q, not to %q", s.dir, id.Box, box)
	}
	return id, nil
}

// SetIdentity saves the identity of the folder.
func (s *Store) SetIdentity(id Identity) error {
	data, err := json.Marshal(id)
	if err != nil {
		return errors.Wrap(err, "identity")
	}
	return s.replaceFile(identityFile, slices.Values([][]byte{data}))
}

// replaceFile replaces a file atomically: the concatenated pieces are written and synced, then
// renamed over the old file.
func (s *Store) replaceFile(name string, pieces iter.Seq[[]byte]) error {
	path := filepath.Join(s.dir, name)
	f, err := os.OpenFile(path+tempSuffix, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, name)
	}
	err = writeAll(f, pieces)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(path+tempSuffix, path)
	}
	if err != nil {
		return errors.Wrap(err, name)
	}
	return s.syncDir()
}

func writeAll(f *os.File, pieces iter.Seq[[]byte]) error {
	for p := range pieces {
		if _, err := f.Write(p); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) syncDir() error {
	d, err := os.Open(s.dir)
	if err != nil {
		return errors.Wrap(err, "data folder")
	}
	err = d.Sync()
	if closeErr := d.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "data folder")
}

// Save writes and syncs what r asks for.
func (s *Store) Save(r *consensus.Ready) error {
	if r.HardState != nil {
		s.hard = *r.HardState
	}
	if r.Snapshot != nil {
		return s.saveSnapshot(r.Snapshot, r.Entries)
	}
	s.buf = s.buf[:0]
	if r.HardState != nil {
		s.buf = appendHardState(s.buf, *r.HardState)
	}
	for _, e := range r.Entries {
		s.buf = appendEntry(s.buf, e)
	}
	return s.writeLog(s.buf)
}

// writeLog appends data to the log and syncs it. After an error the log's content is as before, so
// that the same data can be written again.
func (s *Store) writeLog(data []byte) error {
	if err := s.repair(); err != nil {
		return err
	}
	_, err := s.log.Write(data)
	if err == nil {
		err = s.log.Sync()
	}
	if err != nil {
		s.needsRepair = true
		return errors.Wrap(err, "log")
	}
	s.logBytes += int64(len(data))
	return nil
}

// repair truncates what a failed write may have left at the end of the log.
func (s *Store) repair() error {
	if !s.needsRepair {
		return nil
	}
	if err := s.log.Truncate(s.logBytes); err != nil {
		return errors.Wrap(err, "log")
	}
	if _, err := s.log.Seek(s.logBytes, 0); err != nil {
		return errors.Wrap(err, "log")
	}
	s.needsRepair = false
	return nil
}

// LogBytes returns the length of the log file, which starts after the last snapshot.
func (s *Store) LogBytes() int64 { return s.logBytes }

// saveSnapshot starts a new log after a new snapshot and removes the old files.
func (s *Store) saveSnapshot(snap *consensus.Snapshot, entries []consensus.Entry) error {
	records, err := snapshotRecords(snap)
	if err != nil {
		return err
	}
	// The log must be written first: a snapshot without its log would look as if the log had been
	// lost.
	if err := s.startLog(snap.Index, entries); err != nil {
		return err
	}
	if err := s.replaceFile(fileName(snapshotPrefix, snap.Index), records); err != nil {
		return err
	}
	return s.removeBefore(snap.Index)
}

// startLog creates the log after a snapshot, with the hard state and entries, and opens it.
func (s *Store) startLog(after consensus.Index, entries []consensus.Entry) error {
	buf := appendHardState(nil, s.hard)
	for _, e := range entries {
		buf = appendEntry(buf, e)
	}
	name := fileName(logPrefix, after)
	if err := s.replaceFile(name, slices.Values([][]byte{buf})); err != nil {
		return err
	}
	return s.openLog(name, int64(len(buf)))
}

// openLog makes a file the current log, written to from offset length on.
func (s *Store) openLog(name string, length int64) error {
	f, err := os.OpenFile(filepath.Join(s.dir, name), os.O_RDWR, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	if _, err := f.Seek(length, 0); err != nil {
		return errors.Wrap(err, "log")
	}
	if s.log != nil {
		_ = s.log.Close() // all its data is synced
	}
	s.log = f
	s.logBytes = length
	return nil
}

// removeBefore removes the snapshots and logs before an index.
func (s *Store) removeBefore(keep consensus.Index) error {
	for _, prefix := range [...]string{snapshotPrefix, logPrefix} {
		indexes, err := s.indexes(prefix)
		if err != nil {
			return err
		}
		for _, n := range indexes {
			if n >= keep {
				continue
			}
			if err := os.Remove(filepath.Join(s.dir, fileName(prefix, n))); err != nil {
				return errors.Wrap(err, "old file")
			}
		}
	}
	return s.syncDir()
}

// fileName returns the name of the file with a prefix and an index.
func fileName(prefix string, n consensus.Index) string { return fmt.Sprintf("%s%020d", prefix, n) }

// indexes returns the sorted indexes of the files with a prefix.
func (s *Store) indexes(prefix string) ([]consensus.Index, error) {
	files, err := os.ReadDir(s.dir)
	if err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	var list []consensus.Index
	for _, f := range files {
		rest, ok := strings.CutPrefix(f.Name(), prefix)
		if !ok || strings.HasSuffix(rest, tempSuffix) {
			continue
		}
		n, err := strconv.ParseUint(rest, 10, 64)
		if err != nil {
			return nil, errors.Wrapf(ErrDamaged, "file %s", f.Name())
		}
		list = append(list, consensus.Index(n))
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list, nil
}
