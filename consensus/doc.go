// SPDX-License-Identifier: MIT

// Package consensus keeps a replicated log among a few boxes, after the
// published Raft algorithm. Node is a pure reducer: it is handed messages,
// proposals and ticks with the time of each, and puts into a Ready what is to be
// saved, sent and applied. It never touches a disk, a socket or a clock.
//
// What it does beside plain Raft:
//
//   - Pre-vote, and followers that refuse votes while they hear a leader, so a
//     box that comes back does not disturb a working group.
//   - A leader's lease: while a quorum answered heartbeats sent less than
//     ElectionMin ago no other leader can exist, by the leader's own monotonic
//     clock. Reads and grants rest on it. A leader that was frozen finds its
//     lease over at its first step.
//   - Identity by box and incarnation. A box whose disk was lost comes back as
//     another member: it never votes on promises it has forgotten. It joins as
//     a learner; once it holds all that is committed, saved, its old self is
//     removed and it becomes a voter, one change at a time.
//   - Leadership transfer on a planned stop, and snapshots.
//   - Messages of bounded bytes, one with entries or a piece of a snapshot at a
//     time to a member, with heartbeats behind it. Their replies tell what came;
//     nothing is sent again before. Members that take snapshots at the same
//     entries, with equal bytes, go on with each other's transfers.
//
// The order that a carrier must keep: save HardState, Snapshot and Entries,
// then send Messages. Early may be sent at once. After a save it tells the node
// Saved.
package consensus
