// SPDX-License-Identifier: MIT

// Package bench measures a running deployment from the outside: the latency that
// lynxramp adds to a direct call of an engine, the throughput and the CPU time per
// request of one entry, and the memory per open request.
//
// Compared targets are called alternately in one run.
package bench
