// SPDX-License-Identifier: MIT

// Package sched implements the scheduler of one pool: it decides which endpoint
// runs each request, when, and which requests are refused.
//
// One State owns the whole queue of its pool, so the order is exact. Tiers are
// served strictly by rank. Within a tier the team with the fewest tokens served
// goes first. Within a team, requests are ordered by arrival time plus a penalty
// for size, so that long requests neither block short ones nor starve.
//
// Binding is late. An endpoint is granted no more requests than it can run at
// once; the others wait here, where they can still be reordered, withdrawn or
// refused. Only plain calls are granted ahead of the end of others, where endpoints
// report their slowdown (transit). When the queue overflows, its last request is
// shed: in the lowest tier, of the team with the most tokens served, the last in
// order. No request is shed while one of a lower tier waits, because both ends of the
// queue belong to the same order.
//
// Discovered endpoints (Pool.Discovered) have no slot, and their requests have a
// target for the time to first token. Within a rank, requests that were granted
// before go first, then those that can still meet their target on the first
// attempt, then the others (precedence). Requests whose expected wait exceeds their
// queue timeout are refused on arrival and while they wait (refuseOverdue). The
// scheduler tracks the prefill work pending at each endpoint (prefillQueue), updates
// it by Begun events, and measures how fast endpoints process prompts and generate
// tokens.
//
// The parts of a decision:
//
//   - order (queue, precedence, class): by rank, then by whether the target can be
//     met, then fairly between teams. Requests of a cheap class may be promoted to
//     the next higher rank while a smaller fraction of them is served.
//   - refusal (refuseOverdue): by the work queued before a request and the capacity,
//     against its queue timeout. Run times are means by class, so the error is large
//     where responses differ much in length.
//   - Retry-After (retryAfter): the time the queue takes to drain, with jitter of up
//     to a quarter, and at least one second.
//   - placement (costModel, isWorthWaiting, isFasterSoon): by the expected time to first
//     token and to the end of the response at each endpoint, against the target and the
//     deadline.
//   - present speed (slowdown, agreement): the usual speed of an endpoint is measured; the
//     slowdown that it reports in its responses counts until it is old, as far as it
//     agrees with the measured times.
//   - roll-outs (canary.go): endpoints of an unproved version get the allowance first, in
//     equal numbers, and don't count in forecasts; blocked endpoints get nothing.
//
// With Pool.ExpectedWork (setting bounds.queue_order) order, refusal and Retry-After go by the
// expected work of each request instead:
//
//   - order (orderByWork): within a team by arrival plus agingFactor times the expected run
//     time; large requests of a class are exempt while too few of them are served (workSizes).
//   - refusal (reviewWaiting): a request that is expected to miss its target goes behind those
//     of its rank that can meet theirs, and is refused when it is expected to miss its deadline.
//   - Retry-After (retryAfterOwnWait): the expected wait of the request itself.
//
// Quotas are enforced by package admission. An entry without an owner runs the same
// scheduler; package gateway decides which part of the capacity it uses.
//
// The state is soft. A new owner starts empty: entries register their requests
// again and slots report what they run. Until SettleTime has passed, the owner
// grants requests but sheds none.
package sched
