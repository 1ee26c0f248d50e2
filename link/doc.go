// SPDX-License-Identifier: MIT

// Package link carries typed messages between the system's processes over TCP.
//
// A Conn has one goroutine that writes and one that reads. Send never waits:
// what a slow or silent peer does not take is bounded, and a connection that
// exceeds the bound, or is silent for too long, is closed. A link promises
// order and nothing else; who needs more asks again after a reconnect.
package link
