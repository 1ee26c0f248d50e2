// SPDX-License-Identifier: MIT

// Package uptime has a clock that goes on while the computer is suspended. The steady clock of package
// time stands still then: a lease, the age of a configuration or a deadline would each be too young by
// that time when the computer wakes, with nothing that says so. The time of day goes on, but may be set.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns how long ago the computer was started, suspensions included. It never goes back.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has had it since 2.6.39
	}
	return time.Duration(t.Nano())
}
