// SPDX-License-Identifier: MIT

package consensus

import (
	"testing"

	"pgregory.net/rapid"

	"lynxramp.org/event"
)

// A configuration of 3 MB is one entry. These tests hold that what is sent and kept is
// bounded by bytes, and that a leader doesn't send again what is still on its way.

const mega = 1 << 20 // bytes

// lead makes a member lead two others that have saved its first entry, and returns them.
func lead(t *testing.T, now event.Time) (leads *Node, others []ID) {
	t.Helper()
	voters := []Member{{ID: MakeID("a", 1)}, {ID: MakeID("b", 1)}, {ID: MakeID("c", 1)}}
	restored := Restored{Snapshot: Snapshot{Index: 1, Members: Membership{Voters: voters}}}
	n := New(0, voters[0].ID, restored, 1)
	var out Ready
	n.Tick(now, &out)
	for _, kind := range []Kind{KindPreVoteReply, KindVoteReply} {
		n.Step(now, Message{Kind: kind, From: voters[1].ID, To: n.ID(), Term: 1, Granted: true}, &out)
	}
	n.Saved(now, n.log.last(), n.hard.Term, &out)
	for _, id := range []ID{voters[1].ID, voters[2].ID} {
		answer(n, now, id, n.log.last(), now, &out)
	}
	if !n.Leads() {
		t.Fatal("it doesn't lead")
	}
	return n, []ID{voters[1].ID, voters[2].ID}
}

// answer gives a leader a member's word that it has saved all up to an entry.
func answer(n *Node, now event.Time, from ID, i Index, sentAt event.Time, out *Ready) {
	n.Step(now, Message{Kind: KindAppendReply, From: from, To: n.ID(), Term: n.Term(), Granted: true, Index: i, SentAt: sentAt}, out)
}

// propose adds entries of a size and saves them here.
func propose(t *testing.T, n *Node, now event.Time, count, size int, out *Ready) {
	t.Helper()
	for range count {
		if _, err := n.Propose(now, make([]byte, size), out); err != nil {
			t.Fatal(err)
		}
	}
	n.Saved(now, n.log.last(), n.hard.Term, out)
}

// bytesOf returns the bytes of a message's entries.
func bytesOf(entries []Entry) (sum int) {
	for _, e := range entries {
		sum += len(e.Data)
	}
	return sum
}

// sentTo returns the messages to a member that a step asked for.
func sentTo(out *Ready, to ID) (list []Message) {
	for _, m := range append(append([]Message(nil), out.Early...), out.Messages...) {
		if m.To == to {
			list = append(list, m)
		}
	}
	return list
}

// TestAppendIsBoundedByBytes: a member that comes back lacks 30 entries of 1 MB, and one
// message with all of them keeps the leader's heartbeats from it for longer than it waits.
func TestAppendIsBoundedByBytes(t *testing.T) {
	now := event.Time(0).Add(2 * event.Second)
	n, others := lead(t, now)
	var out Ready
	propose(t, n, now, 30, mega, &out)
	for round, want := 0, n.log.last(); ; round++ {
		list := sentTo(&out, others[0])
		if len(list) != 1 || len(list[0].Entries) == 0 {
			t.Fatalf("round %d: %d messages, want one with entries", round, len(list))
		}
		entries := list[0].Entries
		if size := bytesOf(entries); size > appendBytes && len(entries) > 1 {
			t.Errorf("%d entries of %d bytes in one message", len(entries), size)
		}
		last := entries[len(entries)-1].Index
		out = Ready{}
		answer(n, now, others[0], last, list[0].SentAt, &out)
		if last == want {
			return
		}
	}
}

// TestLongEntryIsSentAlone: an entry over the bound is sent nonetheless.
func TestLongEntryIsSentAlone(t *testing.T) {
	now := event.Time(0).Add(2 * event.Second)
	n, others := lead(t, now)
	var out Ready
	first := n.log.last() + 1
	propose(t, n, now, 3, 3*appendBytes, &out)
	out = Ready{}
	answer(n, now, others[0], first, now, &out)
	if list := sentTo(&out, others[0]); len(list) != 1 || len(list[0].Entries) != 1 {
		t.Errorf("%d messages, want one with one entry", len(list))
	}
}

// TestLogIsBoundedByBytes: 256 entries were kept behind a snapshot, of 0.9 MB each: 225 MB in
// a box of 280 MB with a disk of 128 MB.
func TestLogIsBoundedByBytes(t *testing.T) {
	now := event.Time(0).Add(2 * event.Second)
	n, others := lead(t, now)
	var out Ready
	propose(t, n, now, 100, mega, &out)
	answer(n, now, others[0], n.log.last(), now, &out)
	if n.Applied() != n.log.last() {
		t.Fatalf("applied up to %d of %d", n.Applied(), n.log.last())
	}
	n.Compact([]byte("state"), &out)
	if kept := bytesOf(n.log.entries); kept > keepBytes {
		t.Errorf("%d bytes are kept behind a snapshot, want %d at most", kept, keepBytes)
	}
	if len(n.log.entries) == 0 {
		t.Error("no entry is kept for a member that is a little behind")
	}
}

// TestBulkIsNotSentAgainOnItsWay: an entry of 3 MB took longer than the 120 ms after which an
// append was sent again, and each copy stood before the next heartbeat. While it is on its
// way small appends ask for it; only their answer shows that it is lost.
func TestBulkIsNotSentAgainOnItsWay(t *testing.T) {
	now := event.Time(0).Add(2 * event.Second)
	n, others := lead(t, now)
	var out Ready
	before := n.log.last()
	propose(t, n, now, 1, 3*mega, &out)
	bulk, asked := len(sentTo(&out, others[0])), Message{}
	for range 20 { // two seconds
		now = now.Add(100 * event.Millisecond)
		answer(n, now, others[1], n.log.last(), now, &out) // the other is a quorum with the leader
		out = Ready{}
		n.Tick(now, &out)
		for _, m := range sentTo(&out, others[0]) {
			if bytesOf(m.Entries) > 0 {
				bulk++
				continue
			}
			asked = m
		}
	}
	if bulk != 1 {
		t.Errorf("3 MB were sent %d times while they were on their way", bulk)
	}
	if asked.Kind != KindAppend || asked.Index != before {
		t.Fatalf("it is asked for by %+v, want an empty append after %d", asked, before)
	}
	out = Ready{}
	answer(n, now, others[0], asked.Index, asked.SentAt, &out)
	if list := sentTo(&out, others[0]); len(list) != 1 || bytesOf(list[0].Entries) != 3*mega {
		t.Errorf("what is lost isn't sent again: %d messages", len(list))
	}
}

// TestOlderAnswerSendsNoBulkAgain: the answer to a heartbeat that was sent before the entry
// says nothing of it.
func TestOlderAnswerSendsNoBulkAgain(t *testing.T) {
	now := event.Time(0).Add(2 * event.Second)
	n, others := lead(t, now)
	var out Ready
	now = now.Add(HeartbeatEvery)
	n.Tick(now, &out) // a heartbeat
	heartbeat, before := now, n.log.last()
	propose(t, n, now, 1, 3*mega, &out)
	now = now.Add(200 * event.Millisecond)
	out = Ready{}
	n.Tick(now, &out)
	if list := sentTo(&out, others[0]); len(list) != 1 || bytesOf(list[0].Entries) != 3*mega {
		t.Fatalf("the entry isn't sent: %d messages", len(list))
	}
	out = Ready{}
	answer(n, now.Add(event.Millisecond), others[0], before, heartbeat, &out)
	if list := sentTo(&out, others[0]); len(list) != 0 {
		t.Errorf("%d messages after an older answer, want none", len(list))
	}
}

// TestBulkArrivesAfterFaults: what was lost on its way, with or without its answer, reaches
// every member once the faults are over.
func TestBulkArrivesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "size"))
		g.bulky = true
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			g.act()
		}
		clear(g.cuts)
		for _, b := range g.members {
			b.frozen = false
		}
		g.settle(5 * event.Second)
		l := g.holder()
		if l == nil {
			t.Fatal("no leader")
		}
		g.propose(l)
		g.settle(event.Second)
		for _, b := range g.members {
			if len(b.applied) != len(g.chosen) {
				t.Errorf("%s has applied %d commands of %d", b.id, len(b.applied), len(g.chosen))
			}
		}
	})
}
