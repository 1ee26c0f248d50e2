// SPDX-License-Identifier: MIT

// Package scripted has a stand-in, for tests, of a server that sends given bytes as its response.
package scripted

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Serve starts a server that sends texts on each connection, one after each request, and then waits until the connection is closed.
// It runs until the test ends. Serve returns its address.
func Serve(t testing.TB, texts ...string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go respond(c, texts)
		}
	}()
	return l.Addr().String()
}

func respond(c net.Conn, texts []string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for _, text := range texts {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // the response does not depend on it
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
	_, _ = reader.ReadByte() // until the client closes the connection
}
