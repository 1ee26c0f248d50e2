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
func (t eventQueue) Len() int { return len(t) }

// Less implements heap.Interface.
func (t eventQueue) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].sequence < t[j].sequence
}

// Swap implements heap.Interface.
func (t eventQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *eventQueue) Push(x any) { *t = append(*t, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (t *eventQueue) Pop() any {
	last := len(*t) - 1
	m := (*t)[last]
	(*t)[last] = scheduledEvent{}
	*t = (*t)[:last]
	return m
}
