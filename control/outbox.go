// SPDX-License-Identifier: MIT

package control

import (
	"sync"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/rpc"
	"lynxramp.org/store"
)

// outboxLimit bounds the decisions kept for an entry that does not fetch them.
// A dropped grant is made good: the entry registers its request again.
const outboxLimit = 100_000

// Outboxes keeps the decisions for each entry until the entry has them, and the
// answers for the calls that wait for them. It implements Carrier.
type Outboxes struct {
	keeper *store.Writer

	mu      sync.Mutex
	epoch   event.Epoch
	boxes   map[event.BoxID]*outbox
	tokens  uint64
	answers map[uint64]chan Answer
}

type outbox struct {
	next      uint64 // number of the next decision
	decisions []*rpc.Decision
	changed   chan struct{} // closed at the next decision or catalog
	life      uint64        // the entry's incarnation
}

// NewOutboxes returns Outboxes without any decision, which hand what is to be
// kept on to keeper.
func NewOutboxes(keeper *store.Writer) *Outboxes {
	return &Outboxes{
		keeper:  keeper,
		boxes:   make(map[event.BoxID]*outbox),
		answers: make(map[uint64]chan Answer),
	}
}

// Keep implements Carrier.
func (o *Outboxes) Keep(r consensus.Ready) { o.keeper.Enqueue(r) }

// Saved implements Carrier.
func (o *Outboxes) Saved() <-chan store.Saved { return o.keeper.Saved() }

// Decide implements Carrier: it lays each decision into its entry's outbox.
func (o *Outboxes) Decide(e *Effects) {
	if len(e.Grants)+len(e.Refusals)+len(e.Answers) == 0 && !e.NewEpoch && !e.NewCatalog {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if e.Epoch != o.epoch {
		o.epoch = e.Epoch
		for _, b := range o.boxes {
			b.decisions = nil
		}
	}
	for _, g := range e.Grants {
		b := o.box(g.Entry)
		b.put(rpc.GrantDecision(b.next, g))
	}
	for _, r := range e.Refusals {
		b := o.box(r.Entry)
		b.put(rpc.RefusalDecision(b.next, r))
	}
	if e.NewCatalog {
		for _, b := range o.boxes {
			b.wake()
		}
	}
	for _, a := range e.Answers {
		if c, ok := o.answers[a.Token]; ok {
			c <- a
			delete(o.answers, a.Token)
		}
	}
}

// Expect returns a token and the channel on which its answer comes.
func (o *Outboxes) Expect() (uint64, <-chan Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tokens++
	c := make(chan Answer, 1)
	o.answers[o.tokens] = c
	return o.tokens, c
}

// Forget drops a token whose caller is gone.
func (o *Outboxes) Forget(token uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.answers, token)
}

// Begin takes note of which life of an entry calls. Decisions for an earlier
// life are dropped.
func (o *Outboxes) Begin(entry event.BoxID, life uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.box(entry)
	if b.life != life {
		b.life = life
		b.decisions = nil
	}
}

// After drops an entry's decisions up to number ack and returns the rest, with
// a channel that is closed when there is another one.
func (o *Outboxes) After(entry event.BoxID, ack uint64) ([]*rpc.Decision, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.box(entry)
	drop := 0
	for drop < len(b.decisions) && b.decisions[drop].Number <= ack {
		drop++
	}
	b.decisions = b.decisions[drop:]
	return append([]*rpc.Decision(nil), b.decisions...), b.changed
}

func (o *Outboxes) box(entry event.BoxID) *outbox {
	b, ok := o.boxes[entry]
	if !ok {
		b = &outbox{next: 1, changed: make(chan struct{})}
		o.boxes[entry] = b
	}
	return b
}

func (b *outbox) put(d *rpc.Decision) {
	b.next++
	if len(b.decisions) >= outboxLimit {
		b.decisions = b.decisions[1:]
	}
	b.decisions = append(b.decisions, d)
	b.wake()
}

// wake ends the waiting of the entry's call.
func (b *outbox) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}
