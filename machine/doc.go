// SPDX-License-Identifier: MIT

// Package machine is the replicated state machine of the control group: the
// catalog and its version, the results of operators' commands and the claims of
// requests that may run only once. Apply is called with the commands of the log
// in their order, on every box of the group, and always does the same.
package machine
