// SPDX-License-Identifier: MIT

// Package link carries typed messages between the system's processes over TCP.
//
// A Conn has one goroutine that writes and one that reads. Send never blocks: the
// queue for a slow peer is bounded by messages and by bytes. A connection that
// exceeds a bound, or on which no byte is transferred for too long, is closed. The length of
// a message is bounded, its transfer time is not. A connection delivers messages in
// order; it does not resend them after a reconnect.
package link
