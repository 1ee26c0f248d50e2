// SPDX-License-Identifier: MIT

// Package sched decides for one pool which endpoint runs each request, when,
// and what is refused.
//
// One State owns the whole queue of its pool, so the order is exact: tiers
// strictly by rank; inside a tier the team with the least service for its share
// comes first; inside a team a request's place is its arrival plus a charge
// for its size, so a long dossier does not hold up a tag and is not starved
// either.
//
// Binding is late. An endpoint is granted no more than it can run at once and
// the rest waits here, where it can still be reordered, withdrawn or refused.
// When the queue overflows, the worst place in it is given up: the lowest tier,
// there the team with the most service, there its last request. No request is
// shed while one of a lower tier waits, because the queue's two ends are the
// ends of one order.
//
// Endpoints that tell of themselves (Pool.Discovered) have no slot beside them, and
// their requests have a target for the answer's beginning. There, within a rank, go
// first requests that had a place before, then those that can still be in time at
// their first try, then the rest (standing). What would wait too long by the work
// before it is refused early (forecast). The owner keeps books of the prompts that each
// endpoint has yet to read (reading), which Begun events correct, and learns how fast
// endpoints read and answer.
//
// The state is soft. A new owner starts empty: entries register again what they
// hold, slots report what they run. Until that had time to happen (SettleTime)
// it grants but sheds nothing.
package sched
