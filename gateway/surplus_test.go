// SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// TestSurplusBytesAreNotKept guards against bytes beside the head and the body of a response that are read into memory
// without a limit: extensions and lines of chunks, trailers, and what follows a whole response.
func TestSurplusBytesAreNotKept(t *testing.T) {
	const most = 16 << 20 // bytes
	chunked := "Transfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		start, part string
		want        int
	}{
		"chunk extension":  {chunked + "5;a=", strings.Repeat("b", 1000), http.StatusBadGateway},
		"chunk extensions": {chunked, "1;a=" + strings.Repeat("b", 1000) + "\r\nx\r\n", http.StatusBadGateway},
		"trailer line":     {chunked + "6\r\nanswer\r\n0\r\nX-Long: ", strings.Repeat("b", 1000), http.StatusBadGateway},
		"trailer lines":    {chunked + "6\r\nanswer\r\n0\r\n", "a:\r\n", http.StatusBadGateway},
		"after the body":   {"Content-Length: 6\r\n\r\nanswer", strings.Repeat("surplus ", 1000), http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			var sent, ended atomic.Int64
			s := newFakeEndpoint(t, func(conn net.Conn, q *http.Request) bool {
				defer ended.Add(1)
				_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
				n, err := fmt.Fprint(conn, head(q, 200, c.start))
				for ; err == nil && sent.Load() < most; n, err = io.WriteString(conn, c.part) {
					sent.Add(int64(n))
				}
				return false
			})
			r := newTestGateway(t, s)
			before := heapInUse()
			if status, body, _ := r.do(t, r.request("POST", "/once/x", "q")); status != c.want || status == http.StatusOK && body != "answer" {
				t.Errorf("status %d %q, want %d", status, body, c.want)
			}
			waitFor(t, "the surplus is there", func() bool { return sent.Load() > 1 })
			r.gateway.upstream.sweep()
			waitFor(t, "the connection is closed", func() bool { return ended.Load() == 1 })
			if n := sent.Load(); n >= most {
				t.Errorf("%d bytes were taken", n)
			}
			if grew := int64(heapInUse()) - int64(before); grew > 1<<20 {
				t.Errorf("the heap grew by %d bytes", grew)
			}
			if n := r.gateway.upstream.connections(); n != 0 {
				t.Errorf("%d connections are kept", n)
			}
		})
	}
}
