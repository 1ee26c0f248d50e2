// SPDX-License-Identifier: MIT

package budget

import "lynxramp.org/event"

// bounds keep what is sent and done at once from growing with accounts.
type bounds struct {
	// looks is the most accounts that one answer to an entry looks at; the next one goes on
	// from there. Where no more accounts have limits, and few entries are there, each entry
	// is lent of all of them; else of those that it used within the span lend.
	looks int
	lend  event.Span
	// credits is the most accounts times entries with which each entry is lent of all.
	credits int
	// message and record bound, in bytes, the accounts in a message of a session and in a
	// Record of the log, but for one account more.
	message, record int
}

// usualBounds are those of a deployment. A message of 15 kB takes 12 ms of a link of
// 1.25 MB/s, behind which an entry takes an owner that is silent for 0.5 s for lost; a Record
// of 48 kB takes 38 ms of it.
var usualBounds = bounds{
	looks:   512,
	credits: 1 << 18,      // of 0.2 kB each, of a box's 280 MB
	lend:    4 * usedSpan, // so that an entry is lent what it uses now and then
	message: 15 << 10,
	record:  47 << 10,
}
