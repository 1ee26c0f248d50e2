// SPDX-License-Identifier: MIT

// Package backpressure applies what endpoints ask for in response headers: a rate limit, a cooldown, or no new
// requests at all (draining).
//
// Feedback is what one response asks for, and Tracker the resulting state of one endpoint instance.
//
// A rate limit holds for all boxes together. Whoever grants requests spends its share through a Pacer: the owner
// the shares of the entries connected to it, and a degraded entry (one without an owner) an equal share. A Pacer
// starts without tokens. So over any span, summed over owners and entries,
//
//	requests sent <= limit * span + burst
//
// because the shares of the entries add up to the limit, an owner leaves out the shares of entries that may be
// degraded, and a new owner starts only when no other holds the lease.
//
// A Gate checks each request before an entry sends it, whoever granted it. It stops grants made without the latest
// feedback: those in transit, and those of a new owner.
package backpressure
