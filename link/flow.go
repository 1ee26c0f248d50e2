// SPDX-License-Identifier: MIT

package link

import (
	"net"
	"sync/atomic"
)

// flow is a connection that counts the bytes that moved on it. Its counts may be read by
// any goroutine.
type flow struct {
	raw      net.Conn
	received atomic.Int64 // bytes
	sent     atomic.Int64 // bytes that the system has taken
}

// Read implements io.Reader.
func (f *flow) Read(p []byte) (int, error) {
	n, err := f.raw.Read(p)
	f.received.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (f *flow) Write(p []byte) (int, error) {
	n, err := f.raw.Write(p)
	f.sent.Add(int64(n))
	return n, err
}
