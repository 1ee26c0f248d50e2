// SPDX-License-Identifier: MIT

// Package replay runs a recorded trace in event time against a way of deciding
// and tells what came of it. The engines are the pure models of engine/fake; the
// decisions are those of the real scheduler, or of a baseline that many gateways
// use. Nothing waits and nothing is random: the same trace gives the same result
// each time.
//
// Modelled beside that are the delay between boxes, slots' reports with what they
// measure, load reports that lag, callers that hang up at their deadline, slow
// and leaving endpoints, and a scheduler that is replaced by one that knows
// nothing.
package replay
