// SPDX-License-Identifier: MIT

// Package heldmem accounts for the memory that one process holds for its peers: request bodies, whole responses,
// and streams and sockets of callers that read slower than the endpoint sends. It is unrelated to the accounts
// of package budget.
//
// Bodies and responses may each take a share of the limit, so that neither can use it all. A Response is the
// memory held for one caller that has fallen behind. It has a floor, which is granted without regard to the limit,
// so that a short pause of a caller loses nothing. Everything above the floor is granted within the limit only;
// otherwise the request for memory waits in order of arrival.
//
// When memory is wanted, Reclaim selects the responses to give up. A caller is overdue if it has taken less than the
// minimum rate for longer than the pause that the limits allow. Among the overdue, the response with the largest
// product of held bytes and overdue time goes first.
//
// The package has no I/O, no clock and no goroutines. All methods are safe for concurrent use.
package heldmem
