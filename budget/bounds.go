// SPDX-License-Identifier: MIT

package budget

import "lynxramp.org/event"

// bounds limits the size of messages and Records and the work for one message, whatever the
// number of accounts.
type bounds struct {
	// scans is the most accounts that are checked for one message to an entry; the next
	// one continues from there. With no more limits than that, and few entries, each entry
	// is leased a share of every account; otherwise of those that it used within useSpan.
	scans   int
	useSpan event.Duration
	// maxLeases is the most leases (accounts times entries) with which each entry is leased
	// a share of every account.
	maxLeases int
	// messageBytes and recordBytes limit the accounts in a message of a session and in a
	// Record. Both may be exceeded by one account.
	messageBytes, recordBytes int
}

// defaultBounds are used in production. A message of 15 kB takes 12 ms of a link of 1.25 MB/s,
// a Record of 48 kB 38 ms; an entry treats its owner as lost after 0.5 s without a reply.
var defaultBounds = bounds{
	scans:        512,
	maxLeases:    1 << 18,       // about 0.2 kB each, of the 280 MB of a small box
	useSpan:      4 * usageSpan, // also covers accounts that an entry uses occasionally
	messageBytes: 15 << 10,
	recordBytes:  47 << 10,
}
