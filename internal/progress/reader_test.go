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

// TestReaderTimesOutOnStall guards against a timeout for a slow body before its deadline, and
// against waiting for a stalled one, or for a slow one after its deadline.
func TestReaderTimesOutOnStall(t *testing.T) {
	const idleTimeout, gap, pieces = 400 * time.Millisecond, 40 * time.Millisecond, 25
	for name, c := range map[string]struct {
		sent    int
		limit   time.Duration
		wantErr bool
	}{
		"slow":     {sent: pieces},
		"stalled":  {sent: 3, wantErr: true},
		"too late": {sent: pieces, limit: 10 * gap, wantErr: true},
		"in time":  {sent: pieces, limit: time.Minute},
		"no byte":  {wantErr: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			type result struct {
				n   int
				err error
			}
			got := make(chan result, 1)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				reader := Reader{Body: r.Body, Control: http.NewResponseController(w), IdleTimeout: idleTimeout}
				if c.limit > 0 {
					reader.Deadline = time.Now().Add(c.limit)
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
				_, _ = conn.Write([]byte("x")) // fails once the server has closed the connection
			}
			if r := <-got; (r.err != nil) != c.wantErr || (!c.wantErr && r.n != pieces) {
				t.Errorf("read %d bytes, %v", r.n, r.err)
			}
		})
	}
}
