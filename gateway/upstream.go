// SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lynxramp.org/link"
	"lynxramp.org/overload"
)

// Limits of connections to endpoints.
const (
	connectTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept, and idleMargin how much earlier than
	// the endpoint's own timeout it is closed.
	defaultIdleTimeout = 3 * time.Second
	idleMargin         = 800 * time.Millisecond
	maxIdleConns       = 16 // per endpoint
	readBufferSize     = 4 << 10
	// maxInlineBody is the longest body that is written before the response is read, in bytes.
	maxInlineBody       = 8 << 10
	maxInterimResponses = 8
	userTimeoutMillis   = 3000 // how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT)
)

// errNotSent is returned if no byte of the request was sent.
var errNotSent = errors.New("request not sent to the endpoint")

// errWrongResponse is returned if a response lacks the request's ID.
var errWrongResponse = errors.New("response belongs to another request")

// upstream is a pool of connections to endpoints.
type upstream struct {
	maxConnections int          // in use and idle; 0 is no limit
	maxHead        int          // bytes of the heads of one response
	memory         *heldMemory  // nil without the account of held memory
	open           atomic.Int64 // connections, in use and idle
	// acknowledgements has the times that endpoints take to acknowledge requests.
	acknowledgements overload.Acknowledgements
	// connecting has the times that connecting to them takes.
	connecting overload.Delays
	mu         sync.Mutex
	idle       map[string][]*upstreamConn // by address and endpoint, oldest first
}

func newUpstream() *upstream {
	return &upstream{maxHead: defaultMaxHead, idle: make(map[string][]*upstreamConn)}
}

// upstreamConn is a connection to an endpoint.
type upstreamConn struct {
	net.Conn
	key       string
	reader    *bufio.Reader
	idleSince time.Time
	idleUntil time.Time // end of its idle timeout
	reused    bool
	pool      *upstream
	closed    sync.Once
}

// Close closes the connection. It may be called more than once.
func (c *upstreamConn) Close() error {
	c.closed.Do(func() { c.pool.open.Add(-1) })
	return c.Conn.Close()
}

// connections returns the number of open connections.
func (u *upstream) connections() int { return int(u.open.Load()) }

// evictIdle closes the oldest idle connections until one more may be opened, so that idle connections to many
// endpoints don't use up the file descriptors for new callers.
func (u *upstream) evictIdle() {
	for u.maxConnections > 0 && u.connections() >= u.maxConnections {
		c := u.popOldest()
		if c == nil {
			return
		}
		_ = c.Close() // it was idle
	}
}

// popOldest removes the connection that has been idle longest; nil if there is none.
func (u *upstream) popOldest() *upstreamConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	var from string
	var oldest *upstreamConn
	for key, list := range u.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			from, oldest = key, list[0]
		}
	}
	if oldest != nil {
		u.idle[from] = u.idle[from][1:]
	}
	return oldest
}

// get returns an idle connection or a new one. With newOnly it closes the idle ones and always returns a new
// one.
func (u *upstream) get(ctx context.Context, address, endpoint string, newOnly bool) (*upstreamConn, error) {
	key := address + " " + endpoint
	for {
		c := u.pop(key)
		if c == nil {
			break
		}
		if !newOnly && time.Now().Before(c.idleUntil) && link.IsIdle(c.Conn) {
			c.reused = true
			return c, nil
		}
		_ = c.Close() // expired or closed by the endpoint
	}
	u.evictIdle()
	dialer := net.Dialer{Timeout: connectTimeout, KeepAliveConfig: link.KeepAlive}
	if u.memory != nil {
		dialer.Control = boundBuffers
	}
	began := time.Now()
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		if isTimeout(err) {
			u.connecting.Add(time.Since(began))
		}
		return nil, errors.Wrap(errNotSent, err.Error())
	}
	u.connecting.Add(time.Since(began))
	link.SetUserTimeout(raw, userTimeoutMillis)
	u.open.Add(1)
	return &upstreamConn{Conn: raw, key: key, pool: u, reader: bufio.NewReaderSize(raw, readBufferSize)}, nil
}

// isTimeout reports whether an attempt to connect timed out.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

func (u *upstream) pop(key string) *upstreamConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	list := u.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	u.idle[key] = list[:len(list)-1]
	return c
}

// put keeps a connection whose last response was read to its end.
func (u *upstream) put(c *upstreamConn, idle time.Duration) {
	c.idleSince = time.Now()
	c.idleUntil = c.idleSince.Add(idle)
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.idle[c.key]) >= maxIdleConns || idle <= 0 {
		_ = c.Close() // enough are idle
		return
	}
	u.idle[c.key] = append(u.idle[c.key], c)
}

// sweep closes the connections whose idle timeout has expired, and those on which the endpoint has sent something since:
// it belongs to no request, and the kernel would hold it.
func (u *upstream) sweep() {
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	for key, list := range u.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) && link.IsIdle(c.Conn) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close() // expired, or not idle
		}
		u.idle[key] = kept
		if len(kept) == 0 {
			delete(u.idle, key)
		}
	}
}

// upstreamRequest is a request as it is sent to an endpoint.
type upstreamRequest struct {
	method, uri, host string
	header            http.Header
	body              []byte
	id                string
	hold              func(bytes int64) bool // has the account hold bytes for the response
}

func (o *upstreamRequest) head() []byte {
	var b bytes.Buffer
	b.WriteString(o.method + " " + o.uri + " HTTP/1.1\r\nHost: " + o.host + "\r\n")
	_ = o.header.Write(&b) // bytes.Buffer returns no errors
	if len(o.body) > 0 || (o.method != http.MethodGet && o.method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(o.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// exchange is a request in progress at an endpoint.
type exchange struct {
	conn        *upstreamConn
	response    *http.Response
	idleTimeout time.Duration // for the connection after the exchange
	bodyWritten chan struct{} // closed when writing a long body has ended; nil for short ones
	bodyError   error         // of writing it, once bodyWritten is closed
	bodyTimeout time.Duration // in which an endpoint must take a part of the body; 0 is no limit
	bodyStalled atomic.Bool   // the endpoint did not
	stopCancel  func() bool
}

// send sends a request on a connection and reads the head of the response. If the context ends, the
// connection is closed, which cancels the request at the endpoint.
func (u *upstream) send(ctx context.Context, c *upstreamConn, o *upstreamRequest, idHeader string) (*exchange, error) {
	x := &exchange{conn: c, idleTimeout: defaultIdleTimeout}
	if u.memory != nil {
		x.bodyTimeout = u.memory.bodyTimeout
	}
	x.stopCancel = context.AfterFunc(ctx, func() { _ = c.Close() })
	if deadline, ok := ctx.Deadline(); ok {
		if err := c.SetDeadline(deadline); err != nil {
			x.abort()
			return nil, errors.Wrap(errNotSent, err.Error())
		}
	}
	if err := x.write(o); err != nil {
		x.abort()
		return nil, err
	}
	u.acknowledgements.Sent(c.Conn)
	if err := x.readHead(o); err != nil {
		x.abort()
		if x.bodyStalled.Load() {
			return nil, errBodyNotTaken // not the error of a connection that was closed for the caller
		}
		return nil, err
	}
	u.acknowledgements.Received(c.Conn)
	if x.response.Header.Get(idHeader) != o.id {
		x.abort()
		return nil, errWrongResponse
	}
	return x, nil
}

func (x *exchange) write(o *upstreamRequest) error {
	data := o.head()
	isSeparate := len(o.body) > maxInlineBody
	if !isSeparate {
		data = append(data, o.body...)
	}
	n, err := x.conn.Write(data)
	if err != nil && n == 0 {
		return errors.Wrap(errNotSent, err.Error())
	}
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	if isSeparate {
		x.bodyWritten = make(chan struct{})
		go func() {
			x.bodyError = x.writeBody(o.body)
			close(x.bodyWritten)
		}()
	}
	return nil
}

func (x *exchange) readHead(o *upstreamRequest) error {
	heads := headReader{conn: x.conn, maxBytes: x.conn.pool.maxHead, hold: o.hold}
	for range maxInterimResponses {
		if err := heads.await(); err != nil {
			return errors.Wrap(err, "read response")
		}
		r, err := heads.parse(o.method)
		if err != nil {
			return errors.Wrap(err, "read response")
		}
		if r.StatusCode >= http.StatusOK {
			x.response = r
			if x.bodyWritten != nil && r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
				r.Body = &closeDelimitedBody{r.Body, x}
			}
			x.readKeepAlive()
			return nil
		}
	}
	return &refusedResponse{why: refusedInterim, read: maxInterimResponses, limit: maxInterimResponses}
}

// readKeepAlive reads how long the endpoint keeps the connection.
func (x *exchange) readKeepAlive() {
	for part := range strings.SplitSeq(x.response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			x.idleTimeout = time.Duration(seconds)*time.Second - idleMargin
		}
	}
	if x.response.Close {
		x.idleTimeout = 0
	}
}

// abort ends the exchange and closes its connection.
func (x *exchange) abort() {
	x.stopCancel()
	_ = x.conn.Close() // the response is not needed
}

// finish ends an exchange whose response was read to its end, and keeps the connection if it can be reused.
func (x *exchange) finish(u *upstream) {
	reusable := x.stopCancel()
	if x.bodyWritten != nil {
		select {
		case <-x.bodyWritten:
			reusable = reusable && x.bodyError == nil
		default:
			reusable = false // the endpoint responded before it received the body
		}
	}
	if !reusable || x.conn.reader.Buffered() > 0 || x.idleTimeout <= 0 {
		_ = x.conn.Close() // it was cancelled or has unexpected data
		return
	}
	if err := x.conn.SetDeadline(time.Time{}); err != nil {
		_ = x.conn.Close()
		return
	}
	x.conn.shrinkReader()
	u.put(x.conn, x.idleTimeout)
}

// Limits of a body that is read only so that its connection can be used again.
const (
	maxDiscarded   = 64 << 10 // bytes
	discardTimeout = 100 * time.Millisecond
)

// discard reads the body of a response that isn't used and ends the exchange. The connection is closed if the body is longer than
// maxDiscarded, or doesn't arrive within discardTimeout.
func (x *exchange) discard(u *upstream) {
	slow := time.AfterFunc(discardTimeout, func() { _ = x.conn.Close() })
	n, err := io.Copy(io.Discard, io.LimitReader(x.response.Body, maxDiscarded+1))
	if !slow.Stop() || err != nil || n > maxDiscarded {
		x.abort()
		return
	}
	x.finish(u)
}
