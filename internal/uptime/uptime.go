// SPDX-License-Identifier: MIT

// Package uptime has a monotonic clock that also counts the time in which the computer is suspended.
// The monotonic clock of package time stops then, so that after a resume leases, ages and deadlines
// would be extended by the length of the suspension. The wall clock doesn't stop, but may be set.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the computer was booted, suspensions included. It never decreases.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // CLOCK_BOOTTIME exists since Linux 2.6.39
	}
	return time.Duration(t.Nano())
}
