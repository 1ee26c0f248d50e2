// SPDX-License-Identifier: MIT

package link

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// silentProxy passes connections on to an address until it is told to swallow what comes,
// both ways. Its own side of each connection stays up: probes are answered.
type silentProxy struct {
	net.Listener
	swallows atomic.Bool
	ended    atomic.Int32 // connections that one side has ended
}

func newSilentProxy(t *testing.T, to string) *silentProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &silentProxy{Listener: l}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			go p.pass(near, far)
			go p.pass(far, near)
		}
	}()
	return p
}

// pass takes what comes from one side, and gives it to the other unless it swallows. It ends
// neither side by itself.
func (p *silentProxy) pass(from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			p.ended.Add(1)
			if err == io.EOF && !p.swallows.Load() {
				_ = to.Close()
			}
			return
		}
		if !p.swallows.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// TestSilentConnectionIsGivenUpByBothSides: a connection falls silent for good without a
// reset, while each side's own system still answers probes: only the peer's missing messages
// show it. A new connection works at once.
func TestSilentConnectionIsGivenUpByBothSides(t *testing.T) {
	served := make(chan error, 2)
	l, err := Listen("127.0.0.1:0", func(c *Conn[note]) { served <- c.Serve(func(m *note) { c.Send(m) }) })
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := newSilentProxy(t, l.Addr().String())
	connect := func() (*Conn[note], chan string, chan error) {
		c, err := Dial[note](p.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		heard, ended := make(chan string, 10), make(chan error, 1)
		go func() { ended <- c.Serve(func(m *note) { heard <- m.Text }) }()
		c.Send(&note{Text: "before"})
		select {
		case <-heard:
		case <-time.After(silence):
			t.Fatal("the connection doesn't work")
		}
		return c, heard, ended
	}
	c, heard, ended := connect()
	p.swallows.Store(true)
	c.Send(&note{Text: "lost"})
	began := time.Now()
	for side, end := range map[string]chan error{"dialled": ended, "accepted": served} {
		select {
		case <-end:
			if took := time.Since(began); took > silence+time.Second {
				t.Errorf("%s: it took %v", side, took)
			}
		case <-time.After(2 * silence):
			t.Errorf("%s: the connection is kept", side)
		}
	}
	if len(heard) > 0 {
		t.Error("something came on a silent connection")
	}
	p.swallows.Store(false)
	again, _, _ := connect()
	again.Close()
}
