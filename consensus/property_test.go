// SPDX-License-Identifier: MIT

package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"lynxramp.org/event"
)

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
	random   *rand.Rand
	cuts     map[[2]ID]bool // one-way
	bulky    bool           // some commands are too long to be sent again on a guess
}

func newGroup(t *rapid.T, size int) *group {
	seed := rapid.Uint64().Draw(t, "seed")
	g := &group{t: t, leaders: make(map[Term]ID), cuts: make(map[[2]ID]bool), random: rand.New(rand.NewPCG(seed, 2))}
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
		b.applied = append(b.applied, g.chosen[:len(b.disk.Snapshot.Data)]...)
	}
	r := b.disk
	r.Entries = append([]Entry(nil), r.Entries...)
	b.node = New(g.now, b.id, r, g.random.Uint64())
}

// take queues what a step asks for.
func (g *group) take(b *member, r Ready) {
	g.network = append(g.network, r.Early...)
	b.pending = append(b.pending, r)
	if r.Snapshot != nil && len(r.Snapshot.Data) > len(b.applied) {
		b.applied = append([]string(nil), g.chosen[:len(r.Snapshot.Data)]...)
	}
	for _, e := range r.Committed {
		if e.Kind == EntryCommand {
			b.applied = append(b.applied, string(e.Data))
			g.checkApplied(b)
		}
	}
	if b.node.role == leader {
		if other, ok := g.leaders[b.node.Term()]; ok && other != b.id {
			g.t.Fatalf("term %d has leaders %s and %s", b.node.Term(), other, b.id)
		}
		g.leaders[b.node.Term()] = b.id
	}
	g.checkLease()
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
			var out Ready
			b.node.Saved(g.now, r.Entries[n-1].Index, r.Entries[n-1].Term, &out)
			g.take(b, out)
		}
	}
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
		g.propose(b)
	case n < 94:
		var out Ready
		b.node.Compact(make([]byte, len(b.applied)), &out)
		g.take(b, out)
	case n < 96:
		var out Ready
		b.node.Transfer(g.now, &out)
		g.take(b, out)
	case n < 97:
		g.now = g.now.Add(event.Span(g.random.Int64N(int64(ElectionMin))))
	}
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
	command := fmt.Appendf(nil, "command %d", g.proposed)
	if g.bulky && g.random.IntN(4) == 0 {
		command = append(command, make([]byte, 2*resendBytes)...)
	}
	if _, err := b.node.Propose(g.now, command, &out); err == nil {
		g.take(b, out)
	}
}

// TestGroupIsSafe lets everything happen to a group: messages lost, doubled and
// reordered, crashes that lose what was not synced, freezes, jumps of time,
// snapshots and transfers. One leader a term, one lease, one order of commands.
func TestGroupIsSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, rapid.SampledFrom([]int{1, 2, 3, 3, 5}).Draw(t, "size"))
		g.bulky = rapid.Bool().Draw(t, "bulky")
		for range rapid.IntRange(200, 800).Draw(t, "steps") {
			g.act()
		}
	})
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
		l.node.Transfer(g.now, &transfer)
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
