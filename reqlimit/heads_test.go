// SPDX-License-Identifier: MIT

package reqlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestBodyIsNoPartOfTheHead guards against a body that arrives together with its head and is counted as one: while the account
// was full, a request that had been read whole lost its connection.
func TestBodyIsNoPartOfTheHead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limiter := newTestLimiter(1) // full from the start
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })}
	limited := limiter.Apply(server, l)
	go func() { _ = server.Serve(limited) }()
	defer server.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for range 2 {
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 6000\r\n\r\n%s", strings.Repeat("x", 6000))
		a, err := http.ReadResponse(in, nil)
		if err != nil || a.StatusCode != http.StatusOK {
			t.Fatalf("response %v, error %v, refused %v", a, err, limiter.refused)
		}
	}
}
