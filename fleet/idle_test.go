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

// ask sends a request on a connection and reads its answer.
func ask(c net.Conn) error {
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, a.Body)
	return err
}

func TestRestingConnectionIsClosedWhenItsTimeIsOver(t *testing.T) {
	const rest = 300 * time.Millisecond
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = newIdleCloser(func() time.Duration { return rest }, 0).observe
	server.Start()
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for range 3 { // each request begins the time anew
		if err := ask(c); err != nil {
			t.Fatalf("a connection that rested shortly was closed: %v", err)
		}
		time.Sleep(rest / 3)
	}
	began := time.Now()
	_ = c.SetReadDeadline(began.Add(20 * rest))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("a resting connection ended with %v, want its close", err)
	}
	if took := time.Since(began); took < rest/3 {
		t.Errorf("it was closed after %v", took)
	}
}

// TestLongestRestingGivesWay: beyond the most connections the one that has rested longest is
// closed for a new caller, and none that is at work.
func TestLongestRestingGivesWay(t *testing.T) {
	hold := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			<-hold
		}
	}))
	closer := newIdleCloser(func() time.Duration { return 0 }, 3)
	rests := make(chan net.Conn, 10)
	server.Config.ConnState = func(c net.Conn, state http.ConnState) {
		closer.observe(c, state)
		if state == http.StateIdle {
			rests <- c
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
	works := connect()
	fmt.Fprint(works, "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")
	rested := make([]net.Conn, 4)
	for i := range rested {
		rested[i] = connect()
		if err := ask(rested[i]); err != nil {
			t.Fatal(err)
		}
		<-rests // the server has seen it rest: an answer comes a moment before
	}
	for i, closed := range []bool{true, true, false, false} {
		_ = rested[i].SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		if _, err := rested[i].Read(make([]byte, 1)); (err == io.EOF) != closed {
			t.Errorf("connection %d rests until %v, want its close: %t", i, err, closed)
		}
	}
	close(hold)
	if a, err := http.ReadResponse(bufio.NewReader(works), nil); err != nil || a.StatusCode != http.StatusOK {
		t.Errorf("the connection at work ended: %v", err)
	}
}
