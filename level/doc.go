// SPDX-License-Identifier: MIT

// Package level says which forms of what is stored and sent each build reads and writes, so that
// builds can run side by side while boxes are replaced one after the other.
//
// A Level stands for all forms up to it. Each box tells the level that it reads at the beginning of
// a connection, with its build; what builds that tell none read is known by the types that they
// send (package message). A form is written only when all who must read it do:
//
//   - To one peer, what that peer reads.
//   - Into the log and its snapshots, what the group has: the level that the log itself holds, from
//     Told on. The owner raises it through the log when all members tell that they read more, and
//     nobody ever lowers it. Before that it is what all members read that are connected.
//
// A box that meets a form above its own stops and says so (Above): it never takes half of it. What
// it has on disk stays as it is.
//
// The table Forms is the one place that lists what each level added. Whoever adds a form adds a
// level with it, and reads the forms of all levels before.
package level
