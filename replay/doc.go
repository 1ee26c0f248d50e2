// SPDX-License-Identifier: MIT

// Package replay simulates a recorded trace under a scheduling policy and reports the
// outcome. The engines are the models of engine/fake; the policy is the real scheduler
// or one of several common baselines. It is a discrete-event simulation without
// randomness: the same trace always gives the same result.
//
// The simulation includes network delay between boxes, slots' reports with measured
// token gaps, delayed load reports, callers that disconnect at their deadline, slow and
// draining endpoints, and the replacement of the scheduler by one without state.
package replay
