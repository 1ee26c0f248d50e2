// SPDX-License-Identifier: MIT

// Package proc only has tests. They run the real daemons as separate processes on
// loopback addresses, send requests and inject faults.
package proc
