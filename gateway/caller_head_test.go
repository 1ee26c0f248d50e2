// SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/heldmem"
	"lynxramp.org/reqlimit"
)

// limitHeads serves a gateway at another address, with callers' heads accounted for, and returns the address.
func (r *testGateway) limitHeads(t *testing.T, account int64) string {
	t.Helper()
	r.gateway.account = heldmem.NewAccount(heldmem.Limits{Total: account})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler: r.gateway, ConnContext: r.gateway.CallerContext, ErrorLog: zap.NewStdLog(zap.NewNop()),
	}
	limited := r.gateway.HeadLimiter().Apply(server, l)
	go func() { _ = server.Serve(limited) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// callerHead returns a request with a body of 2 bytes and further header lines.
func callerHead(more string) string {
	return "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request: r-1\r\nX-Deadline: 2500\r\nAuthorization: Key key\r\nContent-Length: 2\r\n" + more
}

// TestCallerHeadsTogetherAreBounded guards against callers whose heads are each within the limit and together fill the
// memory, and against sound requests that are refused because of them.
func TestCallerHeadsTogetherAreBounded(t *testing.T) {
	const callers, account = 60, 2 << 20
	for name, c := range map[string]struct {
		head string
		why  reqlimit.Reason
	}{
		"long lines":  {callerHead("X-Long: " + strings.Repeat("a", 60_000)), reqlimit.HeadMemory},
		"short lines": {callerHead(strings.Repeat("a:\r\n", 15_000)), reqlimit.HeadLines},
		"too long":    {callerHead("X-Long: " + strings.Repeat("a", 80_000)), reqlimit.HeadMemory},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestGateway(t, newFakeEndpoint(t, whole(200, "answer")))
			address := r.limitHeads(t, account)
			before, heap := r.gateway.meters.refusedHeads(c.why).Get(), heapInUse()
			held := r.sampleHeld()
			var all sync.WaitGroup
			for range callers {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				all.Go(func() { _, _ = io.WriteString(conn, c.head) }) // the gateway may close the connection
			}
			all.Wait()
			time.Sleep(holdTimeout + 200*time.Millisecond)
			used := int64(heapInUse()) - int64(heap)
			if most := held(); most == 0 || most > account {
				t.Errorf("%d bytes were held, want %d at most", most, account)
			}
			if limit := int64(account + callers*64<<10); used > limit {
				t.Errorf("the heap grew by %d bytes, want %d at most", used, limit)
			}
			if n := r.gateway.meters.refusedHeads(c.why).Get() - before; n < callers/2 {
				t.Errorf("%d heads were counted as refused for %s, want most of %d", n, c.why, callers)
			}
			if status, body := post(t, address, callerHead("\r\n")+"hi"); status != http.StatusOK || body != "answer" {
				t.Errorf("status %d %q beside the others, want 200", status, body)
			}
		})
	}
}

// post sends a request as it is and returns the response.
func post(t *testing.T, address, request string) (int, string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, request)
	return readResponse(t, bufio.NewReader(conn))
}

func readResponse(t *testing.T, in *bufio.Reader) (int, string) {
	t.Helper()
	a, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, err.Error()
	}
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, err.Error()
	}
	return a.StatusCode, string(body)
}

// TestSoundCallerHeadsAreRead guards against a limit that refuses a head which the configuration allows, and against one
// that counts what is not part of a head: the body, or a request that arrives together with the end of another.
func TestSoundCallerHeadsAreRead(t *testing.T) {
	endpoint := newFakeEndpoint(t, whole(200, "answer"))
	r := newTestGateway(t, endpoint, endpoint, endpoint, endpoint, endpoint, endpoint)
	address := r.limitHeads(t, 1<<20)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	long := strings.Replace(callerHead("\r\n"), "Content-Length: 2", "Content-Length: 900", 1)
	lines := strings.Repeat("\n", 900)
	// In this order: net/http skips empty lines only where they follow a POST request.
	for _, c := range []struct{ name, request string }{
		{"long line", callerHead("X-Long: "+strings.Repeat("a", 16_384)+"\r\n\r\n") + "hi"},
		{"many lines", callerHead(strings.Repeat("X-Line: "+strings.Repeat("b", 150)+"\r\n", 100)+"\r\n") + "hi"},
		{"empty lines", "\r\n" + callerHead("\r\n") + "hi"},
		{"body", long + lines},
	} {
		fmt.Fprint(conn, c.request)
		if status, body := readResponse(t, in); status != http.StatusOK || body != "answer" {
			t.Errorf("%s: status %d %q, want 200", c.name, status, body)
		}
	}
	fmt.Fprint(conn, callerHead("\r\n")+"hi"+long) // the second body follows once the first response is there
	for range 2 {
		if status, body := readResponse(t, in); status != http.StatusOK || body != "answer" {
			t.Errorf("two requests at once: status %d %q, want 200", status, body)
		}
		fmt.Fprint(conn, lines)
		lines = ""
	}
	_ = conn.Close()
	waitFor(t, "nothing is held", func() bool { return r.gateway.account.Held(heldmem.KindCallerHead) == 0 })
}
