// SPDX-License-Identifier: MIT

// Package overload measures how long requests wait for a box itself: for its processor and for its link to the
// network, as opposed to endpoints, callers or the owner.
//
// RunQueue measures the processor by the time that goroutines wait to run. Acknowledgements measures the link by the
// time until sent bytes are acknowledged by the kernels of their receivers, which doesn't depend on what the
// receiving processes do.
package overload
