// SPDX-License-Identifier: MIT

// Package control is the deciding half of a box. State is the root reducer: it
// hands each event to the part that it concerns. Loop is the one goroutine that
// owns the State; traffic goroutines post events to it and the effects that
// follow are laid into outboxes, from which the entries' calls take them.
package control
