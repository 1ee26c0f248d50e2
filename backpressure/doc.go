// SPDX-License-Identifier: MIT

// Package backpressure keeps what endpoints ask for in their answers: fewer requests, none for a while, or none
// any more.
//
// A Word is what one answer asks for, and Asked what is believed of one start of an endpoint by its words.
//
// A limit is of all boxes together. Whoever decides on requests spends it by a Pacer: the owner as much of it as
// belongs to the entries that are connected to it, and an entry without an owner an equal part. A Pacer begins
// with nothing to spend. So over any span, owners and entries
//
//	requests sent <= limit * span + burst
//
// as the parts of the entries add up to the limit, an owner leaves out those of entries that may be deciding
// alone, and a new owner begins when no other has the lease.
//
// A Gate stands before every request that an entry sends, whoever decided on it. What the entry believes stops
// what was decided by somebody who did not know it: a grant on its way, an owner that is new.
package backpressure
