// SPDX-License-Identifier: MIT

// Package box puts the parts of one process together: a box with the roles of
// its settings, or a slot. The daemons are thin callers of it, and so is anyone
// who runs lynxramp inside a program of their own.
package box
