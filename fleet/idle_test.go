// SPDX-License-Identifier: MIT

package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// roundTrip sends a request on a connection and reads the whole response.
func roundTrip(c net.Conn) error {
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// TestIdleConnectionIsClosedAfterTimeout guards against closing a connection before its idle
// timeout, and against a timeout that a request does not restart.
func TestIdleConnectionIsClosedAfterTimeout(t *testing.T) {
	const idleTimeout = 300 * time.Millisecond
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = newCallerConns(func() time.Duration { return idleTimeout }, 0).observe
	server.Start()
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for range 3 { // each request restarts the timeout
		if err := roundTrip(c); err != nil {
			t.Fatalf("a connection was closed before its idle timeout: %v", err)
		}
		time.Sleep(idleTimeout / 3)
	}
	began := time.Now()
	_ = c.SetReadDeadline(began.Add(20 * idleTimeout))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("reading from an idle connection: %v, want io.EOF", err)
	}
	if took := time.Since(began); took < idleTimeout/3 {
		t.Errorf("idle connection was closed after %v", took)
	}
}

// TestLongestIdleIsClosedFirst guards against closing another connection than the longest idle
// one above the connection limit, above all one with a request in flight.
func TestLongestIdleIsClosedFirst(t *testing.T) {
	hold := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			<-hold
		}
	}))
	closer := newCallerConns(func() time.Duration { return 0 }, 3)
	idleConns := make(chan net.Conn, 10)
	server.Config.ConnState = func(c net.Conn, state http.ConnState) {
		closer.observe(c, state)
		if state == http.StateIdle {
			idleConns <- c
		}
	}
	server.Start()
	defer server.Close()
	connect := func() net.Conn {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	busy := connect()
	fmt.Fprint(busy, "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")
	idle := make([]net.Conn, 4)
	for i := range idle {
		idle[i] = connect()
		if err := roundTrip(idle[i]); err != nil {
			t.Fatal(err)
		}
		<-idleConns // the caller may have the response before the server marks the connection idle
	}
	for i, closed := range []bool{true, true, false, false} {
		_ = idle[i].SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		if _, err := idle[i].Read(make([]byte, 1)); (err == io.EOF) != closed {
			t.Errorf("connection %d: read gave %v, want closed: %t", i, err, closed)
		}
	}
	close(hold)
	if response, err := http.ReadResponse(bufio.NewReader(busy), nil); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("request in flight failed: %v", err)
	}
}
