// SPDX-License-Identifier: MIT

// Package bench is the load and experiment tool. It measures a running
// deployment from outside, as its callers see it: what the path through lynxramp
// adds to calling an engine directly, how many requests a second one entry
// carries and at what processor time, and what a waiting request costs in
// memory.
//
// All times come from one run in which the compared ways alternate.
package bench
