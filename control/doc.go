// SPDX-License-Identifier: MIT

// Package control implements a control box. State is the root reducer: it
// passes each event to the parts that it concerns. Loop is the one goroutine that
// owns the State; other goroutines post events to it. The resulting decisions
// are stored in outboxes, from which the entries' calls fetch them.
package control
