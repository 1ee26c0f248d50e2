// SPDX-License-Identifier: MIT

// Package consensus implements a Raft replicated log for a small group of boxes. Node is a pure
// state machine: its input is messages, proposals and ticks, each with its time, and its output is
// a Ready with what to save, send and apply. It does no I/O and reads no clock.
//
// Additions to basic Raft:
//
//   - Pre-vote, and followers that refuse votes while they are in contact with a leader, so that a
//     returning box does not disrupt a working group.
//   - Leader leases: while a quorum has replied to heartbeats sent less than MinElectionTimeout ago,
//     by the leader's own monotonic clock, no other leader can exist. Reads and grants rely on the
//     lease. A leader that was suspended finds its lease expired at its first step.
//   - A member is a box with one incarnation of its disk. A box that lost its disk returns as a new
//     member, so that it never contradicts votes that it has lost. It joins as a learner; once it has
//     saved all that is committed, the old member is removed and the new one becomes a voter, in
//     single-member changes.
//   - Leadership transfer on a planned stop, and snapshots.
//   - Flow control: messages are bounded in bytes, and a member has at most one message with
//     entries or a snapshot chunk in flight, followed only by heartbeats. Replies say what arrived;
//     nothing is resent before that. Members that snapshot at the same index, with equal bytes, can
//     continue each other's snapshot transfers.
//
// The caller must save HardState, Snapshot and Entries before it sends Messages. Immediate may be
// sent without saving. After each save the caller calls Saved.
package consensus
