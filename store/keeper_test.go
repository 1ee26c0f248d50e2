// SPDX-License-Identifier: MIT

package store

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"lynxramp.org/consensus"
)

// recordingDisk records the bytes of each save.
type recordingDisk struct{ sizes []int }

func (d *recordingDisk) Save(r *consensus.Ready) error {
	d.sizes = append(d.sizes, bytesOf(r.Entries))
	return nil
}

// discardSender is a Sender that drops all messages.
type discardSender struct{}

func (discardSender) Send(consensus.Message) {}

func largeEntries(index consensus.Index, size int) consensus.Ready {
	return consensus.Ready{Entries: []consensus.Entry{{Index: index, Term: 1, Data: make([]byte, size)}}}
}

// Without a bound, one save would hold all that is queued, and none of it would count until all was
// on disk.
func TestBatchSizeIsBounded(t *testing.T) {
	disk := &recordingDisk{}
	w := NewWriter(disk, discardSender{})
	for i := range consensus.Index(6) {
		w.Enqueue(largeEntries(i+1, batchBytes/2))
	}
	for len(w.queue) > 0 {
		if err := w.write(<-w.queue); err != nil {
			t.Fatal(err)
		}
	}
	want := []int{batchBytes, batchBytes, batchBytes}
	if diff := cmp.Diff(want, disk.sizes); diff != "" {
		t.Errorf("bytes in each save (-want +got):\n%s", diff)
	}
}

// A saved snapshot must be reported to the event loop, also without entries after it.
func TestSavedSnapshotIsReported(t *testing.T) {
	w := NewWriter(&recordingDisk{}, discardSender{})
	if err := w.write(consensus.Ready{Snapshot: &consensus.Snapshot{Index: 7, Term: 3}}); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-w.Saved():
		if diff := cmp.Diff(Saved{Index: 7, Term: 3}, got); diff != "" {
			t.Errorf("reported (-want +got):\n%s", diff)
		}
	default:
		t.Error("the saved snapshot was not reported")
	}
}
