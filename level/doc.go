// SPDX-License-Identifier: MIT

// Package level numbers the format versions of stored and sent data, so that different builds can
// run side by side during a rolling upgrade.
//
// A Level stands for all encodings up to it. Each box announces the highest level that it reads,
// with its build, when a connection opens. The level of older builds, which announce none, is
// inferred from the messages that they send (package message). An encoding is written only when
// every box that must read it can:
//
//   - To one peer: what that peer reads.
//   - Into the log and its snapshots: the group's level, which the log itself records from
//     Negotiated on. The owner raises it through the log once all members announce a higher one; it
//     never decreases. Before Negotiated it is what all connected members read.
//
// A box that meets an encoding above its own level stops with an UnsupportedError, before it has
// applied any part of it. The data on its disk stays as it is.
//
// The table Encodings lists what each level added. A new encoding needs a new level, and every
// build reads the encodings of all earlier levels.
package level
