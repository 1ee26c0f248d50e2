// SPDX-License-Identifier: MIT

// Package proc has no code of its own. Its tests run the real daemons as
// separate processes on loopback addresses, send them requests and make them
// fail.
package proc
