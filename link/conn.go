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
	// maxQueuedMessages and maxQueuedBytes bound the queue of the writer.
	maxQueuedMessages = 4096
	maxQueuedBytes    = MaxMessage
	// idleTimeout is how long a connection may go without a byte received from the peer,
	// or without a byte of a pending write accepted by the system.
	idleTimeout = 2500 * time.Millisecond
	// keepaliveInterval is how long a writer stays idle before it sends an empty message,
	// which readers skip.
	keepaliveInterval = 800 * time.Millisecond
	dialTimeout       = 400 * time.Millisecond
	bufferBytes       = 8 << 10
	// userTimeout is TCP_USER_TIMEOUT in milliseconds: the connection is closed when sent
	// bytes stay unacknowledged for longer.
	userTimeout = 2000
	// tcpUserTimeout is the number of the option TCP_USER_TIMEOUT in Linux.
	tcpUserTimeout = 18
)

// MaxMessage is the maximum length of a message, in bytes. It has space for the largest
// configuration that operators may send, 32 MB, and the rest of the current state. It equals
// the limit on a record of the store.
const MaxMessage = 64 << 20

// KeepAlive detects connections whose peer has become unreachable without a reset while no
// sent data awaits an acknowledgement: after one second without a packet, a peer that
// answers no probe for 3 s is disconnected. The system's default takes minutes or hours,
// during which a request on such a connection waits for an answer that can't come.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// ErrClosed is returned by Serve for a connection that this side closed.
var ErrClosed = errors.New("connection closed")

// ErrSlowPeer is returned by Serve for a connection whose send queue exceeded its bound.
var ErrSlowPeer = errors.New("send queue full: the peer reads too slowly")

// Sized is a message that estimates its encoded length in bytes. Size is called once for
// each connection that sends the message, so it must be cheap; parts of fixed size needn't
// be counted. Other messages count as a hundred bytes, so only their number is bounded.
type Sized interface{ Size() int }

// defaultMessageSize is the assumed length, in bytes, of a message that isn't Sized.
const defaultMessageSize = 100

// Conn is a connection that carries messages of type M both ways.
type Conn[M any] struct {
	raw         net.Conn
	timeoutConn timeoutConn
	queue       chan queued[M]
	queuedBytes atomic.Int64 // bytes in queue
	once        sync.Once
	done        chan struct{}
	reason      error // why the connection ended; set before done is closed

	maxMessage, maxQueued int64 // bytes
	encodings             Encodings[M]
	memory                *Memory // of the process; nil is no limit
}

// queued is a message in the send queue.
type queued[M any] struct {
	message *M
	size    int64 // bytes
}

// frame is the unit on the wire: a message, or nil for a keep-alive.
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
		raw: raw, timeoutConn: timeoutConn{raw: raw, timeout: idleTimeout},
		queue: make(chan queued[M], maxQueuedMessages), done: make(chan struct{}),
		maxMessage: MaxMessage, maxQueued: maxQueuedBytes,
		encodings: Encodings[M]{}.withDefaults(),
	}
}

// SetEncodings sets how messages are encoded on the connection. It must be called before Serve.
func (c *Conn[M]) SetEncodings(e Encodings[M]) { c.encodings = e.withDefaults() }

// SetMemory sets the limit that the connection shares with others of the process. It must be called before Serve.
func (c *Conn[M]) SetMemory(m *Memory) { c.memory = m }

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
	// Without the option, the deadlines of reads and writes still apply.
	_ = control.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, milliseconds)
	})
}

// RemoteAddress returns the peer's address.
func (c *Conn[M]) RemoteAddress() string { return c.raw.RemoteAddr().String() }

// BytesReceived returns the number of bytes received on the connection. It is safe for
// concurrent use, also after the connection has ended.
func (c *Conn[M]) BytesReceived() int64 { return c.timeoutConn.received.Load() }

// BytesSent returns the number of bytes that the system has accepted from the connection's
// writer; the peer may not have received them. It is safe for concurrent use, also after
// the connection has ended.
func (c *Conn[M]) BytesSent() int64 { return c.timeoutConn.sent.Load() }

// Send queues a message. It never blocks: if the queue is full or the message is too long,
// the connection is closed and Serve returns ErrSlowPeer or ErrTooLong. The message must
// not be changed afterwards.
func (c *Conn[M]) Send(m *M) {
	size := sizeOf(m)
	if size > c.maxMessage {
		c.closeWith(errors.Wrapf(ErrTooLong, "message of %d bytes, limit %d", size, c.maxMessage))
		return
	}
	// Only the bytes queued before the message count, so that a long one can be sent when few are.
	if queuedBefore := c.queuedBytes.Add(size) - size; queuedBefore > c.maxQueued {
		c.closeWith(errors.Wrapf(ErrSlowPeer, "%d bytes queued", queuedBefore))
		return
	}
	select {
	case <-c.done:
	case c.queue <- queued[M]{m, size}:
	default:
		c.closeWith(errors.Wrapf(ErrSlowPeer, "%d messages queued", maxQueuedMessages))
	}
}

// sizeOf returns the approximate length of a message in bytes.
func sizeOf[M any](m *M) int64 {
	if s, ok := any(m).(Sized); ok {
		return int64(s.Size())
	}
	return defaultMessageSize
}

// Close closes the connection. It may be called more than once.
func (c *Conn[M]) Close() { c.closeWith(ErrClosed) }

// closeWith closes the connection and records why; only the first call has an effect.
func (c *Conn[M]) closeWith(reason error) {
	c.once.Do(func() {
		c.reason = reason
		close(c.done)
		_ = c.raw.Close() // the connection is unusable either way
	})
}

// Serve writes queued messages and calls receive for each incoming message, on the
// calling goroutine, until the connection ends. It returns the first reason, of the
// reader or the writer.
func (c *Conn[M]) Serve(receive func(*M)) error {
	go c.write()
	c.closeWith(c.read(receive))
	return errors.Wrap(c.reason, "link")
}

// read calls receive for each incoming message until the connection ends, and returns why.
func (c *Conn[M]) read(receive func(*M)) error {
	raw := &frameReader{in: bufio.NewReaderSize(&c.timeoutConn, bufferBytes), limit: c.maxMessage, memory: c.memory}
	defer raw.release()
	preamble, err := raw.readPreamble()
	if err != nil {
		return err
	}
	in := gob.NewDecoder(&prefixedReader{preamble: preamble, rest: raw})
	read := c.encodings.Reader(preamble)
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

// write sends the queue until the connection ends. Messages that are queued together
// share a flush.
func (c *Conn[M]) write() {
	buffer := bufio.NewWriterSize(&c.timeoutConn, bufferBytes)
	out := newEncoder(buffer, c.maxMessage)
	timer := time.NewTimer(keepaliveInterval)
	defer timer.Stop()
	for {
		var next queued[M]
		select {
		case <-c.done:
			return
		case next = <-c.queue:
		case <-timer.C: // next stays empty, which is encoded as a keep-alive
		}
		timer.Reset(keepaliveInterval)
		err := out.encode(c.encodings.Frame(next.message))
		c.queuedBytes.Add(-next.size)
		if err == nil && len(c.queue) == 0 {
			err = buffer.Flush()
		}
		if err != nil {
			c.closeWith(err)
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
				time.Sleep(10 * time.Millisecond) // such as out of file descriptors; back off
				continue
			}
			go serve(newConn[M](raw))
		}
	}()
	return l, nil
}
