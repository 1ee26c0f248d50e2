// SPDX-License-Identifier: MIT

package store

import (
	"context"

	"github.com/pkg/errors"

	"lynxramp.org/consensus"
)

const (
	// queueLength is how many saves may wait for the disk.
	queueLength = 1024
	// batchBytes is about how much one sync saves, a quarter of a second on a disk of 4 MB/s. None
	// of it counts as saved before.
	batchBytes = 1 << 20
)

// Saved says that the log is on disk up to an entry.
type Saved struct {
	Index consensus.Index
	Term  consensus.Term
}

// Disk makes state durable. Save returns once it is synced.
type Disk interface {
	Save(r *consensus.Ready) error
}

// Sender sends messages of the replicated log. It must not wait for the event loop.
type Sender interface {
	Send(m consensus.Message)
}

// Writer writes to the disk on a goroutine of its own. Messages that depend on a save are sent
// after it; others are sent at once.
type Writer struct {
	disk   Disk
	sender Sender
	queue  chan consensus.Ready
	// saved holds the newest Saved that the event loop has not received.
	saved chan Saved
}

// NewWriter returns a writer; Run starts it.
func NewWriter(disk Disk, sender Sender) *Writer {
	return &Writer{disk: disk, sender: sender, queue: make(chan consensus.Ready, queueLength), saved: make(chan Saved, 1)}
}

// Enqueue sends r.Immediate and queues the rest for saving and sending.
func (w *Writer) Enqueue(r consensus.Ready) {
	for _, m := range r.Immediate {
		w.sender.Send(m)
	}
	if r.MustSave() || len(r.Messages) > 0 {
		w.queue <- r
	}
}

// Run saves and sends until ctx is done. It returns an error if the disk fails, as nothing may be
// acknowledged then.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-w.queue:
			if err := w.write(r); err != nil {
				return err
			}
		}
	}
}

func (w *Writer) write(r consensus.Ready) error {
	r = w.batch(r)
	if r.MustSave() {
		if err := w.disk.Save(&r); err != nil {
			return errors.Wrap(err, "saving to disk")
		}
	}
	for _, m := range r.Messages {
		w.sender.Send(m)
	}
	if n := len(r.Entries); n > 0 {
		last := r.Entries[n-1]
		w.notify(Saved{Index: last.Index, Term: last.Term})
	} else if s := r.Snapshot; s != nil {
		w.notify(Saved{Index: s.Index, Term: s.Term})
	}
	return nil
}

// Saved returns the channel on which saves are reported to the event loop.
func (w *Writer) Saved() <-chan Saved { return w.saved }

// notify replaces an older Saved that was not received. It never blocks: the event loop may itself
// be waiting for the writer.
func (w *Writer) notify(s Saved) {
	select {
	case <-w.saved:
	default:
	}
	w.saved <- s
}

// batch adds the queued saves to r, up to batchBytes, so that one sync serves them all. Nothing is
// added to a snapshot.
func (w *Writer) batch(r consensus.Ready) consensus.Ready {
	size := bytesOf(r.Entries)
	for r.Snapshot == nil && size < batchBytes {
		select {
		case next := <-w.queue:
			if next.HardState != nil {
				r.HardState = next.HardState
			}
			if next.Snapshot != nil {
				// A snapshot comes with all entries that follow it.
				r.Snapshot, r.Entries = next.Snapshot, next.Entries
			} else {
				r.Entries = append(r.Entries, next.Entries...)
			}
			size += bytesOf(next.Entries)
			r.Messages = append(r.Messages, next.Messages...)
		default:
			return r
		}
	}
	return r
}

// bytesOf returns the length of the entries' data.
func bytesOf(entries []consensus.Entry) int {
	total := 0
	for _, e := range entries {
		total += len(e.Data)
	}
	return total
}
