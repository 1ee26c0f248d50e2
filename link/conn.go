// SPDX-License-Identifier: MIT

package link

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Bounds of a connection.
const (
	// queueDepth is how many messages may wait for the writer.
	queueDepth = 4096
	// silence is how long a peer may say nothing, or take nothing.
	silence = 2500 * time.Millisecond
	// keepalive is how long a writer says nothing; then it sends an empty message,
	// which readers pass over.
	keepalive   = 800 * time.Millisecond
	dialTimeout = 400 * time.Millisecond
	bufferBytes = 8 << 10
	// userTimeout is TCP_USER_TIMEOUT, in milliseconds: unacknowledged bytes end
	// the connection after it.
	userTimeout = 2000
	// tcpUserTimeout is the option's number in Linux.
	tcpUserTimeout = 18
)

// Probing finds connections that have fallen silent for good, without a reset, while nothing
// that was sent on them awaits an acknowledgement: a peer that answers no probe for 3 s after
// a second without a packet ends the connection. The system's own default is minutes, in
// which a request on such a connection waits for an answer that can't come.
var Probing = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// ErrClosed says that a connection was closed on this side.
var ErrClosed = errors.New("the link is closed")

// Conn is a connection that carries messages of type M both ways.
type Conn[M any] struct {
	raw   net.Conn
	flow  flow
	queue chan *M
	once  sync.Once
	done  chan struct{}
}

// frame is what goes over the wire: a message, or nothing.
type frame[M any] struct{ Message *M }

// Dial connects to an address (IP:port).
func Dial[M any](address string) (*Conn[M], error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: Probing}
	raw, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "link")
	}
	return newConn[M](raw), nil
}

func newConn[M any](raw net.Conn) *Conn[M] {
	SetUserTimeout(raw, userTimeout)
	return &Conn[M]{raw: raw, flow: flow{raw: raw}, queue: make(chan *M, queueDepth), done: make(chan struct{})}
}

// SetUserTimeout bounds how long, in milliseconds, sent bytes may stay
// unacknowledged on a TCP connection. Other connections are left as they are.
func SetUserTimeout(raw net.Conn, milliseconds int) {
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// A kernel without the option leaves the deadlines of reads and writes.
	_ = control.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, milliseconds)
	})
}

// Remote returns the peer's address.
func (c *Conn[M]) Remote() string { return c.raw.RemoteAddr().String() }

// Received returns how many bytes have come on the connection. Any goroutine may call it,
// also after the connection's end.
func (c *Conn[M]) Received() int64 { return c.flow.received.Load() }

// Sent returns how many bytes the system has taken from the connection's writer; the peer
// need not have them. Any goroutine may call it, also after the connection's end.
func (c *Conn[M]) Sent() int64 { return c.flow.sent.Load() }

// Send queues a message. It never waits; a peer that takes nothing for long
// loses the connection. The message must not be changed afterwards.
func (c *Conn[M]) Send(m *M) {
	select {
	case <-c.done:
	case c.queue <- m:
	default:
		c.Close()
	}
}

// Close ends the connection. It may be called more than once.
func (c *Conn[M]) Close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.raw.Close() // nothing is left to be done about it
	})
}

// Serve writes what is sent and calls receive for each message that comes, on
// the calling goroutine, until the connection ends. It returns why.
func (c *Conn[M]) Serve(receive func(*M)) error {
	go c.write()
	defer c.Close()
	in := gob.NewDecoder(bufio.NewReaderSize(&c.flow, bufferBytes))
	for {
		if err := c.raw.SetReadDeadline(time.Now().Add(silence)); err != nil {
			return errors.Wrap(err, "link")
		}
		f := new(frame[M])
		if err := in.Decode(f); err != nil {
			return errors.Wrap(err, "link")
		}
		if f.Message != nil {
			receive(f.Message)
		}
	}
}

// write sends the queue until the connection ends. Messages that wait together
// leave together.
func (c *Conn[M]) write() {
	defer c.Close()
	buffer := bufio.NewWriterSize(&c.flow, bufferBytes)
	out := gob.NewEncoder(buffer)
	timer := time.NewTimer(keepalive)
	defer timer.Stop()
	for {
		var m *M
		select {
		case <-c.done:
			return
		case m = <-c.queue:
		case <-timer.C:
		}
		timer.Reset(keepalive)
		if err := c.raw.SetWriteDeadline(time.Now().Add(silence)); err != nil {
			return
		}
		if err := out.Encode(frame[M]{m}); err != nil {
			return
		}
		if len(c.queue) > 0 {
			continue
		}
		if err := buffer.Flush(); err != nil {
			return
		}
	}
}

// Listen accepts connections at an address and calls serve for each, on a
// goroutine of its own, until the listener is closed.
func Listen[M any](address string, serve func(*Conn[M])) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: Probing}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "link")
	}
	go func() {
		for {
			raw, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(10 * time.Millisecond) // out of descriptors, for a moment
				continue
			}
			go serve(newConn[M](raw))
		}
	}()
	return l, nil
}
