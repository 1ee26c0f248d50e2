// SPDX-License-Identifier: MIT

// Package sighup ignores SIGHUP from the initialization of the program on. It is imported for
// this effect, and imports little itself, so that it is initialized before nearly all other
// packages. Until then the signal ends the process.
package sighup

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }
