// SPDX-License-Identifier: MIT

package cluster

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/store"
)

// folderLevels are the builds whose folders are kept, and the level that the forms in them have.
var folderLevels = map[string]level.Level{
	"d61e540": level.Listed, "50d3523": level.Listed, "e994de1": level.Chunked, "53e223b": level.Chunked, "de049ca": level.Suspects,
	"9c63b0b": level.Negotiated, "a229638": level.Instances,
}

// openRecorded opens a copy of a folder that the build of a commit has written.
func openRecorded(t *testing.T, commit string) (*State, error) {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "folders", commit))); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(filepath.Join(dir, "identity"))
	if err != nil {
		t.Fatal(err)
	}
	var id store.Identity
	if err := json.Unmarshal(data, &id); err != nil {
		t.Fatal(err)
	}
	disk, id, restored, err := store.Open(dir, id.Box, 0)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = disk.Close() })
	state, err := NewState(0, id.Member(), restored, simSettings(1))
	if err != nil {
		return nil, err
	}
	for _, e := range restored.Entries { // what is in the log is committed, in these folders
		if _, err := state.machine.apply(e.Index, e.Data); err != nil && e.Kind != 0 && e.Kind != 2 {
			t.Errorf("%s: entry %d: %v", commit, e.Index, err)
		}
	}
	return state, nil
}

// TestFoldersOfEarlierBuilds: a box that is replaced starts on the folder that its earlier build has written. Those
// of two builds were called damaged, and each control box ended as it was replaced.
func TestFoldersOfEarlierBuilds(t *testing.T) {
	for commit, want := range folderLevels {
		state, err := openRecorded(t, commit)
		if err != nil {
			t.Errorf("%s: %v", commit, err)
			continue
		}
		m := &state.machine
		if m.document.Version != 9 || len(m.registry.Endpoints) != 3 || len(m.registry.Gone) != 300 {
			t.Errorf("%s: version %d, %d endpoints, %d ended; want 9, 3 and 300", commit, m.document.Version, len(m.registry.Endpoints), len(m.registry.Gone))
		}
		if state.node.Members().Voters == nil || state.snapshotIndex <= 1 {
			t.Errorf("%s: members %+v, a snapshot at %d", commit, state.node.Members(), state.snapshotIndex)
		}
		if m.formatVersion != want {
			t.Errorf("%s: the folder tells level %d, want %d", commit, m.formatVersion, want)
		}
	}
}

// TestFolderOfLaterBuildIsUnchanged: the folder of a later build is not taken for damaged, and nothing in it is
// changed.
func TestFolderOfLaterBuildIsUnchanged(t *testing.T) {
	later := t.TempDir()
	disk, id, restored, err := store.Open(later, "box", 1)
	if err != nil {
		t.Fatal(err)
	}
	m := stateMachine{formatVersion: level.Newest}
	snapshot := m.snapshot()
	snapshot[1]++ // the level
	restored.Snapshot.Index, restored.Snapshot.Data = 3, snapshot
	if err := disk.Save(&consensus.Ready{Snapshot: &restored.Snapshot}); err != nil {
		t.Fatal(err)
	}
	if err := disk.Close(); err != nil {
		t.Fatal(err)
	}
	before := contentsOf(t, later)
	_, _, restored, err = store.Open(later, event.BoxID("box"), 1)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = NewState(0, id.Member(), restored, simSettings(1)); !level.IsUnsupported(err) {
		t.Errorf("%v, want that a later build is needed", err)
	}
	if after := contentsOf(t, later); !slices.Equal(before, after) {
		t.Error("the folder of a later build was changed")
	}
}

// contentsOf returns the names and contents of a folder's files, in order.
func contentsOf(t *testing.T, dir string) []string {
	t.Helper()
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var list []string
	for _, f := range files {
		data, err := os.ReadFile(filepath.Join(dir, f.Name()))
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, f.Name(), string(data))
	}
	return list
}
