// SPDX-License-Identifier: MIT

// Package gateway is the HTTP entry of a fleet: it accepts callers' requests and forwards them to
// endpoints directly, without a slot process next to the endpoint.
//
// Gateway is the HTTP side and owns a request from its arrival to its last byte. OwnerClient asks the
// owner for a grant for each request. It is a state machine without I/O that keeps the configuration and
// the endpoints as the owner last sent them. Without a reachable owner it is degraded: it schedules by
// itself, within its leases of quotas and retry budgets. Agent runs the OwnerClient and its connections.
//
// A request that is not repeatable is sent once. It is sent again only if no byte of it was sent or if the
// endpoint states that it did not run it. A response is forwarded only if it is complete, valid HTTP and
// carries the ID of this request. A stream is forwarded in complete events, so that it can be resumed at
// another endpoint.
//
// Where the account of held memory is on (package heldmem), a relay stands between the goroutine that reads a response
// and the caller: an endpoint is read at its own pace, and a caller that is too slow loses its own response only.
package gateway
