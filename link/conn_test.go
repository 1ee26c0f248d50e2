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

// listen starts a listener whose connections reply to each message.
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

// TestMessageOrder guards against reordered or lost messages.
func TestMessageOrder(t *testing.T) {
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
		t.Errorf("%d messages received, want %d", got, count)
	}
}

// TestKeepaliveHoldsIdleConnection guards against closing a connection that carries no messages.
func TestKeepaliveHoldsIdleConnection(t *testing.T) {
	c, err := Dial[note](listen(t))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ended := make(chan error, 1)
	go func() { ended <- c.Serve(func(*note) {}) }()
	select {
	case err := <-ended:
		t.Errorf("an idle connection ended: %v", err)
	case <-time.After(idleTimeout + keepaliveInterval):
	}
}

// TestSilentPeerTimesOut guards against waiting without end for a peer that accepts and sends
// nothing.
func TestSilentPeerTimesOut(t *testing.T) {
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
		t.Error("the connection of a silent peer ended without an error")
	}
	if took := time.Since(began); took > 2*idleTimeout {
		t.Errorf("it took %v to close the connection of a silent peer", took)
	}
}

// TestSendDoesNotBlock guards against a Send that blocks on a peer that reads nothing.
func TestSendDoesNotBlock(t *testing.T) {
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
		for range 4 * maxQueuedMessages {
			c.Send(&note{Text: large})
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(2 * time.Second):
		t.Error("Send blocks on a peer that does not read")
	}
	wait.Wait() // the connection is closed when the queue is full
}

// keepAliveSettings returns a connection's keep-alive options: seconds and number of probes.
func keepAliveSettings(t *testing.T, c net.Conn) (idle, interval, count int) {
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

// TestKeepAliveSetOnBothSides guards against a side that can't detect an unreachable peer: both
// the dialling and the accepting side must probe.
func TestKeepAliveSetOnBothSides(t *testing.T) {
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
		if idle, interval, count := keepAliveSettings(t, one); idle != 1 || interval != 1 || count != 3 {
			t.Errorf("%s: idle %d s, interval %d s, %d probes; want 1, 1 and 3", side, idle, interval, count)
		}
	}
}
