// SPDX-License-Identifier: MIT

package consensus

import (
	"testing"

	"lynxramp.org/event"
)

// pair is a leader and a follower with reliable connections and disks; a third voter is down.
type pair struct {
	leader, follower *Node
	now              event.Time
	// rounds counts the leader's messages, entries the entries in them, and refused the entries
	// that the follower rejected.
	rounds, entries, refused int
}

// newPair starts a pair with the given logs and makes the first member win an election in term 9.
func newPair(t *testing.T, leaderLog, followerLog []Entry) *pair {
	t.Helper()
	voters := []Member{{ID: MakeID("a", 1)}, {ID: MakeID("b", 1)}, {ID: MakeID("c", 1)}}
	base := Snapshot{Index: 1, Members: Membership{Voters: voters}}
	hard := HardState{Term: 8}
	p := &pair{
		leader:   New(0, voters[0].ID, PersistentState{HardState: hard, Snapshot: base, Entries: leaderLog}, 1),
		follower: New(0, voters[1].ID, PersistentState{HardState: hard, Snapshot: base, Entries: followerLog}, 2),
		now:      event.Time(0).Add(2 * event.Second),
	}
	var out Ready
	p.leader.Tick(p.now, &out)
	for _, kind := range []Kind{KindPreVoteReply, KindVoteReply} {
		p.leader.Step(p.now, Message{Kind: kind, From: voters[2].ID, To: p.leader.ID(), Term: 9, Granted: true}, &out)
	}
	if p.leader.role != leader {
		t.Fatal("the first member is not the leader")
	}
	p.exchange(out.Immediate)
	return p
}

// exchange delivers the leader's messages and the follower's replies until none are left.
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
		for _, r := range append(out.Immediate, out.Messages...) {
			if !r.Granted {
				p.refused += len(m.Entries)
			}
			p.leader.Step(p.now, r, &back)
		}
		messages = append(messages, back.Immediate...)
	}
}

// logOf returns count entries of a term, from index 2 on.
func logOf(term Term, count int) []Entry {
	var list []Entry
	for i := range count {
		list = append(list, Entry{Index: Index(2 + i), Term: term, Kind: EntryCommand, Data: make([]byte, 1000)})
	}
	return list
}

// The leader must find the point where a follower's uncommitted entries diverge with one probe per
// term. Probing entry by entry wastes a message of entries each time.
func TestConflictIsFoundOneTermPerProbe(t *testing.T) {
	shared := logOf(1, 50)
	leaderLog := append(shared[:50:50], logOf(4, 300)[50:]...)
	followerLog := append(shared[:50:50], logOf(3, 200)[50:]...)
	p := newPair(t, leaderLog, followerLog)
	if got, want := p.follower.log.last(), p.leader.log.last(); got != want || p.follower.log.lastTerm() != 9 {
		t.Fatalf("the follower's log ends at %d, want %d", got, want)
	}
	if p.refused > 1 { // the leader's first entry is sent with its first probe
		t.Errorf("%d entries were sent and rejected", p.refused)
	}
	const messages = 251/32 + 1 // of 32 entries of 1 kB
	if p.rounds > messages+4 {
		t.Errorf("%d messages, want at most %d and 4 probes", p.rounds, messages)
	}
}
