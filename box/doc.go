// SPDX-License-Identifier: MIT

// Package box assembles and runs one process from its settings: a box with the
// entry role, the control role or both, or a slot. The daemons are thin wrappers
// around it. Other Go programs can use it to embed lynxramp.
package box
