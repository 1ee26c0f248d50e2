// SPDX-License-Identifier: MIT

package progress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestReaderWaitsForBytes: a body whose bytes come slowly is read whole, one that stalls is
// given up after the silence, and one that is slow when its time is over.
func TestReaderWaitsForBytes(t *testing.T) {
	const silence, gap, pieces = 400 * time.Millisecond, 40 * time.Millisecond, 25
	for name, c := range map[string]struct {
		sent  int
		bound time.Duration
		fails bool
	}{
		"slow":       {sent: pieces},
		"stalled":    {sent: 3, fails: true},
		"over":       {sent: pieces, bound: 10 * gap, fails: true},
		"in time":    {sent: pieces, bound: time.Minute},
		"not a byte": {fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			type result struct {
				n   int
				err error
			}
			got := make(chan result, 1)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				reader := Reader{Body: r.Body, Control: http.NewResponseController(w), IdleTimeout: silence}
				if c.bound > 0 {
					reader.Deadline = time.Now().Add(c.bound)
				}
				data, err := io.ReadAll(&reader)
				reader.ClearDeadline()
				got <- result{len(data), err}
			}))
			defer s.Close()
			conn, err := net.Dial("tcp", s.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, _ = fmt.Fprintf(conn, "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", pieces)
			for range c.sent {
				time.Sleep(gap)
				_, _ = conn.Write([]byte("x")) // it fails once the server has given up
			}
			if r := <-got; (r.err != nil) != c.fails || (!c.fails && r.n != pieces) {
				t.Errorf("%d bytes, %v", r.n, r.err)
			}
		})
	}
}
