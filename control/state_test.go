// SPDX-License-Identifier: MIT

package control

import (
	"testing"
	"time"

	"lynxramp.org/catalog"
	"lynxramp.org/consensus"
	"lynxramp.org/event"
)

// group is a control group in memory: messages arrive in the next step, except those to the
// member whose messages are held.
type group struct {
	now     event.Time
	ids     []consensus.ID
	states  map[consensus.ID]*State
	inbox   []consensus.Message
	held    consensus.ID
	waiting []consensus.Message
	effects Effects
}

func newGroup(t *testing.T, c catalog.Catalog) *group {
	t.Helper()
	g := &group{now: event.Time(event.Second), states: make(map[consensus.ID]*State)}
	var members []consensus.Member
	for _, box := range []event.BoxID{"box-0", "box-1", "box-2"} {
		id := consensus.MakeID(box, 1)
		g.ids = append(g.ids, id)
		members = append(members, consensus.Member{ID: id, Address: string(box)})
	}
	initial := consensus.PersistentState{Snapshot: consensus.Snapshot{
		Index: initialIndex, Members: consensus.Membership{Voters: members},
	}}
	for i, id := range g.ids {
		s, err := NewState(g.now, id, initial, c, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		g.states[id] = s
	}
	return g
}

// step steps one member and returns its effects, which are valid until the next call.
func (g *group) step(id consensus.ID, e event.Event) *Effects {
	g.effects.Reset()
	s := g.states[id]
	s.Step(g.now, e, &g.effects)
	for g.effects.Ready.MustSave() {
		r := g.effects.Ready
		g.effects.Ready = consensus.Ready{}
		g.inbox = append(append(g.inbox, r.Immediate...), r.Messages...)
		if len(r.Entries) == 0 {
			break
		}
		last := r.Entries[len(r.Entries)-1]
		s.Step(g.now, &LogSaved{Index: last.Index, Term: last.Term}, &g.effects)
	}
	g.inbox = append(append(g.inbox, g.effects.Ready.Immediate...), g.effects.Ready.Messages...)
	return &g.effects
}

// run lets time pass in steps of 10 ms.
func (g *group) run(d event.Duration) {
	for until := g.now.Add(d); g.now < until; g.now = g.now.Add(10 * event.Millisecond) {
		for _, id := range g.ids {
			g.step(id, &event.Tick{})
		}
		inbox := g.inbox
		g.inbox = nil
		for _, m := range inbox {
			if m.To == g.held {
				g.waiting = append(g.waiting, m)
				continue
			}
			g.step(m.To, &MessageReceived{Message: m})
		}
	}
}

// release delivers the messages that were held.
func (g *group) release() {
	g.held = ""
	g.inbox = append(g.waiting, g.inbox...)
	g.waiting = nil
}

func (g *group) owner() consensus.ID {
	for _, id := range g.ids {
		if g.states[id].Status(g.now).IsOwner {
			return id
		}
	}
	return ""
}

// commitWithoutLease has the owner propose a command, and holds the replies to it until the lease on
// which it was proposed has ended.
func (g *group) commitWithoutLease(t *testing.T, propose func(owner consensus.ID)) consensus.ID {
	t.Helper()
	owner := g.owner()
	epoch := g.states[owner].epoch
	g.held = owner
	propose(owner)
	g.run(consensus.MinElectionTimeout + 20*event.Millisecond)
	if g.states[owner].Status(g.now).IsOwner {
		t.Fatal("the lease has not ended")
	}
	g.release()
	g.run(500 * event.Millisecond)
	if g.owner() != owner || g.states[owner].epoch != epoch {
		t.Fatalf("the owner of epoch %d is not the owner now", epoch)
	}
	return owner
}

func completion(id event.RequestID, key string) *event.Submitted {
	return &event.Submitted{Entry: "box-1", Ticket: event.Ticket{
		ID: id, Team: "a", Service: "s", Pool: "p", Rank: 1, Key: key, Deadline: 60 * event.Second, OutputTokens: 1,
	}}
}

// TestCommitWithoutLease guards against committed entries that an owner never acts on: they are
// applied while its lease has lapsed, and the lease is renewed in the same epoch.
func TestCommitWithoutLease(t *testing.T) {
	pool := func(name string) catalog.Pool {
		return catalog.Pool{Name: name, MaxWaiting: 10, Endpoints: []catalog.Endpoint{{Name: "e", Concurrency: 1}}}
	}
	first := catalog.Catalog{
		Tiers:    []catalog.Tier{{Name: "gold", Rank: 1}},
		Teams:    []catalog.Team{{Name: "a", Tier: "gold"}},
		Services: []catalog.Service{{Name: "s", Kind: catalog.KindModel, Pool: "p", Models: []string{"m"}, Deadline: catalog.Duration(time.Minute)}},
		Pools:    []catalog.Pool{pool("p")},
	}
	t.Run("catalog", func(t *testing.T) {
		g := newGroup(t, first)
		for g.owner() == "" {
			g.run(10 * event.Millisecond)
		}
		// The owner has just proposed the first catalog.
		owner := g.commitWithoutLease(t, func(consensus.ID) {})
		if v := g.states[owner].Status(g.now).Version; v != 1 {
			r, _ := g.states[owner].machine.Result(initialCatalogID)
			t.Fatalf("the catalog has version %d; the command got %v", v, r)
		}
		out := g.step(owner, completion("r", ""))
		if len(out.Refusals) > 0 {
			t.Errorf("refused: %v", out.Refusals[0].Reason)
		}
	})
	t.Run("claim", func(t *testing.T) {
		g := newGroup(t, first)
		g.run(3 * event.Second)
		owner := g.commitWithoutLease(t, func(owner consensus.ID) { g.step(owner, completion("r", "key")) })
		if _, ok := g.states[owner].machine.Claim("a", "key"); !ok {
			t.Fatal("the claim is not committed")
		}
		if g.states[owner].keys.byID["r"].submitted != nil {
			t.Error("the request of the committed claim is not passed to its pool")
		}
	})
}
