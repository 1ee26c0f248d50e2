// SPDX-License-Identifier: MIT

// Package trace reads, writes and generates recorded workloads. A trace is a file of
// JSON lines, named .jsonl or .jsonl.gz, with the endpoints of a pool, the requests and
// faults with their times, and the objectives that a replay must meet.
//
// Generate writes traces of two deployments' workloads. The same seed always gives the
// same trace.
package trace
