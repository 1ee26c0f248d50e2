// SPDX-License-Identifier: MIT

// Package overload keeps a box from reading more requests than it can pass on. It measures how long requests wait for the
// box itself: for its processor and for its link to the network, as opposed to endpoints, callers or the owner.
//
// RunQueue measures the processor by the time that goroutines wait to run. Acknowledgements measures the link by the
// time until sent bytes are acknowledged by the kernels of their receivers, which doesn't depend on what the
// receiving processes do. A Limiter decides from such measurements how many requests the box admits, and a Listener
// refuses the connections beyond that before their callers send anything.
package overload
