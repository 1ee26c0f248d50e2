// SPDX-License-Identifier: MIT

package consensus

import (
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
