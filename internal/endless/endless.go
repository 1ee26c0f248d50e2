// SPDX-License-Identifier: MIT

// Package endless has a stand-in, for tests, of a peer whose bytes have no end.
package endless

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// sendBuffer is the send buffer of a peer's connections in bytes; what it has is counted as sent.
const sendBuffer = 64 << 10

// Peer accepts connections and sends on each, once something has arrived, until it is closed.
type Peer struct {
	Address string
	start   string
	part    string
	pause   time.Duration
	sent    atomic.Int64
	open    atomic.Int64
	served  atomic.Int64
}

// Serve starts a peer that sends start and then part again and again, with a pause after each. It runs until the test ends.
func Serve(t testing.TB, start, part string, pause time.Duration) *Peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &Peer{Address: l.Addr().String(), start: start, part: part, pause: pause}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.open.Add(1)
			p.served.Add(1)
			go p.send(c)
		}
	}()
	return p
}

func (p *Peer) send(c net.Conn) {
	defer p.open.Add(-1)
	defer c.Close()
	_ = c.(*net.TCPConn).SetWriteBuffer(sendBuffer)             // with a larger one, more is counted
	if _, err := c.Read(make([]byte, sendBuffer)); err != nil { // a request
		return
	}
	n, err := io.WriteString(c, p.start)
	for ; err == nil; n, err = io.WriteString(c, p.part) {
		p.sent.Add(int64(n))
		time.Sleep(p.pause)
	}
}

// Sent returns how many bytes were sent on all connections.
func (p *Peer) Sent() int64 { return p.sent.Load() }

// AwaitClosed waits until there was a connection and all are closed; it fails the test if that takes longer than limit.
func (p *Peer) AwaitClosed(t testing.TB, limit time.Duration) {
	t.Helper()
	for end := time.Now().Add(limit); p.served.Load() == 0 || p.open.Load() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("%d of %d connections are open after %v", p.open.Load(), p.served.Load(), limit)
			return
		}
	}
}
