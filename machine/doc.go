// SPDX-License-Identifier: MIT

// Package machine is the replicated state machine of the control group: the
// catalog and its version, the results of operators' commands and the claims of
// requests that may run only once. Every box of the group applies the commands of
// the log in their order. Apply is deterministic.
package machine
