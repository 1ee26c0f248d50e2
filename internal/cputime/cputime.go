// SPDX-License-Identifier: MIT

// Package cputime measures the CPU time of code. On a shared machine the elapsed time also
// depends on other processes.
package cputime

import (
	"runtime"
	"syscall"
	"time"
)

// Of calls do and returns the CPU time that it took on its thread. The work of other goroutines
// and of the garbage collector is not counted.
func Of(do func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began := threadTime()
	do()
	return threadTime() - began
}

// threadTime returns the CPU time of the calling thread.
func threadTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_THREAD, &u); err != nil {
		panic(err) // getrusage fails only for invalid arguments
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
