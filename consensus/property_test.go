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

// tightBounds let a few commands of some 10 bytes be more than a message, and than what stays
// behind a snapshot, and a snapshot of the tests be several pieces.
var tightBounds = bounds{message: 25, flying: 50, unsaved: 60, keepEntries: 4, keepBytes: 30}

// firstSnapshot is after how many commands the first snapshot is due.
const firstSnapshot = 40

// pieceBytes is what a command adds to a snapshot of the tests.
const pieceBytes = 9

// snapshotOf is the snapshot of a member that has applied commands.
func snapshotOf(applied []string) []byte {
	var data []byte
	for _, command := range applied {
		sum := fnv.New128()
		_, _ = sum.Write([]byte(command)) // a hash takes all
		data = append(data, sum.Sum(nil)[:pieceBytes]...)
	}
	return data
}

// member is a node with a disk that forgets what was not synced.
type member struct {
	node    *Node
	id      ID
	disk    Restored
	pending []Ready // not yet synced
	applied []string
	life    int
	frozen  bool
}

// group is a few members and the messages between them. Anything may happen to
// the messages and to the members.
type group struct {
	t        *rapid.T
	now      event.Time
	members  []*member
	network  []Message
	leaders  map[Term]ID
	chosen   []string // applied by anybody, in order
	proposed int
	// installed counts the snapshots that a leader sent and a member took.
	installed int
	bounds    bounds
	// doubling lets all members take a snapshot each time the commands are twice as many.
	doubling bool
	// wiped is the member that lost its disk, of which there may be one.
	wiped  *member
	random *rand.Rand
	cuts   map[[2]ID]bool // one-way
}

func newGroup(t *rapid.T, size int) *group {
	seed := rapid.Uint64().Draw(t, "seed")
	g := &group{t: t, bounds: tightBounds, leaders: make(map[Term]ID), cuts: make(map[[2]ID]bool), random: rand.New(rand.NewPCG(seed, 2))}
	var m Membership
	for i := range size {
		m.Voters = append(m.Voters, Member{ID: MakeID(event.BoxID(fmt.Sprint("box", i)), 1)})
	}
	for _, v := range m.Voters {
		b := &member{id: v.ID, disk: Restored{Snapshot: Snapshot{Index: 1, Members: m}}}
		g.members = append(g.members, b)
		g.start(b)
	}
	return g
}

func (g *group) start(b *member) {
	b.life++
	b.pending = nil
	b.applied = nil
	if len(b.disk.Snapshot.Data) > 0 {
		b.applied = append(b.applied, g.chosen[:len(b.disk.Snapshot.Data)/pieceBytes]...)
	}
	r := b.disk
	r.Entries = append([]Entry(nil), r.Entries...)
	b.node = New(g.now, b.id, r, g.random.Uint64())
	b.node.bounds = g.bounds
}

// take queues what a step asks for.
func (g *group) take(b *member, r Ready) {
	g.takeIn(b, r)
	g.checkLease()
}

// takeIn is take without a look at leases: in the middle of what a member is handed out at once it has not applied
// all that its node has, and nobody can ask it meanwhile.
func (g *group) takeIn(b *member, r Ready) {
	g.network = append(g.network, r.Early...)
	b.pending = append(b.pending, r)
	if r.Snapshot != nil && len(r.Snapshot.Data)/pieceBytes > len(b.applied) {
		g.installed++
		b.applied = append([]string(nil), g.chosen[:len(r.Snapshot.Data)/pieceBytes]...)
		if !bytes.Equal(r.Snapshot.Data, snapshotOf(b.applied)) {
			g.t.Fatalf("%s took a snapshot that nobody made", b.id)
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

// compact lets a member take a snapshot at an entry if one is due.
func (g *group) compact(b *member, at Index) {
	n := len(b.applied) / firstSnapshot
	if !g.doubling || n*firstSnapshot != len(b.applied) || n&(n-1) != 0 {
		return
	}
	var out Ready
	b.node.Compact(at, snapshotOf(b.applied), &out)
	g.takeIn(b, out)
}

// checkApplied fails unless all members apply the same commands in one order.
func (g *group) checkApplied(b *member) {
	i := len(b.applied) - 1
	if i == len(g.chosen) {
		g.chosen = append(g.chosen, b.applied[i])
		return
	}
	if i > len(g.chosen) || g.chosen[i] != b.applied[i] {
		g.t.Fatalf("%s applied %q at place %d, others %q", b.id, b.applied[i], i, g.chosen)
	}
}

// checkLease fails if two members hold a lease, or if one that holds it has not
// applied all that anybody has.
func (g *group) checkLease() {
	var holder *member
	for _, b := range g.members {
		if !b.node.HasLease(g.now) {
			continue
		}
		if holder != nil {
			g.t.Fatalf("%s and %s hold a lease", holder.id, b.id)
		}
		holder = b
		if len(b.applied) < len(g.chosen) {
			g.t.Fatalf("%s holds the lease and has applied %d of %d", b.id, len(b.applied), len(g.chosen))
		}
	}
}

// sync puts the oldest pending saves of a member on its disk and sends what
// waited for that.
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
	g.take(b, out)
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
			g.take(b, out)
		}
	}
}

// act makes one thing happen, most often that the group can work.
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
		g.start(b) // a crash: what is pending is lost
	case n < 80:
		b.frozen = true
	case n < 84:
		to := g.members[g.random.IntN(len(g.members))]
		g.cuts[[2]ID{b.id, to.id}] = true
	case n < 92:
		for range 1 + g.random.IntN(4) {
			g.propose(b)
		}
	case n < 94:
		var out Ready
		b.node.Compact(b.node.Applied(), snapshotOf(b.applied), &out)
		g.take(b, out)
	case n < 96:
		var out Ready
		b.node.Transfer(g.now, nil, &out)
		g.take(b, out)
	case n < 97:
		g.now = g.now.Add(event.Span(g.random.Int64N(int64(ElectionMin))))
	case n < 98:
		g.wipe(b)
	}
	g.rejoin()
	g.now = g.now.Add(event.Span(g.random.Int64N(int64(HeartbeatEvery / 3))))
	g.checkLease()
	g.recover()
	for _, b := range g.members {
		if !b.frozen {
			var out Ready
			b.node.Tick(g.now, &out)
			g.take(b, out)
		}
	}
}

// wipe takes a member's disk; it comes back under another identity.
func (g *group) wipe(b *member) {
	if g.wiped != nil || len(g.members) < 3 {
		return
	}
	g.wiped = b
	b.id = MakeID(b.id.Box(), 2)
	b.disk = Restored{}
	g.start(b)
}

// rejoin lets the member that lost its disk ask to join now and then.
func (g *group) rejoin() {
	if g.wiped == nil || g.random.IntN(4) != 0 {
		return
	}
	for _, b := range g.members {
		var out Ready
		// Only a leader takes it in.
		_, _ = b.node.Join(g.now, Member{ID: g.wiped.id}, &out)
		g.take(b, out)
	}
}

// deliverAll delivers what is under way, but for what is cut off.
func (g *group) deliverAll() {
	for n := len(g.network); n > 0; n-- {
		if late := g.network[0]; g.cuts[[2]ID{late.From, late.To}] {
			// Now and then such a message is only late.
			g.network = g.network[1:]
			if g.random.IntN(4) == 0 {
				g.network = append(g.network, late)
			}
			continue
		}
		g.deliver(0, false)
	}
}

// recover ends freezes and cuts, each after a while.
func (g *group) recover() {
	for _, b := range g.members {
		b.frozen = b.frozen && g.random.IntN(10) != 0
		for _, to := range g.members {
			pair := [2]ID{b.id, to.id}
			g.cuts[pair] = g.cuts[pair] && g.random.IntN(20) != 0
		}
	}
}

func (g *group) propose(b *member) {
	var out Ready
	g.proposed++
	if _, err := b.node.Propose(g.now, fmt.Appendf(nil, "command %d", g.proposed), &out); err == nil {
		g.take(b, out)
	}
}

// TestGroupIsSafe lets everything happen to a group: messages lost, doubled and
// reordered, crashes that lose what was not synced, a lost disk, freezes, jumps of time,
// snapshots in pieces and transfers. One leader a term, one lease, one order of commands.
func TestGroupIsSafe(t *testing.T) {
	installed, commands := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, rapid.SampledFrom([]int{1, 2, 3, 3, 5}).Draw(t, "size"))
		for range rapid.IntRange(200, 800).Draw(t, "steps") {
			g.act()
		}
		installed += g.installed
		commands += len(g.chosen)
	})
	t.Logf("%d commands were applied and %d snapshots taken from leaders", commands, installed)
}

// settle lets a group work without faults for a while.
func (g *group) settle(span event.Span) {
	for end := g.now.Add(span); g.now < end; g.now = g.now.Add(20 * event.Millisecond) {
		for _, b := range g.members {
			if b.frozen {
				continue
			}
			var out Ready
			b.node.Tick(g.now, &out)
			g.take(b, out)
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

// TestGroupWorks checks that a group without faults elects, commits, hands over
// and takes a wiped box back in as a voter, under a new identity.
func TestGroupWorks(t *testing.T) {
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
		g.take(l, out)
		g.settle(event.Second)
		if len(g.chosen) != 1 {
			t.Fatalf("applied %q", g.chosen)
		}
		var transfer Ready
		l.node.Transfer(g.now, nil, &transfer)
		g.take(l, transfer)
		g.settle(100 * event.Millisecond)
		next := g.holder()
		if next == nil || next == l {
			t.Fatal("no handover within 100 ms")
		}
		g.replace(l, next)
	})
}

// replace wipes a box and lets it join again.
func (g *group) replace(b, via *member) {
	old := b.id
	b.id = MakeID(old.Box(), 2)
	b.disk = Restored{}
	g.start(b)
	for range 20 {
		g.settle(100 * event.Millisecond)
		var out Ready
		done, err := via.node.Join(g.now, Member{ID: b.id}, &out)
		g.take(via, out)
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
	// A second loss right after the repair must lose nothing.
	via.frozen = true
	g.settle(5 * event.Second)
	if l := g.holder(); l == nil || len(l.applied) != len(g.chosen) {
		g.t.Fatalf("after a second loss: leader %v", l)
	}
}
