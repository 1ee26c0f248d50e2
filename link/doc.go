// SPDX-License-Identifier: MIT

// Package link carries typed messages between the system's processes over TCP.
//
// A Conn has one goroutine that writes and one that reads. Send never waits:
// what a slow or silent peer does not take is bounded, by count and by bytes, and
// a connection that exceeds the bound, or on which no byte moves for too long, is
// closed. How long a message takes is not bounded, only how long it is. A link promises
// order and nothing else; who needs more asks again after a reconnect.
package link
