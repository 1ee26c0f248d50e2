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
// before it is refused, at its arrival and as long as it waits (forecast). The owner
// keeps books of the prompts that each endpoint has yet to read (reading), which Begun
// events correct, and learns how fast endpoints read and answer.
//
// Each decision answers a load:
//
//   - who goes first (queue, standing, class): more asked for than there are places, by kinds and
//     teams of unlike weight; by rank, then by whether it can be in time, then teams in turn.
//     A cheap kind is let beside the one above while it is served less.
//   - who is refused, and when (forecast): a burst with more urgent requests behind it; by the
//     work ahead and the places, against the patience that the request came with, whatever its
//     age. Its limit is that work is a mean by kind: one answer may be a hundred times another.
//   - when to come back (retryAfter): those refused together returning together; by the time
//     that the queue takes to drain, spread by a quarter, from one second on.
//   - which endpoint (price, isWorthWaiting): endpoints of unlike speed that read long prompts;
//     by when the answer begins and ends there, against the target and the deadline.
//
// What waits for a quota is in package admission. An entry without an owner decides by the
// same code; which places it takes is in package gateway.
//
// The state is soft. A new owner starts empty: entries register again what they
// hold, slots report what they run. Until that had time to happen (SettleTime)
// it grants but sheds nothing.
package sched
