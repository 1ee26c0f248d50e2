// SPDX-License-Identifier: MIT

// Package cputime measures the processor time of code: on a machine that others use, the time
// that passes tells of them.
package cputime

import (
	"runtime"
	"syscall"
	"time"
)

// Of returns the processor time that a function took. It must not leave its work to other
// goroutines; what the collector does beside it does not count.
func Of(do func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began := thread()
	do()
	return thread() - began
}

// thread returns the processor time of the thread that calls it.
func thread() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_THREAD, &u); err != nil {
		panic(err) // the kernel knows no other reason than a wrong argument
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
