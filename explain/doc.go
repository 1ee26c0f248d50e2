// SPDX-License-Identifier: MIT

// Package explain walks log files from a request's id to its cause: the request's
// life in order, across processes, with the beliefs in force at each step, and a
// sentence that says why it ended as it did.
package explain
