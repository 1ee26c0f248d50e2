// SPDX-License-Identifier: MIT

package control

import (
	"sync"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/rpc"
	"lynxramp.org/store"
)

// maxOutboxDecisions bounds the decisions kept for an entry that doesn't fetch them.
// The oldest is dropped; the entry submits such a request again.
const maxOutboxDecisions = 100_000

// Outboxes holds the decisions for each entry until it acknowledges them, and the
// channels of calls that wait for an Answer. It implements Executor.
type Outboxes struct {
	writer *store.Writer

	mu      sync.Mutex
	epoch   event.Epoch
	boxes   map[event.BoxID]*outbox
	tokens  uint64
	answers map[uint64]chan Answer
}

type outbox struct {
	next      uint64 // number of the next decision
	decisions []*rpc.Decision
	changed   chan struct{} // closed at the next decision or catalog version
	instance  uint64        // the entry's instance
}

// NewOutboxes returns empty Outboxes that save and send through writer.
func NewOutboxes(writer *store.Writer) *Outboxes {
	return &Outboxes{
		writer:  writer,
		boxes:   make(map[event.BoxID]*outbox),
		answers: make(map[uint64]chan Answer),
	}
}

// Enqueue implements Executor.
func (o *Outboxes) Enqueue(r consensus.Ready) { o.writer.Enqueue(r) }

// Saved implements Executor.
func (o *Outboxes) Saved() <-chan store.Saved { return o.writer.Saved() }

// Deliver implements Executor: it adds each decision to its entry's outbox.
func (o *Outboxes) Deliver(e *Effects) {
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
		b.add(rpc.GrantDecision(b.next, g))
	}
	for _, r := range e.Refusals {
		b := o.box(r.Entry)
		b.add(rpc.RefusalDecision(b.next, r))
	}
	if e.NewCatalog {
		for _, b := range o.boxes {
			b.notify()
		}
	}
	for _, a := range e.Answers {
		if c, ok := o.answers[a.Token]; ok {
			c <- a
			delete(o.answers, a.Token)
		}
	}
}

// NewToken returns a new token and the channel that receives its answer.
func (o *Outboxes) NewToken() (uint64, <-chan Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tokens++
	c := make(chan Answer, 1)
	o.answers[o.tokens] = c
	return o.tokens, c
}

// DropToken drops a token whose caller no longer waits.
func (o *Outboxes) DropToken(token uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.answers, token)
}

// SetInstance sets the entry's instance. Decisions for an earlier one are
// dropped.
func (o *Outboxes) SetInstance(entry event.BoxID, instance uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.box(entry)
	if b.instance != instance {
		b.instance = instance
		b.decisions = nil
	}
}

// Fetch drops an entry's decisions up to number ack and returns the rest, with
// a channel that is closed at the next decision or catalog version.
func (o *Outboxes) Fetch(entry event.BoxID, ack uint64) ([]*rpc.Decision, <-chan struct{}) {
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

func (b *outbox) add(d *rpc.Decision) {
	b.next++
	if len(b.decisions) >= maxOutboxDecisions {
		b.decisions = b.decisions[1:]
	}
	b.decisions = append(b.decisions, d)
	b.notify()
}

// notify wakes the entry's waiting call.
func (b *outbox) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}
