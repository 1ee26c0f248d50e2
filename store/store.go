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

// Names of the files.
const (
	identityFile   = "identity"
	lockFile       = "lock"
	snapshotPrefix = "snapshot-"
	logPrefix      = "log-"
	tempSuffix     = ".tmp"
)

// Identity says whose disk this is.
type Identity struct {
	Box event.BoxID `json:"box"`
	// Disk tells this disk's life from earlier ones of the box.
	Disk event.Incarnation `json:"disk"`
	// Group is the control group's name; empty until the box belongs to one.
	Group string `json:"group"`
	// Founders are the first members of the group, where the box is one.
	Founders []consensus.Member `json:"founders,omitempty"`
}

// Member returns the member that the box is while this disk lives.
func (i Identity) Member() consensus.ID { return consensus.MakeID(i.Box, i.Disk) }

// Store is an open data folder. Its methods are for one goroutine.
type Store struct {
	dir      string
	lock     *os.File
	log      *os.File
	hard     consensus.HardState
	logBytes int64
	spoiled  bool // a write failed: what is behind logBytes does not count
	buf      []byte
}

// Open opens the folder of a box, which is made if it is not there, and returns
// what it holds. A new folder gets an identity with the given incarnation.
func Open(dir string, box event.BoxID, disk event.Incarnation) (*Store, Identity, consensus.Restored, error) {
	var r consensus.Restored
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, Identity{}, r, errors.Wrap(err, "data folder")
	}
	s := &Store{dir: dir}
	if err := s.takeLock(); err != nil {
		return nil, Identity{}, r, err
	}
	id, err := s.openIdentity(box, disk)
	if err == nil {
		r, err = s.load()
	}
	if err != nil {
		_ = s.lock.Close() // the first error says it
		return nil, Identity{}, r, err
	}
	return s, id, r, nil
}

// takeLock keeps a second process off the folder.
func (s *Store) takeLock() error {
	f, err := os.OpenFile(filepath.Join(s.dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return errors.Wrap(err, "lock")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // the lock's error says it
		return errors.Errorf("data folder %s is in use by another process", s.dir)
	}
	s.lock = f
	return nil
}

// Close gives the folder up.
func (s *Store) Close() error {
	err := s.log.Close()
	if other := s.lock.Close(); err == nil {
		err = other
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
		return id, errors.Errorf("data folder %s is of box %q, not of %q", s.dir, id.Box, box)
	}
	return id, nil
}

// SetIdentity writes whose disk this is.
func (s *Store) SetIdentity(id Identity) error {
	data, err := json.Marshal(id)
	if err != nil {
		return errors.Wrap(err, "identity")
	}
	return s.replaceFile(identityFile, slices.Values([][]byte{data}))
}

// replaceFile puts a file in place, whole and synced, or leaves the old one. The file has all
// pieces, one after the other.
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
	if other := f.Close(); err == nil {
		err = other
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
	if other := d.Close(); err == nil {
		err = other
	}
	return errors.Wrap(err, "data folder")
}

// Save writes and syncs what a Ready asks for.
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

// writeLog adds data to the log and syncs it. After an error the log is as it was
// before, so that the same can be written again.
func (s *Store) writeLog(data []byte) error {
	if err := s.repair(); err != nil {
		return err
	}
	_, err := s.log.Write(data)
	if err == nil {
		err = s.log.Sync()
	}
	if err != nil {
		s.spoiled = true
		return errors.Wrap(err, "log")
	}
	s.logBytes += int64(len(data))
	return nil
}

// repair cuts off what a failed write may have left at the log's end.
func (s *Store) repair() error {
	if !s.spoiled {
		return nil
	}
	if err := s.log.Truncate(s.logBytes); err != nil {
		return errors.Wrap(err, "log")
	}
	if _, err := s.log.Seek(s.logBytes, 0); err != nil {
		return errors.Wrap(err, "log")
	}
	s.spoiled = false
	return nil
}

// LogBytes returns the length of the log since the last snapshot.
func (s *Store) LogBytes() int64 { return s.logBytes }

// saveSnapshot starts a new log behind a new snapshot and drops the old ones.
func (s *Store) saveSnapshot(snap *consensus.Snapshot, entries []consensus.Entry) error {
	records, err := snapshotRecords(snap)
	if err != nil {
		return err
	}
	// The log comes first: a snapshot without its log would look like one whose
	// entries were lost.
	if err := s.startLog(snap.Index, entries); err != nil {
		return err
	}
	if err := s.replaceFile(numbered(snapshotPrefix, snap.Index), records); err != nil {
		return err
	}
	return s.dropBefore(snap.Index)
}

// startLog opens the log behind a snapshot, with the hard state and entries.
func (s *Store) startLog(after consensus.Index, entries []consensus.Entry) error {
	buf := appendHardState(nil, s.hard)
	for _, e := range entries {
		buf = appendEntry(buf, e)
	}
	name := numbered(logPrefix, after)
	if err := s.replaceFile(name, slices.Values([][]byte{buf})); err != nil {
		return err
	}
	return s.openLog(name, int64(len(buf)))
}

// openLog makes a file the one that is written to, from a length on.
func (s *Store) openLog(name string, length int64) error {
	f, err := os.OpenFile(filepath.Join(s.dir, name), os.O_RDWR, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	if _, err := f.Seek(length, 0); err != nil {
		return errors.Wrap(err, "log")
	}
	if s.log != nil {
		_ = s.log.Close() // all in it was synced
	}
	s.log = f
	s.logBytes = length
	return nil
}

// dropBefore removes snapshots and logs of earlier numbers.
func (s *Store) dropBefore(keep consensus.Index) error {
	for _, prefix := range [...]string{snapshotPrefix, logPrefix} {
		numbers, err := s.numbers(prefix)
		if err != nil {
			return err
		}
		for _, n := range numbers {
			if n >= keep {
				continue
			}
			if err := os.Remove(filepath.Join(s.dir, numbered(prefix, n))); err != nil {
				return errors.Wrap(err, "old file")
			}
		}
	}
	return s.syncDir()
}

// numbered returns a file's name by what it holds and its number.
func numbered(prefix string, n consensus.Index) string { return fmt.Sprintf("%s%020d", prefix, n) }

// numbers returns the numbers of the files with a prefix, in order.
func (s *Store) numbers(prefix string) ([]consensus.Index, error) {
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
