// SPDX-License-Identifier: MIT

// Package event holds what the deciding parts of lynxramp consume and produce:
// events that happened in the world, and effects that the world is asked to
// carry out. Both are plain data.
//
// A deciding part is a reducer
//
//	Step(now Time, e Event, out *Effects)
//
// that has no clock, no input or output, no goroutine and no randomness but a
// seeded one in its state. The traffic goroutines turn requests, reports and
// timers into events and carry the effects out. The same events at the same
// times therefore always give the same effects, which is what replay rests on.
package event
