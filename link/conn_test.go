// SPDX-License-Identifier: MIT

package link

import (
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

type note struct{ Text string }

// listen starts a listener whose connections answer each message with another.
func listen(t *testing.T) string {
	t.Helper()
	l, err := Listen("127.0.0.1:0", func(c *Conn[note]) {
		_ = c.Serve(func(m *note) { c.Send(&note{Text: "re: " + m.Text}) })
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

func TestMessagesKeepTheirOrder(t *testing.T) {
	c, err := Dial[note](listen(t))
	if err != nil {
		t.Fatal(err)
	}
	const count = 500
	for i := range count {
		c.Send(&note{Text: string(rune('a' + i%26))})
	}
	got := 0
	_ = c.Serve(func(m *note) {
		if want := "re: " + string(rune('a'+got%26)); m.Text != want {
			t.Errorf("message %d: %q, want %q", got, m.Text, want)
		}
		if got++; got == count {
			c.Close()
		}
	})
	if got != count {
		t.Errorf("%d messages came, want %d", got, count)
	}
}

func TestQuietLinkStaysUp(t *testing.T) {
	c, err := Dial[note](listen(t))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ended := make(chan error, 1)
	go func() { ended <- c.Serve(func(*note) {}) }()
	select {
	case err := <-ended:
		t.Errorf("a link without messages ended: %v", err)
	case <-time.After(silence + keepalive):
	}
}

// TestSilentPeerIsGivenUp connects to a peer that accepts and says nothing.
func TestSilentPeerIsGivenUp(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := Dial[note](l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	if err := c.Serve(func(*note) {}); err == nil {
		t.Error("a silent peer's link ended without an error")
	}
	if took := time.Since(began); took > 2*silence {
		t.Errorf("it took %v to give a silent peer up", took)
	}
}

// TestSendNeverWaits sends to a peer that reads nothing.
func TestSendNeverWaits(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := Dial[note](l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	var wait sync.WaitGroup
	wait.Go(func() { _ = c.Serve(func(*note) {}) })
	large := string(make([]byte, 4096))
	done := make(chan struct{})
	go func() {
		for range 4 * queueDepth {
			c.Send(&note{Text: large})
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(2 * time.Second):
		t.Error("Send waits for a peer that does not read")
	}
	wait.Wait() // the link was closed: it could not hold so much
}

// probing reads a connection's own keep-alive settings, in seconds and probes.
func probing(t *testing.T, c net.Conn) (idle, interval, count int) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	get := func(fd uintptr, option int) int {
		v, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option)
		if err != nil {
			t.Error(err)
		}
		return v
	}
	if err := raw.Control(func(fd uintptr) {
		idle, interval, count = get(fd, syscall.TCP_KEEPIDLE), get(fd, syscall.TCP_KEEPINTVL), get(fd, syscall.TCP_KEEPCNT)
	}); err != nil {
		t.Fatal(err)
	}
	return idle, interval, count
}

// TestBothSidesProbeASilentConnection: whoever waits on a connection that has fallen silent
// must find out by itself, the side that dialled as well as the other.
func TestBothSidesProbeASilentConnection(t *testing.T) {
	accepted := make(chan net.Conn, 1)
	l, err := Listen("127.0.0.1:0", func(c *Conn[note]) { accepted <- c.raw })
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := Dial[note](l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for side, one := range map[string]net.Conn{"dialled": c.raw, "accepted": <-accepted} {
		if idle, interval, count := probing(t, one); idle != 1 || interval != 1 || count != 3 {
			t.Errorf("%s: after %d s, each %d s, %d times; want 1, 1 and 3", side, idle, interval, count)
		}
	}
}
