// SPDX-License-Identifier: MIT

package link

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Bounds of a connection.
const (
	// queueDepth is how many messages may wait for the writer, and queueBytes how much
	// may wait before another is taken.
	queueDepth = 4096
	queueBytes = MaxMessage
	// silence is how long no byte may come from a peer, or be taken by it.
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

// MaxMessage is the most that one message may have, in bytes: a configuration of the size that
// operators may send, 32 MB, with what else is in force. It is that of a store's record.
const MaxMessage = 64 << 20

// KeepAlive finds connections that have fallen silent for good, without a reset, while nothing
// that was sent on them awaits an acknowledgement: a peer that answers no probe for 3 s after
// a second without a packet ends the connection. The system's own default is minutes, in
// which a request on such a connection waits for an answer that can't come.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// ErrClosed says that a connection was closed on this side.
var ErrClosed = errors.New("the link is closed")

// ErrSlowPeer says that more waits for the peer than a connection holds.
var ErrSlowPeer = errors.New("the peer takes too little")

// Sized is a message that knows about how long it is, in bytes, when it is sent. It is asked
// once a connection, so it must be cheap; parts of fixed size needn't be counted. Others
// count as a hundred bytes, and only the number of those that wait is bounded.
type Sized interface{ Size() int }

// unsized is what a message counts that isn't Sized, in bytes.
const unsized = 100

// Conn is a connection that carries messages of type M both ways.
type Conn[M any] struct {
	raw     net.Conn
	flow    flow
	queue   chan queued[M]
	waiting atomic.Int64 // bytes in the queue
	once    sync.Once
	done    chan struct{}
	reason  error // of the end, before done is closed

	maxMessage, maxWaiting int64 // bytes
	forms                  Encodings[M]
}

// queued is a message that waits for the writer.
type queued[M any] struct {
	message *M
	size    int64 // bytes
}

// frame is what goes over the wire: a message, or nothing.
type frame[M any] struct{ Message *M }

// Dial connects to an address (IP:port).
func Dial[M any](address string) (*Conn[M], error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: KeepAlive}
	raw, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "link")
	}
	return newConn[M](raw), nil
}

func newConn[M any](raw net.Conn) *Conn[M] {
	SetUserTimeout(raw, userTimeout)
	return &Conn[M]{
		raw: raw, flow: flow{raw: raw, patience: silence},
		queue: make(chan queued[M], queueDepth), done: make(chan struct{}),
		maxMessage: MaxMessage, maxWaiting: queueBytes,
		forms: Encodings[M]{}.orUsual(),
	}
}

// SetEncodings says how messages look on the connection. It must be called before Serve.
func (c *Conn[M]) SetEncodings(f Encodings[M]) { c.forms = f.orUsual() }

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

// BytesReceived returns how many bytes have come on the connection. Any goroutine may call it,
// also after the connection's end.
func (c *Conn[M]) BytesReceived() int64 { return c.flow.received.Load() }

// Sent returns how many bytes the system has taken from the connection's writer; the peer
// need not have them. Any goroutine may call it, also after the connection's end.
func (c *Conn[M]) Sent() int64 { return c.flow.sent.Load() }

// Send queues a message. It never waits; a peer for which too much waits loses the
// connection, as does one for which a message is too long: Serve returns ErrSlowPeer or
// ErrTooLong. The message must not be changed afterwards.
func (c *Conn[M]) Send(m *M) {
	size := sizeOf(m)
	if size > c.maxMessage {
		c.end(errors.Wrapf(ErrTooLong, "%d bytes to send, %d taken", size, c.maxMessage))
		return
	}
	// What waits before it counts, not the message: a long one may leave when little waits.
	if waits := c.waiting.Add(size) - size; waits > c.maxWaiting {
		c.end(errors.Wrapf(ErrSlowPeer, "%d bytes wait", waits))
		return
	}
	select {
	case <-c.done:
	case c.queue <- queued[M]{m, size}:
	default:
		c.end(errors.Wrapf(ErrSlowPeer, "%d messages wait", queueDepth))
	}
}

// sizeOf returns about how many bytes a message has.
func sizeOf[M any](m *M) int64 {
	if s, ok := any(m).(Sized); ok {
		return int64(s.Size())
	}
	return unsized
}

// Close ends the connection. It may be called more than once.
func (c *Conn[M]) Close() { c.end(ErrClosed) }

// end ends the connection, once, for a reason.
func (c *Conn[M]) end(reason error) {
	c.once.Do(func() {
		c.reason = reason
		close(c.done)
		_ = c.raw.Close() // nothing is left to be done about it
	})
}

// Serve writes what is sent and calls receive for each message that comes, on
// the calling goroutine, until the connection ends. It returns why: the first reason, of
// this side's writer too.
func (c *Conn[M]) Serve(receive func(*M)) error {
	go c.write()
	c.end(c.read(receive))
	return errors.Wrap(c.reason, "link")
}

// read calls receive for what comes until the connection ends, and returns why.
func (c *Conn[M]) read(receive func(*M)) error {
	raw := &frameReader{in: bufio.NewReaderSize(&c.flow, bufferBytes), limit: c.maxMessage}
	begun, err := raw.beginning()
	if err != nil {
		return err
	}
	in := gob.NewDecoder(&resumed{begun: begun, rest: raw})
	read := c.forms.Reader(begun)
	for {
		m, err := read(in)
		if err != nil {
			return err
		}
		if m != nil {
			receive(m)
		}
	}
}

// write sends the queue until the connection ends. Messages that wait together
// leave together.
func (c *Conn[M]) write() {
	buffer := bufio.NewWriterSize(&c.flow, bufferBytes)
	out := newEncoder(buffer, c.maxMessage)
	timer := time.NewTimer(keepalive)
	defer timer.Stop()
	for {
		var next queued[M]
		select {
		case <-c.done:
			return
		case next = <-c.queue:
		case <-timer.C:
		}
		timer.Reset(keepalive)
		err := out.encode(c.forms.Frame(next.message))
		c.waiting.Add(-next.size)
		if err == nil && len(c.queue) == 0 {
			err = buffer.Flush()
		}
		if err != nil {
			c.end(err)
			return
		}
	}
}

// Listen accepts connections at an address and calls serve for each, on a
// goroutine of its own, until the listener is closed.
func Listen[M any](address string, serve func(*Conn[M])) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: KeepAlive}
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
