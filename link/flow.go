// SPDX-License-Identifier: MIT

package link

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// writeChecks is how many times per timeout a write checks for progress: a stalled peer is
// detected at most timeout/writeChecks late.
const writeChecks = 5

// timeoutConn counts the bytes transferred on a connection and fails a read or write during
// which none is transferred for longer than timeout. Its counters are safe for concurrent use.
//
// The deadline is for the next byte, not for a message: a large message on a slow network
// may take as long as it needs, while a stalled peer is detected as fast as a silent one.
type timeoutConn struct {
	raw      net.Conn
	timeout  time.Duration
	received atomic.Int64 // bytes
	sent     atomic.Int64 // bytes accepted by the system
}

// Read implements io.Reader.
func (c *timeoutConn) Read(p []byte) (int, error) {
	if err := c.raw.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	n, err := c.raw.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *timeoutConn) Write(p []byte) (int, error) {
	written := 0
	lastProgress := time.Now()
	for {
		if err := c.raw.SetWriteDeadline(time.Now().Add(c.timeout / writeChecks)); err != nil {
			return written, err
		}
		n, err := c.raw.Write(p[written:])
		c.sent.Add(int64(n))
		written += n
		if n > 0 {
			lastProgress = time.Now()
		}
		if written == len(p) || !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(lastProgress) >= c.timeout {
			return written, err
		}
	}
}
