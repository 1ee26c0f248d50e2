// SPDX-License-Identifier: MIT

package replay

import "lynxramp.org/event"

// scheduledEvent is a function to run at a simulated time.
type scheduledEvent struct {
	at       event.Time
	sequence int // order of scheduling; breaks ties
	do       func()
}

// eventQueue implements heap.Interface, earliest event first.
type eventQueue []scheduledEvent

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = scheduledEvent{}
	*q = (*q)[:last]
	return e
}
