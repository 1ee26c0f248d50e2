// SPDX-License-Identifier: MIT

// Package rollout decides on orders to move the traffic of a service to another version, of
// which endpoints run beside the present ones. It has no clock, no input or output, and no
// goroutines.
//
// The owner decides, with a Tracker. Each order has a Record in the replicated log (Ledger),
// and passes through phases:
//
//   - PhaseCanary: the version is unproved. The owner grants it a bounded number of requests
//     (Allowance) and compares its responses with those of the other versions in use.
//   - PhaseShifting: the version was judged good. New requests go to it only, and those that
//     run elsewhere finish.
//   - PhaseCompleted, PhaseRolledBack: the end of the order.
//
// A verdict of bad ends the order in either of the first two phases. An order that is not
// judged good until its deadline is rolled back.
//
// What holds for a version outlasts later orders (Tracker.Use): one that was rolled back gets
// nothing until it is ordered again, and the endpoints that a completed order replaced get nothing
// while they stop. All others are in use. The Ledger keeps what that takes (pastOrders).
//
// The exposure of an unproved version is bounded by construction, whichever messages are
// lost. The owner grants up to the ceiling of the last committed Record, and counts the whole
// ceiling of its predecessors as spent. For each order
//
//	requests granted to the version <= ceiling committed <= share x requests + slack
//
// where the first sum is over all owners, and the requests are a lower bound of those that
// were granted to the service since the order.
//
// The verdict compares the responses of the version with those of the others at the same time,
// by route (control). It is a mixture of likelihood ratios over what may be bad, since when,
// and on which routes (judgement). Under the null hypothesis an endpoint may be bad by itself
// (outliers), which bounds what one endpoint contributes. The mixture may be evaluated at any time.
// Responses of the other versions' outlier endpoints are left out (peers). All counts are bounded:
// maxRoutes, maxEndpoints and maxBlocks.
//
// Time is the elapsed time of the order: a Record has it, each box notes when it applied the
// Record, and a new owner continues from there.
package rollout
