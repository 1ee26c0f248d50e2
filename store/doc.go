// SPDX-License-Identifier: MIT

// Package store keeps a member's part of the replicated log in one folder.
//
//	identity     the box, its disk's incarnation and the group it belongs to
//	snapshot-N   the state machine up to entry N, as records of a head and of pieces; as one record
//	             while boxes below level.Parts may have to read it
//	log-N        records after snapshot N: hard states and entries
//
// Each record and each snapshot carries a checksum. Nothing counts as written
// before it is synced; Save returns after that. A torn record at the log's very
// end was never relied on and is cut off. Damage anywhere else is reported and
// nothing is started on it: to skip it would be to forget what others were
// promised. A sound record of a kind that this build does not know is no damage: a later build wrote
// it (level.Above), and nothing is changed.
package store
