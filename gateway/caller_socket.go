// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Sizes of socket buffers where held memory is accounted for, in bytes. The kernel allocates twice as much at most.
// The receive buffer is set before the connection is made: one that shrinks below a segment of loopback (64 kB) later
// slows a connection to 0.2 MB/s.
const (
	callerSendBuffer      = 32 << 10
	endpointReceiveBuffer = 32 << 10
	endpointSendBuffer    = 64 << 10 // not counted: the body that it holds a part of is
	// directWrite is the most that is written to a socket that poll reports as writable, which then has a third
	// of its buffer free.
	directWrite = 8 << 10
)

// callerSocketKey is the key of a caller's socket in the contexts of its requests.
type callerSocketKey struct{}

// ConnContext bounds the send buffer of a caller's connection and makes the connection known to its requests. It is
// the hook of an http.Server whose gateway accounts for held memory.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	tcp := tcpConn(c)
	if tcp == nil {
		return ctx
	}
	_ = tcp.SetWriteBuffer(callerSendBuffer) // with another size, only the count is wrong
	raw, err := tcp.SyscallConn()
	if err != nil {
		return ctx
	}
	s := &callerSocket{conn: tcp, raw: raw}
	s.poll = s.pollWritable
	return context.WithValue(ctx, callerSocketKey{}, s)
}

// tcpConn returns the TCP connection of a caller's connection; nil for one of another kind.
func tcpConn(c net.Conn) *net.TCPConn {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
	tcp, _ := c.(*net.TCPConn)
	return tcp
}

// callerSocket tells whether a write to a caller would wait for the caller.
type callerSocket struct {
	conn *net.TCPConn
	raw  syscall.RawConn
	poll func(fd uintptr)

	mu       sync.Mutex // guards the result of poll
	wanted   int        // bytes to be written
	fds      [1]unix.PollFd
	unsent   int // bytes that the caller has not acknowledged; 0 if few are to be written
	writable bool
}

// pollWritable asks the kernel for the state of the socket. A socket with an error counts as writable, as a write to
// it fails at once.
func (s *callerSocket) pollWritable(fd uintptr) {
	s.fds[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLOUT}
	n, err := unix.Poll(s.fds[:], 0)
	s.writable = err == nil && n == 1
	s.unsent = 0
	if s.wanted <= directWrite {
		return
	}
	if s.unsent, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err != nil {
		s.unsent = callerSendBuffer
	}
}

// accepts reports whether n bytes can be written without waiting for the caller.
func (s *callerSocket) accepts(n int) bool {
	if n > callerSendBuffer {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wanted = n
	if err := s.raw.Control(s.poll); err != nil {
		return true // it is closed
	}
	return s.writable && s.unsent == 0
}

// discardOnClose has the kernel discard what the caller has not taken when the connection is closed. Otherwise it
// keeps the send buffer until the caller reads or a timeout of minutes passes.
func (s *callerSocket) discardOnClose() { _ = s.conn.SetLinger(0) }
