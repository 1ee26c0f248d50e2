// SPDX-License-Identifier: MIT

// Package event defines the inputs and outputs of lynxramp's decision logic:
// events, and effects to carry out. Both are plain data.
//
// The decision logic consists of reducers
//
//	Step(now Time, e Event, out *Effects)
//
// without a clock, input or output, goroutines, or randomness other than a seeded
// generator in their state. The goroutines that serve traffic turn requests,
// reports and timers into events, and carry the effects out. The same events at
// the same times give the same effects, which replay depends on.
package event
