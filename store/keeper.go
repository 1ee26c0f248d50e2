// SPDX-License-Identifier: MIT

package store

import (
	"context"

	"github.com/pkg/errors"

	"lynxramp.org/consensus"
)

const (
	// keepDepth is how many saves may wait for the disk.
	keepDepth = 1024
	// gatherBytes is about how much is saved together: a slow disk of 4 MB/s takes a quarter of a
	// second for it, after which what it holds counts.
	gatherBytes = 1 << 20
)

// Saved says that the log is on disk up to an entry.
type Saved struct {
	Index consensus.Index
	Term  consensus.Term
}

// Disk saves what a member must not forget. Save returns when it is synced.
type Disk interface {
	Save(r *consensus.Ready) error
}

// Sender sends messages of the replicated log. It must not wait for the loop.
type Sender interface {
	Send(m consensus.Message)
}

// Keeper is the goroutine that writes to the disk. What is to be sent after a
// save waits for it; what is not, does not.
type Keeper struct {
	disk   Disk
	sender Sender
	queue  chan consensus.Ready
	// saved has the newest Saved that the loop has not taken.
	saved chan Saved
}

// NewKeeper returns a keeper; Run starts it.
func NewKeeper(disk Disk, sender Sender) *Keeper {
	return &Keeper{disk: disk, sender: sender, queue: make(chan consensus.Ready, keepDepth), saved: make(chan Saved, 1)}
}

// Keep takes what is to be saved and sent.
func (k *Keeper) Keep(r consensus.Ready) {
	for _, m := range r.Early {
		k.sender.Send(m)
	}
	if r.MustSave() || len(r.Messages) > 0 {
		k.queue <- r
	}
}

// Run saves and sends until ctx ends. A disk that fails ends it with an error:
// nothing may be promised any more.
func (k *Keeper) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-k.queue:
			if err := k.keep(r); err != nil {
				return err
			}
		}
	}
}

func (k *Keeper) keep(r consensus.Ready) error {
	r = k.gather(r)
	if r.MustSave() {
		if err := k.disk.Save(&r); err != nil {
			return errors.Wrap(err, "the disk failed")
		}
	}
	for _, m := range r.Messages {
		k.sender.Send(m)
	}
	if n := len(r.Entries); n > 0 {
		last := r.Entries[n-1]
		k.tell(Saved{Index: last.Index, Term: last.Term})
	} else if s := r.Snapshot; s != nil {
		k.tell(Saved{Index: s.Index, Term: s.Term})
	}
	return nil
}

// Saved is where the loop hears what was saved.
func (k *Keeper) Saved() <-chan Saved { return k.saved }

// tell leaves news for the loop in place of older ones, and never waits: the
// loop may itself be waiting for the keeper.
func (k *Keeper) tell(e Saved) {
	select {
	case <-k.saved:
	default:
	}
	k.saved <- e
}

// gather adds what else waits to r, so that one sync serves all of it, up to a size. A
// snapshot is saved by itself.
func (k *Keeper) gather(r consensus.Ready) consensus.Ready {
	size := bytesOf(r.Entries)
	for r.Snapshot == nil && size < gatherBytes {
		select {
		case next := <-k.queue:
			if next.HardState != nil {
				r.HardState = next.HardState
			}
			if next.Snapshot != nil {
				// Its entries replace those that it does not cover.
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

// bytesOf returns the bytes of the entries' data.
func bytesOf(entries []consensus.Entry) int {
	sum := 0
	for _, e := range entries {
		sum += len(e.Data)
	}
	return sum
}
