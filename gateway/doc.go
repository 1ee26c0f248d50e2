// SPDX-License-Identifier: MIT

// Package gateway carries callers' requests to endpoints that it speaks to
// directly, without a slot beside them.
//
// OwnerClient is the entry's side of the decisions, a reducer: it has the configuration
// and the endpoints as the owner last told, asks the owner for a grant for each request,
// and decides by itself, on what it was lent of quotas and retry budgets, while no owner
// is in reach. Agent runs it and its connections. Gateway is the HTTP side: it holds a request from its arrival to its
// last byte.
//
// A request that may not be repeated is sent once. Only an endpoint's own word
// that it did not run it, or that not a byte of it left, lets it be sent again.
// An answer is passed on only if it is whole, in the protocol and the answer of
// this very request; a stream is passed on in whole events, so that it can be
// taken up at another endpoint.
package gateway
