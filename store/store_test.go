// SPDX-License-Identifier: MIT

package store

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"lynxramp.org/consensus"
	"lynxramp.org/level"
)

func open(t *testing.T, dir string) (*Store, consensus.PersistentState) {
	t.Helper()
	s, _, r, err := Open(dir, "box", 7)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, r
}

func entries(from, to int, term consensus.Term) []consensus.Entry {
	var list []consensus.Entry
	for i := from; i <= to; i++ {
		list = append(list, consensus.Entry{Index: consensus.Index(i), Term: term, Kind: consensus.EntryCommand, Data: fmt.Appendf(nil, "data %d", i)})
	}
	return list
}

func save(t *testing.T, s *Store, r consensus.Ready) {
	t.Helper()
	if err := s.Save(&r); err != nil {
		t.Fatal(err)
	}
}

// filled returns a folder with a snapshot, a hard state and ten entries, the last five of which
// were replaced.
func filled(t *testing.T) (string, consensus.PersistentState) {
	t.Helper()
	dir := t.TempDir()
	s, _ := open(t, dir)
	save(t, s, consensus.Ready{Entries: entries(1, 4, 1)})
	snap := consensus.Snapshot{Index: 4, Term: 1, Members: consensus.Membership{Voters: []consensus.Member{{ID: "box@1", Address: "127.0.0.1:1"}}}, Data: []byte("state")}
	hard := consensus.HardState{Term: 3, Vote: "box@1"}
	save(t, s, consensus.Ready{HardState: &hard, Snapshot: &snap})
	save(t, s, consensus.Ready{Entries: entries(5, 14, 2)})
	save(t, s, consensus.Ready{Entries: entries(10, 12, 3)})
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	want := consensus.PersistentState{HardState: hard, Snapshot: snap, Entries: append(entries(5, 9, 2), entries(10, 12, 3)...)}
	return dir, want
}

func logFile(t *testing.T, dir string) string {
	t.Helper()
	return filepath.Join(dir, fileName(logPrefix, 4))
}

func TestReopenRestoresState(t *testing.T) {
	dir, want := filled(t)
	_, got := open(t, dir)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("restored (-want +got):\n%s", diff)
	}
}

// Cuts the log at each byte of its last record: all earlier records must be read, and the log must
// be writable again.
func TestTornRecordIsCutOff(t *testing.T) {
	dir, want := filled(t)
	whole, err := os.ReadFile(logFile(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	last := len(appendEntry(nil, want.Entries[len(want.Entries)-1]))
	want.Entries = want.Entries[:len(want.Entries)-1]
	for cut := 1; cut < last; cut++ {
		if err := os.WriteFile(logFile(t, dir), whole[:len(whole)-cut], 0o600); err != nil {
			t.Fatal(err)
		}
		s, got := open(t, dir)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("%d bytes cut off (-want +got):\n%s", cut, diff)
		}
		save(t, s, consensus.Ready{Entries: entries(12, 12, 4)})
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// Flips one bit in each byte of all records but the last: the folder must not open.
func TestDamagedLogIsRejected(t *testing.T) {
	dir, want := filled(t)
	whole, err := os.ReadFile(logFile(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	last := len(appendEntry(nil, want.Entries[len(want.Entries)-1]))
	for i := range len(whole) - last {
		broken := append([]byte(nil), whole...)
		broken[i] ^= 0x40
		if err := os.WriteFile(logFile(t, dir), broken, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, _, err := Open(dir, "box", 7); !errors.Is(err, ErrDamaged) {
			t.Fatalf("byte %d flipped: error %v, want ErrDamaged", i, err)
		}
	}
}

func TestDamagedSnapshotIsRejected(t *testing.T) {
	dir, _ := filled(t)
	file := filepath.Join(dir, fileName(snapshotPrefix, 4))
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/2] ^= 1
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := Open(dir, "box", 7); !errors.Is(err, ErrDamaged) {
		t.Errorf("damaged snapshot: error %v, want ErrDamaged", err)
	}
}

func TestSecondOpenIsRejected(t *testing.T) {
	dir := t.TempDir()
	open(t, dir)
	if _, _, _, err := Open(dir, "box", 7); err == nil {
		t.Error("the folder was opened by two stores at once")
	}
}

func FuzzParseLog(f *testing.F) {
	buf := appendHardState(nil, consensus.HardState{Term: 3, Vote: "b"})
	for _, e := range entries(1, 3, 3) {
		buf = appendEntry(buf, e)
	}
	f.Add(buf)
	f.Add(buf[:len(buf)-3])
	f.Fuzz(func(t *testing.T, data []byte) {
		var r consensus.PersistentState
		length, err := parseLog(data, &r)
		if err != nil {
			return
		}
		var again consensus.PersistentState
		if n, err := parseLog(data[:length], &again); err != nil || n != length {
			t.Errorf("the intact %d bytes are read as %d, %v", length, n, err)
		}
		if diff := cmp.Diff(r, again); diff != "" {
			t.Errorf("the intact part is read differently the second time:\n%s", diff)
		}
	})
}

// A snapshot larger than the maximum record must be readable.
func TestLargeSnapshotIsReadBack(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir)
	snap := consensus.Snapshot{Index: 4, Term: 1, Data: bytes.Repeat([]byte("a large state. "), maxRecord/15+1)}
	save(t, s, consensus.Ready{Snapshot: &snap, Entries: entries(5, 6, 1)})
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	_, r := open(t, dir)
	if !bytes.Equal(r.Snapshot.Data, snap.Data) || len(r.Entries) != 2 {
		t.Errorf("read %d bytes and %d entries, want %d and 2", len(r.Snapshot.Data), len(r.Entries), len(snap.Data))
	}
}

// A snapshot file that is truncated, damaged or has an extra chunk must be rejected.
func TestTornSnapshotIsRejected(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir)
	snap := consensus.Snapshot{Index: 4, Term: 1, Data: bytes.Repeat([]byte("s"), 3*snapshotChunkBytes+5)}
	save(t, s, consensus.Ready{Snapshot: &snap})
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, fileName(snapshotPrefix, 4))
	whole, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	chunk := appendRecord(nil, append([]byte{recordChunk}, 's'))
	lastChunk := len(whole) - headerBytes - 1 - 5
	for name, bad := range map[string][]byte{
		"empty":           {},
		"header only":     whole[:bytes.Index(whole[4:], magic)+4],
		"a byte short":    whole[:len(whole)-1],
		"a chunk short":   whole[:lastChunk],
		"an extra chunk":  append(bytes.Clone(whole), chunk...),
		"a damaged chunk": append(append(bytes.Clone(whole[:lastChunk-9]), 'x'), whole[lastChunk-8:]...),
	} {
		if err := os.WriteFile(file, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, _, err := Open(dir, "box", 7); !errors.Is(err, ErrDamaged) {
			t.Errorf("%s: error %v, want ErrDamaged", name, err)
		}
	}
	if err := os.WriteFile(file, whole, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, r := open(t, dir); !bytes.Equal(r.Snapshot.Data, snap.Data) {
		t.Error("the intact file was not read")
	}
}

// Stops between the file operations of a snapshot save: everything saved before must be read.
func TestCrashDuringSnapshotSaveLosesNothing(t *testing.T) {
	dir, want := filled(t)
	s, _ := open(t, dir)
	old, err := os.ReadFile(filepath.Join(dir, fileName(snapshotPrefix, 4)))
	if err != nil {
		t.Fatal(err)
	}
	oldLog, err := os.ReadFile(logFile(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	snap := consensus.Snapshot{Index: 10, Term: 3, Members: want.Snapshot.Members, Data: []byte("more state")}
	save(t, s, consensus.Ready{Snapshot: &snap, Entries: entries(11, 12, 3)})
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	snapFile := filepath.Join(dir, fileName(snapshotPrefix, 10))
	whole, err := os.ReadFile(snapFile)
	if err != nil {
		t.Fatal(err)
	}
	after := consensus.PersistentState{HardState: want.HardState, Snapshot: snap, Entries: entries(11, 12, 3)}
	write := func(name string, data []byte) {
		if err := os.WriteFile(name, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	check := func(when string, want consensus.PersistentState) {
		t.Helper()
		s, got := open(t, dir)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", when, diff)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	check("all saved", after)
	write(filepath.Join(dir, fileName(snapshotPrefix, 4)), old)
	write(logFile(t, dir), oldLog)
	check("old files not removed", after)
	if err := os.Remove(snapFile); err != nil {
		t.Fatal(err)
	}
	for cut := range whole {
		write(snapFile+tempSuffix, whole[:cut])
	}
	check("new log written, new snapshot not renamed", want)
}

// While the group has boxes of older builds, a snapshot must be a single record that those can
// read.
func TestSnapshotIsReadableByOlderBuilds(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir)
	snap := consensus.Snapshot{Index: 4, Term: 2, Data: []byte(`{"version":1}`), Members: consensus.Membership{Voters: []consensus.Member{{ID: "box@1", Address: "a"}}}}
	save(t, s, consensus.Ready{Snapshot: &snap, Entries: entries(5, 6, 2)})
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	file, err := os.ReadFile(filepath.Join(dir, fileName(snapshotPrefix, 4)))
	if err != nil {
		t.Fatal(err)
	}
	content, length, err := readRecord(file)
	var asOldBuildsRead consensus.Snapshot
	if err != nil || length != len(file) || content[0] != recordSnapshot || json.Unmarshal(content[1:], &asOldBuildsRead) != nil {
		t.Fatalf("the snapshot is not a single JSON record: error %v, the first record has %d of %d bytes", err, length, len(file))
	}
	if diff := cmp.Diff(snap, asOldBuildsRead); diff != "" {
		t.Errorf("as older builds read it (-want +got):\n%s", diff)
	}
	_, r := open(t, dir)
	if diff := cmp.Diff(snap, r.Snapshot); diff != "" || len(r.Entries) != 2 {
		t.Errorf("%d entries, the snapshot (-want +got):\n%s", len(r.Entries), diff)
	}
	if _, err := parseSnapshot(append(file, 0)); !errors.Is(err, ErrDamaged) {
		t.Errorf("with an extra byte: error %v, want ErrDamaged", err)
	}
}

// An intact record of an unknown kind must not be reported as damage: an operator would take the
// disk for lost.
func TestRecordOfNewerBuildIsNotDamage(t *testing.T) {
	later := appendRecord(nil, []byte{lastRecord + 1, 1, 2, 3})
	var r consensus.PersistentState
	if _, err := parseLog(later, &r); !level.IsUnsupported(err) {
		t.Errorf("log with a record of a newer build: error %v, want an UnsupportedError", err)
	}
	if _, err := parseSnapshot(later); !level.IsUnsupported(err) {
		t.Errorf("snapshot with a record of a newer build: error %v, want an UnsupportedError", err)
	}
	if _, err := parseLog(appendRecord(nil, []byte{recordSnapshot, 1}), &r); !errors.Is(err, ErrDamaged) {
		t.Errorf("a known record in the wrong file: error %v, want ErrDamaged", err)
	}
}
