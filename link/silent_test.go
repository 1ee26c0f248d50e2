// SPDX-License-Identifier: MIT

package link

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// blackholeProxy forwards connections to an address. While drops is set it discards all data
// in both directions but keeps the connections open, so TCP probes are still answered.
type blackholeProxy struct {
	net.Listener
	drops atomic.Bool
	ended atomic.Int32 // connections that one side has closed
}

func newBlackholeProxy(t *testing.T, to string) *blackholeProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &blackholeProxy{Listener: l}
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			go p.forward(client, server)
			go p.forward(server, client)
		}
	}()
	return p
}

// forward copies data from one side to the other unless drops is set. It closes a side only
// when the other has closed.
func (p *blackholeProxy) forward(from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			p.ended.Add(1)
			if err == io.EOF && !p.drops.Load() {
				_ = to.Close()
			}
			return
		}
		if !p.drops.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// TestBlackholedConnectionTimesOutOnBothSides guards against keeping a connection that delivers
// no data while TCP probes are still answered. A new connection must work at once.
func TestBlackholedConnectionTimesOutOnBothSides(t *testing.T) {
	served := make(chan error, 2)
	l, err := Listen("127.0.0.1:0", func(c *Conn[note]) { served <- c.Serve(func(m *note) { c.Send(m) }) })
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := newBlackholeProxy(t, l.Addr().String())
	connect := func() (*Conn[note], chan string, chan error) {
		c, err := Dial[note](p.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		received, ended := make(chan string, 10), make(chan error, 1)
		go func() { ended <- c.Serve(func(m *note) { received <- m.Text }) }()
		c.Send(&note{Text: "before"})
		select {
		case <-received:
		case <-time.After(idleTimeout):
			t.Fatal("the connection delivers no messages")
		}
		return c, received, ended
	}
	c, received, ended := connect()
	p.drops.Store(true)
	c.Send(&note{Text: "lost"})
	began := time.Now()
	for side, end := range map[string]chan error{"dialled": ended, "accepted": served} {
		select {
		case <-end:
			if took := time.Since(began); took > idleTimeout+time.Second {
				t.Errorf("%s: it took %v", side, took)
			}
		case <-time.After(2 * idleTimeout):
			t.Errorf("%s: the connection is still open", side)
		}
	}
	if len(received) > 0 {
		t.Error("a message arrived on a blackholed connection")
	}
	p.drops.Store(false)
	again, _, _ := connect()
	again.Close()
}
