// SPDX-License-Identifier: MIT

// Package trace has recorded workloads: JSON lines that say which endpoints a
// pool has, which requests come when, what fails when, and which outcomes are
// stated for the whole. A trace file's name ends in .jsonl or .jsonl.gz.
//
// Make writes traces of the two users' workloads at the sizes of today from a
// seed, so that the same seed always gives the same file.
package trace
