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

func open(t *testing.T, dir string) (*Store, consensus.Restored) {
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

// filled returns a folder with a snapshot, a hard state and ten entries, of
// which the last five were replaced.
func filled(t *testing.T) (string, consensus.Restored) {
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
	want := consensus.Restored{HardState: hard, Snapshot: snap, Entries: append(entries(5, 9, 2), entries(10, 12, 3)...)}
	return dir, want
}

func logFile(t *testing.T, dir string) string {
	t.Helper()
	return filepath.Join(dir, numbered(logPrefix, 4))
}

func TestReopen(t *testing.T) {
	dir, want := filled(t)
	_, got := open(t, dir)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("restored (-want +got):\n%s", diff)
	}
}

// TestTornEnd cuts the log anywhere in its last record: what was synced before
// is all there, and the store can be written again.
func TestTornEnd(t *testing.T) {
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
			t.Fatalf("%d bytes torn off (-want +got):\n%s", cut, diff)
		}
		save(t, s, consensus.Ready{Entries: entries(12, 12, 4)})
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestDamage flips each byte but those of the last record: the store must not
// open.
func TestDamage(t *testing.T) {
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
			t.Fatalf("byte %d flipped: %v", i, err)
		}
	}
}

func TestDamagedSnapshot(t *testing.T) {
	dir, _ := filled(t)
	file := filepath.Join(dir, numbered(snapshotPrefix, 4))
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/2] ^= 1
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := Open(dir, "box", 7); !errors.Is(err, ErrDamaged) {
		t.Errorf("error %v", err)
	}
}

func TestSecondProcess(t *testing.T) {
	dir := t.TempDir()
	open(t, dir)
	if _, _, _, err := Open(dir, "box", 7); err == nil {
		t.Error("the folder was opened twice")
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
		var r consensus.Restored
		length, err := parseLog(data, &r)
		if err != nil {
			return
		}
		var again consensus.Restored
		if n, err := parseLog(data[:length], &again); err != nil || n != length {
			t.Errorf("the sound part of %d bytes is read as %d, %v", length, n, err)
		}
		if diff := cmp.Diff(r, again); diff != "" {
			t.Errorf("read twice:\n%s", diff)
		}
	})
}

// TestLargeSnapshotIsReadBack: a snapshot of more than a record holds was written and could not
// be read, so that its box did not start any more.
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

// TestTornSnapshot: a snapshot file that ends early or has a piece too many or damaged is not
// taken for a whole one.
func TestTornSnapshot(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir)
	snap := consensus.Snapshot{Index: 4, Term: 1, Data: bytes.Repeat([]byte("s"), 3*snapshotPiece+5)}
	save(t, s, consensus.Ready{Snapshot: &snap})
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, numbered(snapshotPrefix, 4))
	whole, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	piece := appendRecord(nil, append([]byte{recordPiece}, 's'))
	lastPiece := len(whole) - headerBytes - 1 - 5
	for name, bad := range map[string][]byte{
		"empty":           {},
		"header only":     whole[:bytes.Index(whole[4:], magic)+4],
		"a byte short":    whole[:len(whole)-1],
		"a piece short":   whole[:lastPiece],
		"a piece more":    append(bytes.Clone(whole), piece...),
		"a damaged piece": append(append(bytes.Clone(whole[:lastPiece-9]), 'x'), whole[lastPiece-8:]...),
	} {
		if err := os.WriteFile(file, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, _, err := Open(dir, "box", 7); !errors.Is(err, ErrDamaged) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if err := os.WriteFile(file, whole, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, r := open(t, dir); !bytes.Equal(r.Snapshot.Data, snap.Data) {
		t.Error("the whole file was not read")
	}
}

// TestCrashWhileSnapshotIsSaved stops anywhere between the files that a snapshot is saved in: what
// was promised before is there.
func TestCrashWhileSnapshotIsSaved(t *testing.T) {
	dir, want := filled(t)
	s, _ := open(t, dir)
	old, err := os.ReadFile(filepath.Join(dir, numbered(snapshotPrefix, 4)))
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
	snapFile := filepath.Join(dir, numbered(snapshotPrefix, 10))
	whole, err := os.ReadFile(snapFile)
	if err != nil {
		t.Fatal(err)
	}
	after := consensus.Restored{HardState: want.HardState, Snapshot: snap, Entries: entries(11, 12, 3)}
	write := func(name string, data []byte) {
		if err := os.WriteFile(name, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	check := func(when string, want consensus.Restored) {
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
	write(filepath.Join(dir, numbered(snapshotPrefix, 4)), old)
	write(logFile(t, dir), oldLog)
	check("old files not dropped", after)
	if err := os.Remove(snapFile); err != nil {
		t.Fatal(err)
	}
	for cut := range whole {
		write(snapFile+tempSuffix, whole[:cut])
	}
	check("the new log there, the new snapshot not in place", want)
}

// TestSnapshotOfEarlierBuilds: a snapshot of a group with boxes of earlier builds is one record, which
// those must read again if they come back, and no piece of theirs was ever read by a later build.
func TestSnapshotOfEarlierBuilds(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir)
	snap := consensus.Snapshot{Index: 4, Term: 2, Data: []byte(`{"version":1}`), Members: consensus.Membership{Voters: []consensus.Member{{ID: "box@1", Address: "a"}}}}
	save(t, s, consensus.Ready{Snapshot: &snap, Entries: entries(5, 6, 2)})
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	file, err := os.ReadFile(filepath.Join(dir, numbered(snapshotPrefix, 4)))
	if err != nil {
		t.Fatal(err)
	}
	content, length, err := readRecord(file)
	var asTheyRead consensus.Snapshot
	if err != nil || length != len(file) || content[0] != recordSnapshot || json.Unmarshal(content[1:], &asTheyRead) != nil {
		t.Fatalf("%v, a record of %d of %d bytes", err, length, len(file))
	}
	if diff := cmp.Diff(snap, asTheyRead); diff != "" {
		t.Errorf("as earlier builds read it (-want +got):\n%s", diff)
	}
	_, r := open(t, dir)
	if diff := cmp.Diff(snap, r.Snapshot); diff != "" || len(r.Entries) != 2 {
		t.Errorf("%d entries, the snapshot (-want +got):\n%s", len(r.Entries), diff)
	}
	if _, err := parseSnapshot(append(file, 0)); !errors.Is(err, ErrDamaged) {
		t.Errorf("with a byte more: %v", err)
	}
}

// TestRecordsOfLaterBuilds: a sound record of a kind that isn't known is not damage. An operator would
// take the disk for lost.
func TestRecordsOfLaterBuilds(t *testing.T) {
	later := appendRecord(nil, []byte{lastRecord + 1, 1, 2, 3})
	var r consensus.Restored
	if _, err := parseLog(later, &r); !level.IsAbove(err) {
		t.Errorf("log: %v", err)
	}
	if _, err := parseSnapshot(later); !level.IsAbove(err) {
		t.Errorf("snapshot: %v", err)
	}
	if _, err := parseLog(appendRecord(nil, []byte{recordSnapshot, 1}), &r); !errors.Is(err, ErrDamaged) {
		t.Errorf("a record that does not belong there: %v", err)
	}
}
