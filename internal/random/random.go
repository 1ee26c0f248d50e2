// SPDX-License-Identifier: MIT

// Package random draws the numbers that tell lives of processes and of disks apart.
package random

import (
	"crypto/rand"
	"encoding/binary"
)

// Uint64 returns a number that is not 0 and, by all that is likely, no other process
// ever draws.
func Uint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint64(b[:]) | 1
}
