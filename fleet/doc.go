// SPDX-License-Identifier: MIT

// Package fleet runs a box of a fleet by its settings: an entry (package gateway)
// or a control box (package cluster). How callers, operators and endpoints speak
// to it is a Dialect, which the deployment's adapter brings.
package fleet
