// SPDX-License-Identifier: MIT

package reqlimit

import (
	"net"
	"sync/atomic"

	"github.com/pkg/errors"

	"lynxramp.org/heldmem"
)

const (
	// MaxHeadBytes is the limit of a head in bytes. It is the server's MaxHeaderBytes, which net/http exceeds by serverSlop.
	MaxHeadBytes = 64 << 10
	serverSlop   = 4 << 10
	// MaxHeadLines is the limit of the lines of a head.
	MaxHeadLines = 1000
	// FreeHeadBytes is the size of a head, read and parsed, that each connection may have without the account, in bytes.
	FreeHeadBytes = 8 << 10
	// HeadLineBytes is what the parsed form of a line takes beside its text, in bytes.
	HeadLineBytes = 160
)

// errTooManyLines is returned by a read of a head with too many lines. The server responds with status 400.
var errTooManyLines = errors.New("the head of the request has too many lines")

// errNoMemory is returned by a read of a head for which the account has no memory. As an error of reading it makes the
// server close the connection without a response.
var errNoMemory = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("no memory for the head of the request")}

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	h := &conn{TCPConn: tcp, limiter: l.limiter}
	h.reset()
	return h, nil
}

// conn is a connection of a server. The fields below reading are used by its reader while that is set.
type conn struct {
	*net.TCPConn
	limiter *Limiter
	reading atomic.Bool // a head, whose end was not seen
	bytes   int         // of the head
	lines   int
	inLine  bool // the current line has begun
	held    int64
}

// NetConn returns the connection itself.
func (c *conn) NetConn() net.Conn { return c.TCPConn }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 || !c.reading.Load() {
		return n, err
	}
	if limitErr := c.count(p[:n]); limitErr != nil {
		return 0, limitErr
	}
	return n, err
}

// count counts a part of a head and holds memory for it.
func (c *conn) count(part []byte) error {
	size, isComplete := c.countLines(part)
	c.bytes += size
	c.reading.Store(!isComplete)
	if c.lines > MaxHeadLines {
		c.limiter.Refused(c.RemoteAddr().String(), HeadLines, c.lines, MaxHeadLines)
		return errTooManyLines
	}
	if !isComplete && c.bytes >= MaxHeadBytes+serverSlop {
		c.limiter.Refused(c.RemoteAddr().String(), HeadBytes, c.bytes, MaxHeadBytes)
		return nil // the server responds
	}
	return c.hold()
}

// countLines counts the lines of a part of a head. It returns how many bytes belong to the head, and whether its end is among
// them. Empty lines before the first line don't count as lines, as the server skips them.
func (c *conn) countLines(part []byte) (size int, isComplete bool) {
	for i, b := range part {
		switch {
		case b == '\n' && c.inLine:
			c.lines++
			c.inLine = false
		case b == '\n' && c.lines > 0:
			return i + 1, true
		case b != '\n' && b != '\r':
			c.inLine = true
		}
	}
	return len(part), false
}

// hold holds memory for the head as far as it was read: its text, read and parsed, and the rest of the parsed form.
func (c *conn) hold() error {
	size := int64(2*c.bytes + c.lines*HeadLineBytes)
	if size <= FreeHeadBytes || size <= c.held {
		return nil
	}
	if !c.limiter.hold(heldmem.KindCallerHead, size-c.held) {
		c.limiter.Refused(c.RemoteAddr().String(), HeadMemory, c.bytes, int(c.limiter.Account().Limit()))
		return errNoMemory
	}
	c.held = size
	return nil
}

// reset releases what is held and prepares for the next head.
func (c *conn) reset() {
	if c.held > 0 {
		c.limiter.Account().Release(heldmem.KindCallerHead, c.held)
	}
	c.bytes, c.lines, c.inLine, c.held = 0, 0, false, 0
	c.reading.Store(true)
}
