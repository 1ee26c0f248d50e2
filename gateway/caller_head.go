// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lynxramp.org/heldmem"
)

const (
	// MaxCallerHead is the limit of the head of a caller's request in bytes, MaxHeaderBytes of its http.Server.
	MaxCallerHead = 64 << 10
	// serverSlop is by how much an http.Server exceeds MaxHeaderBytes, in bytes.
	serverSlop = 4 << 10
	// maxCallerHeadLines is the limit of the lines of such a head.
	maxCallerHeadLines = 1000
)

// errHeadLines is returned by a read of a head with too many lines. The http.Server responds with status 400.
var errHeadLines = errors.New("the head of the request has too many lines")

// errHeadMemory is returned by a read of a head for which the account has no memory. As an error of reading it makes the
// http.Server close the connection without a response: the request has not been read.
var errHeadMemory = &net.OpError{Op: "read", Net: "tcp", Err: errNoMemory}

// headListener accepts callers' connections whose requests' heads are accounted for.
type headListener struct {
	net.Listener
	gateway *Gateway
}

// LimitHeads returns a listener whose connections account for the heads of their requests. ObserveCaller must be called
// from the ConnState hook of its http.Server.
func (g *Gateway) LimitHeads(l net.Listener) net.Listener { return &headListener{l, g} }

// Accept implements net.Listener.
func (l *headListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	h := &headConn{TCPConn: tcp, gateway: l.gateway}
	h.reset()
	return h, nil
}

// ObserveCaller releases what is held for the head of a request when it ends.
func (g *Gateway) ObserveCaller(c net.Conn, state http.ConnState) {
	if h, ok := c.(*headConn); ok && (state == http.StateIdle || state == http.StateClosed) {
		h.reset()
	}
}

// headConn is a caller's connection. The fields below reading are used by its reader while that is set.
type headConn struct {
	*net.TCPConn
	gateway *Gateway
	reading atomic.Bool // a head, whose end was not seen
	bytes   int         // of the head, with what was read of the body together with it
	lines   int
	inLine  bool // the current line has begun
	held    int64
}

// Read implements net.Conn.
func (c *headConn) Read(p []byte) (int, error) {
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
func (c *headConn) count(part []byte) error {
	c.bytes += len(part)
	isComplete := c.countLines(part)
	c.reading.Store(!isComplete)
	if c.lines > maxCallerHeadLines {
		c.report("head_lines", c.lines, maxCallerHeadLines)
		return errHeadLines
	}
	if !isComplete && c.bytes >= MaxCallerHead+serverSlop {
		c.report("head_bytes", c.bytes, MaxCallerHead) // the http.Server responds with status 431
		return nil
	}
	return c.hold()
}

// countLines counts the lines of a part of a head and reports whether it has the head's end. Empty lines before the first
// line don't count, as the http.Server skips them.
func (c *headConn) countLines(part []byte) bool {
	for _, b := range part {
		switch {
		case b == '\n' && c.inLine:
			c.lines++
			c.inLine = false
		case b == '\n' && c.lines > 0:
			return true
		case b != '\n' && b != '\r':
			c.inLine = true
		}
	}
	return false
}

// hold holds memory for the head as far as it was read: its text, read and parsed, and the rest of the parsed form.
func (c *headConn) hold() error {
	more := int64(2*c.bytes+c.lines*headLineBytes) - c.held
	if c.held+more <= freeHead || more <= 0 {
		return nil
	}
	if !c.gateway.hold(context.Background(), heldmem.KindCallerHead, more, holdTimeout) {
		c.report("memory", c.bytes, int(c.gateway.account.Limit()))
		return errHeadMemory
	}
	c.held += more
	return nil
}

// reset releases what is held and prepares for the next head.
func (c *headConn) reset() {
	if c.held > 0 {
		c.gateway.account.Release(heldmem.KindCallerHead, c.held)
	}
	c.bytes, c.lines, c.inLine, c.held = 0, 0, false, 0
	c.reading.Store(true)
}

// report counts and logs a request whose head was not read on.
func (c *headConn) report(why string, read, limit int) {
	g := c.gateway
	g.meters.refusedHeads(why).Inc()
	if g.refusedLimiter.Allow(time.Now(), 1) {
		g.log.Warn("request head refused", zap.String("caller", c.RemoteAddr().String()), zap.String("why", why), zap.Int("read", read), zap.Int("limit", limit))
	}
}

// headRead records that the head of the connection's request was read. What is read from now on is not counted, also if
// the head came together with the end of an earlier request and was not seen.
func headRead(c net.Conn) {
	if h, ok := c.(*headConn); ok {
		h.reading.Store(false)
	}
}
