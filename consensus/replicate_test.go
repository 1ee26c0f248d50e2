// SPDX-License-Identifier: MIT

package consensus

import (
	"testing"

	"lynxramp.org/event"
)

// pair is a leader and a follower with a perfect connection and disks, and a third member that is
// gone.
type pair struct {
	leader, follower *Node
	now              event.Time
	// rounds counts the messages of the leader, entries and refused what they brought in all
	// and what of it was refused.
	rounds, entries, refused int
}

// newPair starts a pair with logs of commands, and lets the first win an election in term 9.
func newPair(t *testing.T, leaderLog, followerLog []Entry) *pair {
	t.Helper()
	voters := []Member{{ID: MakeID("a", 1)}, {ID: MakeID("b", 1)}, {ID: MakeID("c", 1)}}
	base := Snapshot{Index: 1, Members: Membership{Voters: voters}}
	hard := HardState{Term: 8}
	p := &pair{
		leader:   New(0, voters[0].ID, Restored{HardState: hard, Snapshot: base, Entries: leaderLog}, 1),
		follower: New(0, voters[1].ID, Restored{HardState: hard, Snapshot: base, Entries: followerLog}, 2),
		now:      event.Time(0).Add(2 * event.Second),
	}
	var out Ready
	p.leader.Tick(p.now, &out)
	for _, kind := range []Kind{KindPreVoteReply, KindVoteReply} {
		p.leader.Step(p.now, Message{Kind: kind, From: voters[2].ID, To: p.leader.ID(), Term: 9, Granted: true}, &out)
	}
	if p.leader.role != leader {
		t.Fatal("the first member does not lead")
	}
	p.exchange(out.Early)
	return p
}

// exchange delivers what the leader sends to the follower, and its replies, until nothing more
// comes of it.
func (p *pair) exchange(messages []Message) {
	for len(messages) > 0 && p.rounds < 1000 {
		m := messages[0]
		messages = messages[1:]
		if m.To != p.follower.ID() {
			continue
		}
		p.rounds++
		p.entries += len(m.Entries)
		var out, back Ready
		p.follower.Step(p.now, m, &out)
		if n := len(out.Entries); n > 0 {
			p.follower.Saved(p.now, out.Entries[n-1].Index, out.Entries[n-1].Term, &out)
		}
		for _, r := range append(out.Early, out.Messages...) {
			if !r.Granted {
				p.refused += len(m.Entries)
			}
			p.leader.Step(p.now, r, &back)
		}
		messages = append(messages, back.Early...)
	}
}

// logOf returns count entries from index 2 on, of a term.
func logOf(term Term, count int) []Entry {
	var list []Entry
	for i := range count {
		list = append(list, Entry{Index: Index(2 + i), Term: term, Kind: EntryCommand, Data: make([]byte, 1000)})
	}
	return list
}

// TestConflictIsFoundInFewSteps: a member that has parts of a large configuration which were never
// committed was asked for each of them in turn, with up to a message of entries in vain each
// time.
func TestConflictIsFoundInFewSteps(t *testing.T) {
	shared := logOf(1, 50)
	leaderLog := append(shared[:50:50], logOf(4, 300)[50:]...)
	followerLog := append(shared[:50:50], logOf(3, 200)[50:]...)
	p := newPair(t, leaderLog, followerLog)
	if got, want := p.follower.log.last(), p.leader.log.last(); got != want || p.follower.log.lastTerm() != 9 {
		t.Fatalf("the follower's log ends at %d, want %d", got, want)
	}
	if p.refused > 1 { // the leader's first entry goes with its first question
		t.Errorf("%d entries were sent in vain", p.refused)
	}
	const messages = 251/32 + 1 // of 32 entries of 1 kB
	if p.rounds > messages+4 {
		t.Errorf("%d messages, want %d and 4 questions at the most", p.rounds, messages)
	}
}
