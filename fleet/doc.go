// SPDX-License-Identifier: MIT

// Package fleet runs one box of a fleet: an entry (package gateway) or a control
// box (package cluster), as its settings say. The HTTP interface to callers,
// operators and endpoints is a Dialect, which the deployment's adapter supplies.
package fleet
