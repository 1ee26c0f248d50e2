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

// folderVersions are the format versions of the recorded folders, by the commit whose build wrote them.
var folderVersions = map[string]level.Level{
	"d61e540": level.Listed, "50d3523": level.Listed, "e994de1": level.Chunked, "53e223b": level.Chunked, "de049ca": level.Suspects,
	"9c63b0b": level.Negotiated, "a229638": level.Instances,
}

// openRecorded opens a copy of the folder that the build of a commit has written.
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
	for _, e := range restored.Entries { // all entries of these logs are committed
		if _, err := state.machine.apply(e.Index, e.Data); err != nil && e.Kind != 0 && e.Kind != 2 {
			t.Errorf("%s: entry %d: %v", commit, e.Index, err)
		}
	}
	return state, nil
}

// TestFoldersOfEarlierBuilds: a build must open the folders of earlier ones, and not report them as
// damaged.
func TestFoldersOfEarlierBuilds(t *testing.T) {
	for commit, want := range folderVersions {
		state, err := openRecorded(t, commit)
		if err != nil {
			t.Errorf("%s: %v", commit, err)
			continue
		}
		m := &state.machine
		if m.document.Version != 9 || len(m.registry.Endpoints) != 3 || len(m.registry.Removed) != 300 {
			t.Errorf("%s: version %d, %d endpoints, %d removed; want 9, 3 and 300", commit, m.document.Version, len(m.registry.Endpoints), len(m.registry.Removed))
		}
		if state.node.Members().Voters == nil || state.snapshotIndex <= 1 {
			t.Errorf("%s: members %+v, snapshot at index %d", commit, state.node.Members(), state.snapshotIndex)
		}
		if m.formatVersion != want {
			t.Errorf("%s: format version %d, want %d", commit, m.formatVersion, want)
		}
	}
}

// TestFolderOfLaterBuildIsUnchanged: a folder of a later build is reported as unsupported, not as damaged,
// and not modified.
func TestFolderOfLaterBuildIsUnchanged(t *testing.T) {
	dir := t.TempDir()
	disk, id, restored, err := store.Open(dir, "box", 1)
	if err != nil {
		t.Fatal(err)
	}
	m := stateMachine{formatVersion: level.Newest}
	snapshot := m.snapshot()
	snapshot[1]++ // the format version
	restored.Snapshot.Index, restored.Snapshot.Data = 3, snapshot
	if err := disk.Save(&consensus.Ready{Snapshot: &restored.Snapshot}); err != nil {
		t.Fatal(err)
	}
	if err := disk.Close(); err != nil {
		t.Fatal(err)
	}
	before := contentsOf(t, dir)
	_, _, restored, err = store.Open(dir, event.BoxID("box"), 1)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = NewState(0, id.Member(), restored, simSettings(1)); !level.IsUnsupported(err) {
		t.Errorf("%v, want an error that a later build is needed", err)
	}
	if after := contentsOf(t, dir); !slices.Equal(before, after) {
		t.Error("the folder of a later build was changed")
	}
}

// contentsOf returns the names and contents of the files of a folder, in order.
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
