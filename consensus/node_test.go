// SPDX-License-Identifier: MIT

package consensus

import (
	"hash/crc32"
	"testing"

	"lynxramp.org/event"
)

// TestLeaderCountsOnlySaved checks that an entry is not committed on a quorum
// that includes a leader which has not saved it.
func TestLeaderCountsOnlySaved(t *testing.T) {
	voters := []Member{{ID: MakeID("a", 1)}, {ID: MakeID("b", 1)}, {ID: MakeID("c", 1)}}
	restored := Restored{Snapshot: Snapshot{Index: 1, Members: Membership{Voters: voters}}}
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
		t.Errorf("committed %d on one saved copy of three", a.commit)
	}
	a.Saved(now, last.Index, last.Term, &out)
	if !a.HasLease(now) || a.commit != last.Index {
		t.Errorf("commit is %d with two saved copies, want %d", a.commit, last.Index)
	}
}

// newFollower returns a node that has heard of no leader yet, and the one that will lead it.
func newFollower() (*Node, ID) {
	voters := []Member{{ID: MakeID("a", 1)}, {ID: MakeID("b", 1)}, {ID: MakeID("c", 1)}}
	restored := Restored{Snapshot: Snapshot{Index: 1, Members: Membership{Voters: voters}}}
	return New(0, voters[1].ID, restored, 1), voters[0].ID
}

// claims returns the entry up to which the first of some messages says that all is saved.
func claims(t *testing.T, messages []Message) Index {
	t.Helper()
	if len(messages) == 0 || !messages[0].Granted {
		t.Fatalf("%+v, want a reply that agrees", messages)
	}
	return messages[0].Index
}

// TestReceiptClaimsOnlyWhatIsSaved: a receipt goes out before the disk has what it is for, so
// that a slow disk costs no lease. It must not count towards a commit.
func TestReceiptClaimsOnlyWhatIsSaved(t *testing.T) {
	b, leader := newFollower()
	m := Message{Kind: KindAppend, From: leader, To: b.ID(), Term: 1, Seq: 1, Index: 1, Entries: []Entry{{Index: 2, Term: 1}}}
	var out Ready
	b.Step(0, m, &out)
	if got := claims(t, out.Early); got != 1 {
		t.Errorf("the receipt claims entry %d, want 1", got)
	}
	if got := claims(t, out.Messages); got != 2 {
		t.Errorf("the reply after the save claims entry %d, want 2", got)
	}
	heartbeat := Message{Kind: KindAppend, From: leader, To: b.ID(), Term: 1, Seq: 2, Index: 2, LogTerm: 1}
	for _, want := range []Index{1, 2} {
		out.Reset()
		b.Step(0, heartbeat, &out)
		if got := claims(t, out.Early); got != want {
			t.Errorf("the receipt of a heartbeat claims entry %d, want %d", got, want)
		}
		b.Saved(0, 2, 1, &out)
	}
}

// TestSnapshotCountsOnceItIsSaved: the last piece of a snapshot is confirmed before the disk has
// it, the snapshot is not.
func TestSnapshotCountsOnceItIsSaved(t *testing.T) {
	b, leader := newFollower()
	data := []byte("state")
	piece := Message{
		Kind: KindSnapshot, From: leader, To: b.ID(), Term: 1, Seq: 1, Size: uint64(len(data)),
		Sum: crc32.Checksum(data, castagnoli), Snapshot: &Snapshot{Index: 9, Term: 1, Data: data},
	}
	var out Ready
	b.Step(0, piece, &out)
	if got := claims(t, out.Early); got != 0 || out.Early[0].Offset != piece.Size {
		t.Errorf("the receipt claims entry %d and %d bytes, want 0 and %d", got, out.Early[0].Offset, piece.Size)
	}
	if got := claims(t, out.Messages); got != 9 {
		t.Errorf("the reply after the save claims entry %d, want 9", got)
	}
	for _, want := range []Index{0, 9} {
		out.Reset()
		b.Step(0, piece, &out)
		if got := claims(t, out.Early); got != want {
			t.Errorf("the receipt of a resent piece claims entry %d, want %d", got, want)
		}
		b.Saved(0, 9, 1, &out)
	}
}

// TestDamagedSnapshotBeginsAnew: pieces that don't make up the snapshot are dropped.
func TestDamagedSnapshotBeginsAnew(t *testing.T) {
	b, leader := newFollower()
	piece := Message{
		Kind: KindSnapshot, From: leader, To: b.ID(), Term: 1, Seq: 1, Size: 5, Sum: 1,
		Snapshot: &Snapshot{Index: 9, Term: 1, Data: []byte("state")},
	}
	var out Ready
	b.Step(0, piece, &out)
	if out.Snapshot != nil || len(out.Early) != 1 || out.Early[0].Granted || out.Early[0].Offset != 0 {
		t.Errorf("snapshot %v and reply %+v to pieces with a wrong checksum", out.Snapshot, out.Early)
	}
}
