// SPDX-License-Identifier: MIT

package store

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"lynxramp.org/consensus"
)

// saves is a Disk that notes how many bytes it was given at a time.
type saves struct{ sizes []int }

func (d *saves) Save(r *consensus.Ready) error {
	d.sizes = append(d.sizes, bytesOf(r.Entries))
	return nil
}

// nobody is a Sender that sends nothing.
type nobody struct{}

func (nobody) Send(consensus.Message) {}

func largeEntries(index consensus.Index, size int) consensus.Ready {
	return consensus.Ready{Entries: []consensus.Entry{{Index: index, Term: 1, Data: make([]byte, size)}}}
}

// TestSavesTogetherAreBounded: all that waited was gathered into one save, however large, and
// nothing of it counted until all was on disk.
func TestSavesTogetherAreBounded(t *testing.T) {
	disk := &saves{}
	k := NewKeeper(disk, nobody{})
	for i := range consensus.Index(6) {
		k.Keep(largeEntries(i+1, gatherBytes/2))
	}
	for len(k.queue) > 0 {
		if err := k.keep(<-k.queue); err != nil {
			t.Fatal(err)
		}
	}
	want := []int{gatherBytes, gatherBytes, gatherBytes}
	if diff := cmp.Diff(want, disk.sizes); diff != "" {
		t.Errorf("bytes saved at a time (-want +got):\n%s", diff)
	}
}

// TestSavedSnapshotIsTold: the loop hears of a snapshot that is on disk, also of one without
// entries behind it.
func TestSavedSnapshotIsTold(t *testing.T) {
	k := NewKeeper(&saves{}, nobody{})
	if err := k.keep(consensus.Ready{Snapshot: &consensus.Snapshot{Index: 7, Term: 3}}); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-k.Saved():
		if diff := cmp.Diff(Saved{Index: 7, Term: 3}, got); diff != "" {
			t.Errorf("told (-want +got):\n%s", diff)
		}
	default:
		t.Error("nothing was told")
	}
}
