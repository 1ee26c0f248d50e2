// SPDX-License-Identifier: MIT

// Package backpressure has what endpoints ask for in their answers: fewer requests, none for a while, or none
// any more.
//
// A Word is what one answer asks for. Where a deployment's answers have it is decoded in one place, and every
// other package takes it from here.
package backpressure
