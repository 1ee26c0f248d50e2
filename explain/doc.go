// SPDX-License-Identifier: MIT

// Package explain traces a request through the log files of several processes: it
// prints the request's log lines in order, the state of each box at that time, and
// the cause of the outcome.
package explain
