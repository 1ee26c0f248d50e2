// SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// largeEvents streams more than a connection buffers while nobody reads.
func largeEvents(c net.Conn, q *http.Request) bool {
	fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head(q, 200, ""))
	for id := range 300 {
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", id+1, strings.Repeat("x", 32<<10))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
	}
	fmt.Fprint(c, "0\r\n\r\n")
	return true
}

// longResponse is longer than the response buffer of the gateway and than a connection's buffers.
func longResponse(c net.Conn, q *http.Request) bool {
	const chunks, chunk = 600, 16 << 10
	fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head(q, 200, ""), chunks*chunk)
	for range chunks {
		if _, err := io.WriteString(c, strings.Repeat("x", chunk)); err != nil {
			return false
		}
	}
	return true
}

// newSlowCaller sends a request on a connection with a given read buffer.
func newSlowCaller(t *testing.T, r *testGateway, path string, buffer int) *rawCaller {
	t.Helper()
	c := r.call(t)
	if err := c.conn.SetReadBuffer(buffer); err != nil {
		t.Fatal(err)
	}
	c.send(path, "question", 0)
	return c
}

// TestStalledCallerIsDisconnected guards against a caller that reads nothing and so keeps its request and its
// endpoint's capacity.
func TestStalledCallerIsDisconnected(t *testing.T) {
	for name, one := range map[string]struct {
		path   string
		script responder
	}{"a stream": {"/single/x", largeEvents}, "a long answer": {"/once/x", longResponse}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newTestGateway(t, newFakeEndpoint(t, one.script))
			r.gateway.callerWriteTimeout = 300 * time.Millisecond
			newSlowCaller(t, r, one.path, 4<<10)
			waitFor(t, "the request is held", func() bool { all, _ := r.gateway.InFlight(); return all == 1 })
			started := time.Now()
			waitFor(t, "the grant is finished", func() bool { return len(r.owner.finishes()) == 1 })
			waitFor(t, "no request is held", func() bool { all, _ := r.gateway.InFlight(); return all == 0 })
			if took := time.Since(started); took > 2*time.Second {
				t.Errorf("the stalled caller was disconnected after %v, want at most 2 s", took)
			}
		})
	}
}

// TestSlowCallerGetsWholeResponse: a caller that reads slowly but steadily is not disconnected, however long the
// whole response takes.
func TestSlowCallerGetsWholeResponse(t *testing.T) {
	t.Parallel()
	r := newTestGateway(t, newFakeEndpoint(t, longResponse))
	r.gateway.callerWriteTimeout = 300 * time.Millisecond
	c := newSlowCaller(t, r, "/once/x", 128<<10)
	started := time.Now()
	a, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 512<<10)
	for received := int64(0); ; {
		n, err := io.ReadFull(a.Body, buffer)
		if received += int64(n); err != nil {
			if received != a.ContentLength {
				t.Errorf("%d bytes of %d were received: %v", received, a.ContentLength, err)
			}
			break
		}
		time.Sleep(60 * time.Millisecond)
	}
	if took := time.Since(started); took < 2*r.gateway.callerWriteTimeout {
		t.Errorf("the response took only %v, too short to exceed the write timeout", took)
	}
}
