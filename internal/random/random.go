// SPDX-License-Identifier: MIT

// Package random generates the numbers that identify instances of processes and of
// data directories.
package random

import (
	"crypto/rand"
	"encoding/binary"
)

// Uint64 returns a nonzero random number from crypto/rand; a collision is negligibly
// unlikely.
func Uint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint64(b[:]) | 1
}
