// SPDX-License-Identifier: MIT

package sched

// This file tracks how much work is queued before each request where requests are ordered by
// expected work. Positions are exact after each tick; between ticks, a request that is inserted
// does not move those behind it.

// position returns the work queued before a ticket that is inserted into its team's queue.
func (m *team) position(k *ticket) float64 {
	m.before = nil
	m.waiting.DescendLessOrEqual(k, m.visitBefore)
	if m.before == nil {
		return m.dequeuedWork
	}
	return m.before.workBefore + m.before.runTime
}

// advance removes the work of the first ticket of the queue.
func (m *team) advance(k *ticket) {
	if first, ok := m.waiting.Min(); ok && first == k {
		m.dequeuedWork = max(m.dequeuedWork, k.workBefore+k.runTime)
	}
}

// renumber recomputes all positions in the order of the queue, and returns the tickets that
// leaves selects by their position. Their work does not count for the tickets behind them.
func (q *queue) renumber(leaves func(*ticket) bool) []*ticket {
	var leaving []*ticket
	for _, t := range q.tiers {
		t.active.Ascend(func(m *team) bool {
			leaving = m.renumber(leaves, leaving)
			return true
		})
	}
	return leaving
}

func (m *team) renumber(leaves func(*ticket) bool, leaving []*ticket) []*ticket {
	m.dequeuedWork = 0
	end := 0.0
	m.waiting.Ascend(func(k *ticket) bool {
		k.workBefore = end
		if leaves(k) {
			leaving = append(leaving, k)
		} else {
			end += k.runTime
		}
		return true
	})
	return leaving
}
