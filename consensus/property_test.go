// SPDX-License-Identifier: MIT

package consensus

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"lynxramp.org/event"
)

// tightBounds makes a few commands exceed a message and the log kept behind a snapshot, and makes
// snapshots several chunks long.
var tightBounds = bounds{messageBytes: 25, inFlightBytes: 50, unsavedBytes: 60, keepEntries: 4, keepBytes: 30}

// firstSnapshot is the number of commands before the first snapshot.
const firstSnapshot = 40

// bytesPerCommand is what each command adds to a snapshot.
const bytesPerCommand = 9

// snapshotOf returns the snapshot data after the applied commands.
func snapshotOf(applied []string) []byte {
	var data []byte
	for _, command := range applied {
		sum := fnv.New128()
		_, _ = sum.Write([]byte(command)) // never fails
		data = append(data, sum.Sum(nil)[:bytesPerCommand]...)
	}
	return data
}

// member is a node with a disk that loses what was not synced.
type member struct {
	node    *Node
	id      ID
	disk    PersistentState
	pending []Ready // not yet synced
	applied []string
	starts  int
	frozen  bool
}

// group is a set of members and the messages between them, with faults in both.
type group struct {
	t         *rapid.T
	now       event.Time
	members   []*member
	network   []Message
	leaders   map[Term]ID
	committed []string // applied by any member, in order
	proposed  int
	// installed counts the snapshots that were received from a leader.
	installed int
	bounds    bounds
	// doubling makes each member take a snapshot whenever the number of commands has doubled.
	doubling bool
	// wiped is the member that lost its disk; at most one does.
	wiped      *member
	random     *rand.Rand
	partitions map[[2]ID]bool // one-way
}

func newGroup(t *rapid.T, size int) *group {
	seed := rapid.Uint64().Draw(t, "seed")
	g := &group{t: t, bounds: tightBounds, leaders: make(map[Term]ID), partitions: make(map[[2]ID]bool), random: rand.New(rand.NewPCG(seed, 2))}
	var m Membership
	for i := range size {
		m.Voters = append(m.Voters, Member{ID: MakeID(event.BoxID(fmt.Sprint("box", i)), 1)})
	}
	for _, v := range m.Voters {
		b := &member{id: v.ID, disk: PersistentState{Snapshot: Snapshot{Index: 1, Members: m}}}
		g.members = append(g.members, b)
		g.start(b)
	}
	return g
}

func (g *group) start(b *member) {
	b.starts++
	b.pending = nil
	b.applied = nil
	if len(b.disk.Snapshot.Data) > 0 {
		b.applied = append(b.applied, g.committed[:len(b.disk.Snapshot.Data)/bytesPerCommand]...)
	}
	r := b.disk
	r.Entries = append([]Entry(nil), r.Entries...)
	b.node = New(g.now, b.id, r, g.random.Uint64())
	b.node.bounds = g.bounds
}

// enqueue queues the sends and saves of a step and applies its committed entries.
func (g *group) enqueue(b *member, r Ready) {
	g.enqueueUnchecked(b, r)
	g.checkLease()
}

// enqueueUnchecked skips the lease check: within one Ready the member has not yet applied all that
// its node committed, and nothing reads its state meanwhile.
func (g *group) enqueueUnchecked(b *member, r Ready) {
	g.network = append(g.network, r.Immediate...)
	b.pending = append(b.pending, r)
	if r.Snapshot != nil && len(r.Snapshot.Data)/bytesPerCommand > len(b.applied) {
		g.installed++
		b.applied = append([]string(nil), g.committed[:len(r.Snapshot.Data)/bytesPerCommand]...)
		if !bytes.Equal(r.Snapshot.Data, snapshotOf(b.applied)) {
			g.t.Fatalf("%s installed a snapshot that no member made", b.id)
		}
	}
	for _, e := range r.Committed {
		if e.Kind == EntryCommand {
			b.applied = append(b.applied, string(e.Data))
			g.checkApplied(b)
			g.compact(b, e.Index)
		}
	}
	if b.node.role == leader {
		if other, ok := g.leaders[b.node.Term()]; ok && other != b.id {
			g.t.Fatalf("term %d has leaders %s and %s", b.node.Term(), other, b.id)
		}
		g.leaders[b.node.Term()] = b.id
	}
}

// compact takes a snapshot at an entry if one is due.
func (g *group) compact(b *member, at Index) {
	n := len(b.applied) / firstSnapshot
	if !g.doubling || n*firstSnapshot != len(b.applied) || n&(n-1) != 0 {
		return
	}
	var out Ready
	b.node.Compact(at, snapshotOf(b.applied), &out)
	g.enqueueUnchecked(b, out)
}

// checkApplied fails unless all members apply the same commands in the same order.
func (g *group) checkApplied(b *member) {
	i := len(b.applied) - 1
	if i == len(g.committed) {
		g.committed = append(g.committed, b.applied[i])
		return
	}
	if i > len(g.committed) || g.committed[i] != b.applied[i] {
		g.t.Fatalf("%s applied %q at position %d, the others %q", b.id, b.applied[i], i, g.committed)
	}
}

// checkLease fails if two members hold a lease, or if the holder has not applied all that any
// member has.
func (g *group) checkLease() {
	var holder *member
	for _, b := range g.members {
		if !b.node.HasLease(g.now) {
			continue
		}
		if holder != nil {
			g.t.Fatalf("%s and %s both hold a lease", holder.id, b.id)
		}
		holder = b
		if len(b.applied) < len(g.committed) {
			g.t.Fatalf("%s holds the lease but has applied only %d of %d commands", b.id, len(b.applied), len(g.committed))
		}
	}
}

// sync writes a member's pending saves to its disk and sends the messages that waited for them.
func (g *group) sync(b *member) {
	pending := b.pending
	b.pending = nil
	for _, r := range pending {
		if r.HardState != nil {
			b.disk.HardState = *r.HardState
		}
		if s := r.Snapshot; s != nil {
			b.disk.Snapshot = *s
			b.disk.Entries = nil
		}
		for _, e := range r.Entries {
			at := int(e.Index - b.disk.Snapshot.Index - 1)
			b.disk.Entries = append(b.disk.Entries[:at:at], e)
		}
		g.network = append(g.network, r.Messages...)
		if n := len(r.Entries); n > 0 {
			g.saved(b, r.Entries[n-1].Index, r.Entries[n-1].Term)
		} else if r.Snapshot != nil {
			g.saved(b, r.Snapshot.Index, r.Snapshot.Term)
		}
	}
}

func (g *group) saved(b *member, index Index, term Term) {
	var out Ready
	b.node.Saved(g.now, index, term, &out)
	g.enqueue(b, out)
}

func (g *group) deliver(i int, keep bool) {
	m := g.network[i]
	if !keep {
		g.network = append(g.network[:i], g.network[i+1:]...)
	}
	for _, b := range g.members {
		if b.id == m.To && !b.frozen {
			var out Ready
			b.node.Step(g.now, m, &out)
			g.enqueue(b, out)
		}
	}
}

// act does one random action; most often all members sync and all messages are delivered.
func (g *group) act() {
	b := g.members[g.random.IntN(len(g.members))]
	switch n := g.random.IntN(100); {
	case n < 55:
		for _, b := range g.members {
			g.sync(b)
		}
		g.deliverAll()
	case n < 65: // b's disk is slow
		for _, other := range g.members {
			if other != b {
				g.sync(other)
			}
		}
		g.deliverAll()
	case n < 70:
		g.sync(b)
	case n < 74 && len(g.network) > 0:
		g.deliver(g.random.IntN(len(g.network)), true)
	case n < 78:
		g.start(b) // a crash: pending saves are lost
	case n < 80:
		b.frozen = true
	case n < 84:
		to := g.members[g.random.IntN(len(g.members))]
		g.partitions[[2]ID{b.id, to.id}] = true
	case n < 92:
		for range 1 + g.random.IntN(4) {
			g.propose(b)
		}
	case n < 94:
		var out Ready
		b.node.Compact(b.node.Applied(), snapshotOf(b.applied), &out)
		g.enqueue(b, out)
	case n < 96:
		var out Ready
		b.node.TransferLeadership(g.now, nil, &out)
		g.enqueue(b, out)
	case n < 97:
		g.now = g.now.Add(event.Duration(g.random.Int64N(int64(MinElectionTimeout))))
	case n < 98:
		g.wipe(b)
	}
	g.rejoin()
	g.now = g.now.Add(event.Duration(g.random.Int64N(int64(HeartbeatInterval / 3))))
	g.checkLease()
	g.recover()
	for _, b := range g.members {
		if !b.frozen {
			var out Ready
			b.node.Tick(g.now, &out)
			g.enqueue(b, out)
		}
	}
}

// wipe erases a member's disk; the box returns as another member.
func (g *group) wipe(b *member) {
	if g.wiped != nil || len(g.members) < 3 {
		return
	}
	g.wiped = b
	b.id = MakeID(b.id.Box(), 2)
	b.disk = PersistentState{}
	g.start(b)
}

// rejoin sometimes makes the wiped member ask to join.
func (g *group) rejoin() {
	if g.wiped == nil || g.random.IntN(4) != 0 {
		return
	}
	for _, b := range g.members {
		var out Ready
		// Members other than the leader refuse.
		_, _ = b.node.Join(g.now, Member{ID: g.wiped.id}, &out)
		g.enqueue(b, out)
	}
}

// deliverAll delivers the messages in flight, except on partitioned links.
func (g *group) deliverAll() {
	for n := len(g.network); n > 0; n-- {
		if delayed := g.network[0]; g.partitions[[2]ID{delayed.From, delayed.To}] {
			// Some of these messages are delayed rather than lost.
			g.network = g.network[1:]
			if g.random.IntN(4) == 0 {
				g.network = append(g.network, delayed)
			}
			continue
		}
		g.deliver(0, false)
	}
}

// recover ends each freeze and partition after a while.
func (g *group) recover() {
	for _, b := range g.members {
		b.frozen = b.frozen && g.random.IntN(10) != 0
		for _, to := range g.members {
			pair := [2]ID{b.id, to.id}
			g.partitions[pair] = g.partitions[pair] && g.random.IntN(20) != 0
		}
	}
}

func (g *group) propose(b *member) {
	var out Ready
	g.proposed++
	if _, err := b.node.Propose(g.now, fmt.Appendf(nil, "command %d", g.proposed), &out); err == nil {
		g.enqueue(b, out)
	}
}

// TestGroupSafetyUnderFaults checks for one leader per term, one lease holder and one order of
// commands under message loss, duplication and reordering, crashes, a lost disk, freezes, clock
// jumps, chunked snapshots and transfers.
func TestGroupSafetyUnderFaults(t *testing.T) {
	installed, commands := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, rapid.SampledFrom([]int{1, 2, 3, 3, 5}).Draw(t, "size"))
		for range rapid.IntRange(200, 800).Draw(t, "steps") {
			g.act()
		}
		installed += g.installed
		commands += len(g.committed)
	})
	t.Logf("%d commands were applied and %d snapshots received from leaders", commands, installed)
}

// settle runs the group without faults for a while.
func (g *group) settle(span event.Duration) {
	for end := g.now.Add(span); g.now < end; g.now = g.now.Add(20 * event.Millisecond) {
		for _, b := range g.members {
			if b.frozen {
				continue
			}
			var out Ready
			b.node.Tick(g.now, &out)
			g.enqueue(b, out)
		}
		for len(g.network) > 0 || g.pending() {
			for _, b := range g.members {
				g.sync(b)
			}
			for n := len(g.network); n > 0; n-- {
				g.deliver(0, false)
			}
		}
	}
}

func (g *group) pending() bool {
	for _, b := range g.members {
		for _, r := range b.pending {
			if len(r.Messages) > 0 || len(r.Entries) > 0 {
				return true
			}
		}
	}
	return false
}

func (g *group) holder() *member {
	for _, b := range g.members {
		if !b.frozen && b.node.HasLease(g.now) {
			return b
		}
	}
	return nil
}

// A group without faults must elect a leader, commit, transfer the leadership, and take a wiped box
// back as a voter with a new identity.
func TestHealthyGroupElectsCommitsAndReplacesMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, 3)
		g.settle(4 * event.Second)
		l := g.holder()
		if l == nil {
			t.Fatal("no leader")
		}
		var out Ready
		if _, err := l.node.Propose(g.now, []byte("one"), &out); err != nil {
			t.Fatal(err)
		}
		g.enqueue(l, out)
		g.settle(event.Second)
		if len(g.committed) != 1 {
			t.Fatalf("applied %q", g.committed)
		}
		var transfer Ready
		l.node.TransferLeadership(g.now, nil, &transfer)
		g.enqueue(l, transfer)
		g.settle(100 * event.Millisecond)
		next := g.holder()
		if next == nil || next == l {
			t.Fatal("no leadership transfer within 100 ms")
		}
		g.replace(l, next)
	})
}

// replace wipes a box and makes it join again.
func (g *group) replace(b, via *member) {
	old := b.id
	b.id = MakeID(old.Box(), 2)
	b.disk = PersistentState{}
	g.start(b)
	for range 20 {
		g.settle(100 * event.Millisecond)
		var out Ready
		done, err := via.node.Join(g.now, Member{ID: b.id}, &out)
		g.enqueue(via, out)
		if err != nil {
			g.t.Fatal(err)
		}
		if done {
			break
		}
	}
	m := via.node.Members()
	if m.Has(old) || !m.isVoter(b.id) || len(m.Voters) != 3 {
		g.t.Fatalf("members after the repair: %+v", m)
	}
	// The group must survive the loss of another member right after the repair.
	via.frozen = true
	g.settle(5 * event.Second)
	if l := g.holder(); l == nil || len(l.applied) != len(g.committed) {
		g.t.Fatalf("after the loss of a second member: leader %v", l)
	}
}
