// SPDX-License-Identifier: MIT

// Package budget bounds what is spent in any window of time over all boxes together: the
// quotas of teams, and the retry budgets of services.
//
// The bound holds by construction, whichever messages arrive. Each amount is spent once,
// before the request that needs it runs, in one of two ways:
//
//   - An owner spends for its entries through an Allocator. Before it does, a Record in the
//     replicated log covers the amount: a Record has what was spent until it was made, and
//     how much more may be spent (Headroom) and leased (Leased) until a newer Record is
//     committed. For an account without a Record at most unrecordedFraction of its limit is
//     spent and leased.
//   - An entry without an owner spends from its Leases, the shares that an owner leased to
//     it. A leased share counts as spent while the lease may be used, and for a window
//     after.
//
// A new owner inherits the last Record from the log and needs no other information on the
// past: it counts as spent all that its predecessors could have spent. For each account
//
//	spent in any window + leased and not returned <= limit
//
// where both sums are over all owners and entries, terminated and unreachable ones
// included. An amount whose time is uncertain counts as spent at the latest possible time.
//
// Memory, messages and work grow with the accounts in use, not with those that have limits.
// Each message and each Record is bounded (bounds): a Record without room for all accounts
// is partial, and the log keeps the last line of each other account (Ledger); a message to
// an entry lists some of its accounts, and the next one others; an entry reports some of
// its accounts, and is leased nothing until it has reported all. Where there are many
// accounts, an entry is leased shares of those that it used lately, and drops the others
// once it has reported to the owner what it spent of them.
package budget
