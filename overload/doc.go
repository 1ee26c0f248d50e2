// SPDX-License-Identifier: MIT

// Package overload keeps a box from reading more requests than it can pass on. It measures how long requests wait for the
// box itself: for its processor and for its link to the network, as opposed to endpoints, callers or the owner.
//
// RunQueue measures the processor by the time that goroutines wait to run, SinceReceived by the time that received bytes wait
// for a process that is kept from running. Acknowledgements measures the link by the time until sent bytes are
// acknowledged by the kernels of their receivers, which doesn't depend on what the receiving processes do. A Limiter
// decides from such measurements how many requests the box admits, a window when connections are admitted, and a
// Listener refuses those beyond that before their callers send anything.
package overload
