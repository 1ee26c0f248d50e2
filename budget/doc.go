// SPDX-License-Identifier: MIT

// Package budget keeps what may be spent in any window of time over all boxes together:
// teams' quotas, and the repeats of services.
//
// The bound is kept by construction, not by who is heard when. Whatever an endpoint runs
// was spent once, at a moment between its sending and its arrival, in one of two ways:
//
//   - An owner spends for an entry out of its Book. Before it does, a Record in the
//     replicated log says at least as much: what was spent until it was made, and how
//     much more may be spent (Mark) and lent (Lent) until a newer Record is committed. An
//     account that no Record names has at most freePart of its limit spent and lent.
//   - An entry without an owner spends out of its Allowances, which an owner lent to it.
//     What is lent counts as spent for as long as it may be used, and for a window after.
//
// So a new owner, which inherits the last Record from the log, needs nobody's word on the
// past: it takes for spent all that could have been. For each account
//
//	spent in any window + lent and not returned <= limit
//
// where both sums are over all owners and entries, the dead and the unheard included.
// What is uncertain is always taken for spent later than it was, never earlier.
//
// What is kept, sent and done grows with the accounts that are used, not with those that have
// limits. Each message and Record is bounded (bounds): a Record that has not room for all that
// is to be recorded is a part, and the log keeps what it said before of the others (Ledger);
// a message to an entry lists some of its accounts, and the next one others; an entry tells
// some of its accounts, and is lent nothing until it has told all. Where there are many
// accounts an entry is lent of those that it used lately, and forgets the others when the
// owner knows what it spent of them.
package budget
