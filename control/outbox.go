// SPDX-License-Identifier: MIT

package control

import (
	"sync"

	"lynxramp.org/event"
	"lynxramp.org/rpc"
)

// outboxLimit bounds the decisions kept for an entry that does not fetch them.
// A dropped grant is made good: the entry registers its request again.
const outboxLimit = 100_000

// Outboxes keeps the decisions for each entry until the entry has them.
type Outboxes struct {
	mu    sync.Mutex
	boxes map[event.BoxID]*outbox
}

type outbox struct {
	next      uint64 // number of the next decision
	decisions []*rpc.Decision
	changed   chan struct{} // closed at the next decision
	life      uint64        // the entry's incarnation
}

// NewOutboxes returns Outboxes without any decision.
func NewOutboxes() *Outboxes {
	return &Outboxes{boxes: make(map[event.BoxID]*outbox)}
}

// Carry implements Carrier: it lays each decision into its entry's outbox.
func (o *Outboxes) Carry(effects *event.Effects) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, g := range effects.Grants {
		b := o.box(g.Entry)
		b.put(rpc.GrantDecision(b.next, g))
	}
	for _, r := range effects.Refusals {
		b := o.box(r.Entry)
		b.put(rpc.RefusalDecision(b.next, r))
	}
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
	close(b.changed)
	b.changed = make(chan struct{})
}
