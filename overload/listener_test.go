// SPDX-License-Identifier: MIT

package overload

import (
	"errors"
	"io"
	"math"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
)

// TestBucket: a limit allows its rate on average, in bursts, and a pause or a debt ends after maxClosed.
func TestBucket(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBucket()
	if b.isEmpty(now, 0) || b.untilFull(now) != 0 {
		t.Error("a bucket without a limit is empty")
	}
	b.set(now, 100, false)
	if !b.isEmpty(now, 0) || b.untilFull(now) != burstTime {
		t.Errorf("a new limit allows connections at once, or a burst only after %v", b.untilFull(now))
	}
	now = now.Add(burstTime)
	if b.isEmpty(now, 0) || b.tokens != b.burst() {
		t.Errorf("%v tokens after the time of a burst, want %v", b.tokens, b.burst())
	}
	for range 25 {
		b.spend(now, 1)
	}
	if !b.isEmpty(now, 1) || b.isEmpty(now, 2) || b.untilFull(now) != 250*time.Millisecond {
		t.Errorf("a debt of 15 connections at 100 a second lasts %v", b.untilFull(now))
	}
	b.spend(now, 1000)
	if b.untilFull(now) != maxClosed {
		t.Errorf("a large debt lasts %v, want %v", b.untilFull(now), maxClosed)
	}
	b.set(now, 100, true)
	now = now.Add(time.Hour)
	if !b.isEmpty(now, 0) || b.untilFull(now) != maxClosed {
		t.Error("a pause ends by itself")
	}
	b.set(now, math.Inf(1), false)
	if b.isEmpty(now, 0) {
		t.Error("a limit that was lifted still holds")
	}
}

// openListener returns an open Listener on loopback whose connections are accepted and answered with a byte.
func openListener(t *testing.T) *Listener {
	t.Helper()
	l := NewListener(net.ListenConfig{}, "127.0.0.1:0", zap.NewNop())
	if err := l.Open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Write([]byte("y")) // the dialer may have left
			_ = c.Close()
		}
	}()
	return l
}

// dial reports whether a connection is accepted and answered.
func dial(l *Listener) (accepted bool, err error) {
	c, err := net.DialTimeout("tcp", l.Addr().String(), time.Second)
	if err != nil {
		return false, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, err = io.ReadFull(c, make([]byte, 1))
	return err == nil, err
}

// TestListenerRefusesBeyondLimit: the kernel refuses connections beyond the limit at once, about as many as the limit
// allows are accepted, and none is refused any more once it is lifted.
func TestListenerRefusesBeyondLimit(t *testing.T) {
	l := openListener(t)
	for range 20 {
		if ok, err := dial(l); !ok {
			t.Fatalf("not accepted without a limit: %v", err)
		}
	}
	const perSecond, length = 100, 2 * time.Second
	l.SetLimit(perSecond, false)
	var accepted, refused int
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(500 * time.Microsecond) {
		began := time.Now()
		ok, err := dial(l)
		if ok {
			accepted++
			continue
		}
		refused++
		if !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.ECONNRESET) && err != io.EOF {
			t.Errorf("refused with %v", err)
		}
		if took := time.Since(began); took > 200*time.Millisecond {
			t.Errorf("refused after %v", took)
		}
	}
	if want := perSecond * length.Seconds(); float64(accepted) < want/2 || float64(accepted) > want*3/2 {
		t.Errorf("%d connections accepted, %d refused, want about %v accepted", accepted, refused, want)
	}
	if refused == 0 || !l.Reached() || l.Closures() == 0 {
		t.Errorf("%d refused, %d closures", refused, l.Closures())
	}
	l.SetLimit(math.Inf(1), false)
	time.Sleep(retryInterval)
	for range 20 {
		if ok, err := dial(l); !ok {
			t.Fatalf("not accepted after the limit was lifted: %v", err)
		}
	}
}

// TestPausedListenerAcceptsSome: a box that refused all connections would be lost for callers that have no other.
func TestPausedListenerAcceptsSome(t *testing.T) {
	l := openListener(t)
	l.SetLimit(100, true)
	var accepted atomic.Int64
	for end := time.Now().Add(3 * maxClosed); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok, _ := dial(l); ok {
			accepted.Add(1)
		}
	}
	if n := accepted.Load(); n < 2 || n > 20 {
		t.Errorf("%d connections accepted in %v of a pause, want one or two each %v", n, 3*maxClosed, maxClosed)
	}
}

// TestLateProcessAcceptsPending: connections whose handshakes are complete are accepted, some bursts of them, before the
// socket is closed. A process that ran late had reset them all, with the requests that they brought.
func TestLateProcessAcceptsPending(t *testing.T) {
	l := NewListener(net.ListenConfig{}, "127.0.0.1:0", zap.NewNop())
	if err := l.Open(); err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	l.SetLimit(100, false)
	const pending = 25
	for range pending {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	time.Sleep(100 * time.Millisecond) // the window has ended
	accepted := make(chan net.Conn, 2*pending)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	for range pending {
		select {
		case c := <-accepted:
			_ = c.Close()
		case <-time.After(2 * time.Second):
			t.Fatalf("pending connections were reset, %d closures", l.Closures())
		}
	}
	for deadline := time.Now().Add(2 * time.Second); l.Closures() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the socket stays open though the limit is reached")
		}
	}
}

// TestCloseWhileRefusing: Accept returns when the listener is closed, whether its socket is open or not.
func TestCloseWhileRefusing(t *testing.T) {
	for _, isRefusing := range []bool{false, true} {
		l := NewListener(net.ListenConfig{}, "127.0.0.1:0", zap.NewNop())
		if err := l.Open(); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					ended <- err
					return
				}
				_ = c.Close()
			}
		}()
		if isRefusing {
			l.SetLimit(1, true)
			_, _ = dial(l) // closes the socket
			for l.Closures() == 0 {
				time.Sleep(time.Millisecond)
			}
		}
		if err := l.Close(); err != nil {
			t.Error(err)
		}
		select {
		case err := <-ended:
			if !errors.Is(err, net.ErrClosed) {
				t.Errorf("Accept returns %v", err)
			}
		case <-time.After(time.Second):
			t.Fatal("Accept does not return")
		}
		time.Sleep(2 * retryInterval)
		if ok, _ := dial(l); ok {
			t.Error("a closed listener accepts connections")
		}
	}
}
