// SPDX-License-Identifier: MIT

package replay

import "lynxramp.org/event"

// moment is something planned.
type moment struct {
	at     event.Time
	number int // of its planning; breaks ties
	do     func()
}

// timeline implements heap.Interface, the earliest moment first.
type timeline []moment

// Len implements heap.Interface.
func (t timeline) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timeline) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].number < t[j].number
}

// Swap implements heap.Interface.
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timeline) Push(x any) { *t = append(*t, x.(moment)) }

// Pop implements heap.Interface.
func (t *timeline) Pop() any {
	last := len(*t) - 1
	m := (*t)[last]
	(*t)[last] = moment{}
	*t = (*t)[:last]
	return m
}
