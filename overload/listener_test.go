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
	"golang.org/x/sys/unix"
)

// TestBucket: a limit allows its rate on average, in bursts, and a pause or a debt ends after maxClosed.
func TestBucket(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBucket()
	if b.untilFull(now) != 0 {
		t.Error("a bucket without a limit is empty")
	}
	b.set(now, 100, false)
	if b.tokens != 0 || b.untilFull(now) != burstTime {
		t.Errorf("a new limit allows %v connections at once, a burst after %v", b.tokens, b.untilFull(now))
	}
	now = now.Add(burstTime)
	if b.untilFull(now) != 0 || b.tokens != b.burst() {
		t.Errorf("%v tokens after the time of a burst, want %v", b.tokens, b.burst())
	}
	for range 25 {
		b.spend(now, 1)
	}
	if b.tokens != -15 || b.untilFull(now) != 250*time.Millisecond {
		t.Errorf("a debt of %v connections at 100 a second lasts %v, want 15", -b.tokens, b.untilFull(now))
	}
	b.spend(now, 1000)
	if b.untilFull(now) != maxClosed {
		t.Errorf("a large debt lasts %v, want %v", b.untilFull(now), maxClosed)
	}
	b.set(now, 100, true)
	now = now.Add(time.Hour)
	if b.untilFull(now) != maxClosed {
		t.Error("a pause ends by itself")
	}
	b.set(now, math.Inf(1), false)
	if b.untilFull(now) != 0 {
		t.Error("a limit that was lifted still holds")
	}
}

// TestWindow: a window ends when what was accepted and what is expected to be under way use up a burst, and what is under
// way then is accepted up to a debt.
func TestWindow(t *testing.T) {
	const handshake = 20 * time.Millisecond
	now := time.Unix(1000, 0)
	w := newWindow(now, false)
	now = now.Add(time.Hour)
	w.observeRate(1000)
	w.observeRate(1000)
	if w.mustEnd(now) || w.mustDrop(now) {
		t.Error("a window ends without a limit")
	}
	w.setLimit(now, 100, false)
	now = now.Add(minWindow)
	if !w.mustEnd(now) {
		t.Error("a new limit does not end the window")
	}
	w.end(now)
	for range 100 {
		if w.mustDrop(now) {
			break
		}
		w.accept(now, handshake)
	}
	if debt := -w.bucket.tokens; debt < maxDebt*w.bucket.burst() || debt > maxDebt*w.bucket.burst()+1 {
		t.Errorf("%v connections were accepted after the window, want %v bursts of %v", debt, maxDebt, w.bucket.burst())
	}
	now = now.Add(w.untilBegin(now))
	w.begin(now)
	began := now
	for !w.mustEnd(now) {
		now = now.Add(time.Millisecond)
	}
	// 750 connections a second were offered, of which a burst is 10.
	if openFor := now.Sub(began); openFor < 8*time.Millisecond || openFor > 16*time.Millisecond {
		t.Errorf("a window that 10 of %v connections a second use up lasts %v", w.offered, openFor)
	}
	w.end(now)
	if wait := w.untilBegin(now); wait == 0 || wait > handshake {
		t.Errorf("the next window begins after %v, want the time of a handshake", wait)
	}
	now = now.Add(handshake)
	w.begin(now)
	now = now.Add(time.Second)
	if w.mustEnd(now) {
		t.Error("a window ends by what was expected although the last one was not used")
	}
	w.setLimit(now, 100, true)
	if !w.mustEnd(now) {
		t.Error("a pause does not end the window")
	}
	w.end(now)
	if wait := w.untilBegin(now); wait != maxClosed {
		t.Errorf("the next window of a pause begins after %v, want %v", wait, maxClosed)
	}
	now = now.Add(maxClosed)
	w.begin(now)
	w.accept(now, handshake)
	now = now.Add(minWindow)
	if !w.mustEnd(now) || !w.mustDrop(now) {
		t.Error("more than one connection is accepted in a window during a pause")
	}
}

// openListener returns an open Listener on loopback whose connections are accepted and answered with a byte.
func openListener(t *testing.T, losesHandshakes bool) *Listener {
	t.Helper()
	l := NewListener(net.ListenConfig{}, "127.0.0.1:0", zap.NewNop())
	if err := l.Open(); err != nil {
		t.Fatal(err)
	}
	l.window.losesHandshakes = losesHandshakes
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

// forEachKind runs a test for kernels that complete handshakes under way, and for those that lose them.
func forEachKind(t *testing.T, test func(t *testing.T, losesHandshakes bool)) {
	t.Run("handshakes are completed", func(t *testing.T) { test(t, false) })
	t.Run("handshakes are lost", func(t *testing.T) { test(t, true) })
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
func TestListenerRefusesBeyondLimit(t *testing.T) { forEachKind(t, checkRefusals) }

func checkRefusals(t *testing.T, losesHandshakes bool) {
	l := openListener(t, losesHandshakes)
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
func TestPausedListenerAcceptsSome(t *testing.T) { forEachKind(t, checkPause) }

func checkPause(t *testing.T, losesHandshakes bool) {
	l := openListener(t, losesHandshakes)
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
func TestLateProcessAcceptsPending(t *testing.T) { forEachKind(t, checkPending) }

func checkPending(t *testing.T, losesHandshakes bool) {
	l := NewListener(net.ListenConfig{}, "127.0.0.1:0", zap.NewNop())
	if err := l.Open(); err != nil {
		t.Fatal(err)
	}
	l.window.losesHandshakes = losesHandshakes
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

// TestHandshakesUnderWayAreCompleted: handshakes that were under way when the socket was closed were reset, with the requests
// that their callers had sent.
func TestHandshakesUnderWayAreCompleted(t *testing.T) {
	// The kernel ends a handshake with the first data.
	deferAccept := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, 10) })
		return errors.Join(err, controlErr)
	}}
	l := NewListener(deferAccept, "127.0.0.1:0", zap.NewNop())
	if err := l.Open(); err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if l.window.losesHandshakes {
		t.Fatal("the kernel does not tell handshakes under way from new ones")
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.Copy(c, c)
			_ = c.Close()
		}
	}()
	underWay, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer underWay.Close()
	l.SetLimit(1, false)
	for deadline := time.Now().Add(time.Second); l.Closures() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the socket stays open though the limit is reached")
		}
	}
	if c, err := net.Dial("tcp", l.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new connection is not refused: %v", err)
		_ = c.Close()
	}
	_ = underWay.SetDeadline(time.Now().Add(500 * time.Millisecond)) // before the socket is opened again
	if _, err := io.WriteString(underWay, "request"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(underWay, make([]byte, len("request"))); err != nil {
		t.Errorf("the connection that was under way is not served: %v", err)
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
