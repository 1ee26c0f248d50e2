// SPDX-License-Identifier: MIT

package link

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// writeLooks is how often in the time of patience a write looks whether bytes moved: a peer
// that has stalled is found at most a look later.
const writeLooks = 5

// flow is a connection that counts the bytes that moved on it and ends when none do for
// longer than patience. Its counts may be read by any goroutine.
//
// Its deadlines are for the next byte, not for a message: what is large or comes over a slow
// link takes its time, and a peer that has stalled is found as soon as one that says nothing.
type flow struct {
	raw      net.Conn
	patience time.Duration
	received atomic.Int64 // bytes
	sent     atomic.Int64 // bytes that the system has taken
}

// Read implements io.Reader.
func (f *flow) Read(p []byte) (int, error) {
	if err := f.raw.SetReadDeadline(time.Now().Add(f.patience)); err != nil {
		return 0, err
	}
	n, err := f.raw.Read(p)
	f.received.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (f *flow) Write(p []byte) (int, error) {
	done := 0
	moved := time.Now()
	for {
		if err := f.raw.SetWriteDeadline(time.Now().Add(f.patience / writeLooks)); err != nil {
			return done, err
		}
		n, err := f.raw.Write(p[done:])
		f.sent.Add(int64(n))
		done += n
		if n > 0 {
			moved = time.Now()
		}
		if done == len(p) || !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(moved) >= f.patience {
			return done, err
		}
	}
}
