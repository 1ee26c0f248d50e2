// SPDX-License-Identifier: MIT

package consensus

import (
	"hash/crc32"
	"testing"

	"lynxramp.org/event"
)

// A leader must not count its own copy of an entry towards a commit before it has saved it.
func TestLeaderCommitsOnlySavedEntries(t *testing.T) {
	voters := []Member{{ID: MakeID("a", 1)}, {ID: MakeID("b", 1)}, {ID: MakeID("c", 1)}}
	restored := PersistentState{Snapshot: Snapshot{Index: 1, Members: Membership{Voters: voters}}}
	a := New(0, voters[0].ID, restored, 1)
	now := event.Time(0).Add(2 * event.Second)
	var out Ready
	a.Tick(now, &out)
	for _, kind := range []Kind{KindPreVoteReply, KindVoteReply} {
		a.Step(now, Message{Kind: kind, From: voters[1].ID, To: a.ID(), Term: 1, Granted: true}, &out)
	}
	last := out.Entries[len(out.Entries)-1]
	a.Step(now, Message{Kind: KindAppendReply, From: voters[1].ID, To: a.ID(), Term: 1, Granted: true, Index: last.Index, SentAt: now}, &out)
	if a.HasLease(now) || a.commit >= last.Index {
		t.Errorf("committed entry %d with one saved copy of three", a.commit)
	}
	a.Saved(now, last.Index, last.Term, &out)
	if !a.HasLease(now) || a.commit != last.Index {
		t.Errorf("commit is %d with two saved copies, want %d", a.commit, last.Index)
	}
}

// newFollower returns a node that has no leader yet, and the ID of the member that will lead it.
func newFollower() (*Node, ID) {
	voters := []Member{{ID: MakeID("a", 1)}, {ID: MakeID("b", 1)}, {ID: MakeID("c", 1)}}
	restored := PersistentState{Snapshot: Snapshot{Index: 1, Members: Membership{Voters: voters}}}
	return New(0, voters[1].ID, restored, 1), voters[0].ID
}

// ackedIndex returns the index up to which the first of messages acknowledges saved entries.
func ackedIndex(t *testing.T, messages []Message) Index {
	t.Helper()
	if len(messages) == 0 || !messages[0].Granted {
		t.Fatalf("%+v, want an accepting reply", messages)
	}
	return messages[0].Index
}

// An immediate reply is sent before the save, so that a slow disk does not cost the lease. It must
// not count towards a commit.
func TestImmediateReplyAcksOnlySavedEntries(t *testing.T) {
	b, leader := newFollower()
	m := Message{Kind: KindAppend, From: leader, To: b.ID(), Term: 1, Seq: 1, Index: 1, Entries: []Entry{{Index: 2, Term: 1}}}
	var out Ready
	b.Step(0, m, &out)
	if got := ackedIndex(t, out.Immediate); got != 1 {
		t.Errorf("the immediate reply acknowledges entry %d, want 1", got)
	}
	if got := ackedIndex(t, out.Messages); got != 2 {
		t.Errorf("the reply after the save acknowledges entry %d, want 2", got)
	}
	heartbeat := Message{Kind: KindAppend, From: leader, To: b.ID(), Term: 1, Seq: 2, Index: 2, LogTerm: 1}
	for _, want := range []Index{1, 2} {
		out.Reset()
		b.Step(0, heartbeat, &out)
		if got := ackedIndex(t, out.Immediate); got != want {
			t.Errorf("the reply to a heartbeat acknowledges entry %d, want %d", got, want)
		}
		b.Saved(0, 2, 1, &out)
	}
}

// The last chunk of a snapshot is acknowledged before the save, but the snapshot must not be.
func TestSnapshotIsAckedOnlyOnceSaved(t *testing.T) {
	b, leader := newFollower()
	data := []byte("state")
	chunk := Message{
		Kind: KindSnapshot, From: leader, To: b.ID(), Term: 1, Seq: 1, Size: uint64(len(data)),
		Sum: crc32.Checksum(data, castagnoli), Snapshot: &Snapshot{Index: 9, Term: 1, Data: data},
	}
	var out Ready
	b.Step(0, chunk, &out)
	if got := ackedIndex(t, out.Immediate); got != 0 || out.Immediate[0].Offset != chunk.Size {
		t.Errorf("the immediate reply acknowledges entry %d and %d bytes, want 0 and %d", got, out.Immediate[0].Offset, chunk.Size)
	}
	if got := ackedIndex(t, out.Messages); got != 9 {
		t.Errorf("the reply after the save acknowledges entry %d, want 9", got)
	}
	for _, want := range []Index{0, 9} {
		out.Reset()
		b.Step(0, chunk, &out)
		if got := ackedIndex(t, out.Immediate); got != want {
			t.Errorf("the reply to a resent chunk acknowledges entry %d, want %d", got, want)
		}
		b.Saved(0, 9, 1, &out)
	}
}

// Chunks that fail the checksum are dropped.
func TestCorruptSnapshotRestartsFromZero(t *testing.T) {
	b, leader := newFollower()
	chunk := Message{
		Kind: KindSnapshot, From: leader, To: b.ID(), Term: 1, Seq: 1, Size: 5, Sum: 1,
		Snapshot: &Snapshot{Index: 9, Term: 1, Data: []byte("state")},
	}
	var out Ready
	b.Step(0, chunk, &out)
	if out.Snapshot != nil || len(out.Immediate) != 1 || out.Immediate[0].Granted || out.Immediate[0].Offset != 0 {
		t.Errorf("snapshot %v and reply %+v to a chunk with a wrong checksum", out.Snapshot, out.Immediate)
	}
}
