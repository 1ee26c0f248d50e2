// SPDX-License-Identifier: MIT

// Package store keeps a member's part of the replicated log in one folder.
//
//	identity     the box, the incarnation of its disk, and its group
//	snapshot-N   the state machine up to entry N: a header record and chunk records, or a single
//	             record while boxes below level.Chunked may have to read it
//	log-N        records after snapshot N: hard states and entries
//
// Each record has a checksum. Save returns once the data is synced; nothing counts as written
// before. A torn record at the end of the log was never acknowledged and is cut off. Damage
// anywhere else is an error and the box does not start: skipping it would lose votes and entries that
// other members rely on. An intact record of an unknown kind was written by a newer build: that is a
// level.UnsupportedError, and the files stay as they are.
package store
