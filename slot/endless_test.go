// SPDX-License-Identifier: MIT

package slot

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/internal/endless"
)

var garbage = strings.Repeat("spoiled ", 1024)

// TestEndlessEngineIsClosed guards against an engine whose bytes have no end and that fills the memory of a slot, or keeps its
// polls of the load or its calls.
func TestEndlessEngineIsClosed(t *testing.T) {
	const most = 3 << 20 // bytes: what a response may have unacknowledged, and buffers
	for name, c := range map[string]struct {
		start, part string
		pause       time.Duration
	}{
		"head":            {"", garbage, 0},
		"head trickles":   {"HTTP/1.1 200 OK\r\nX-A: ", "a", 10 * time.Millisecond},
		"head lines":      {"HTTP/1.1 200 OK\r\n", "a: b\r\n", 0},
		"interim":         {"", "HTTP/1.1 103 Early Hints\r\n\r\n", 0},
		"body by close":   {"HTTP/1.1 200 OK\r\n\r\n{\"slots\":\"", garbage, 0},
		"body by chunks":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\n        \r\n", 0},
		"body by length":  {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", garbage, 0},
		"body trickles":   {"HTTP/1.1 200 OK\r\n\r\n", " ", 10 * time.Millisecond},
		"chunk extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", garbage, 0},
		"trailer line":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\nX-A: ", garbage, 0},
		"trailer lines":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n", "a: b\r\n", 0},
		"error":           {"HTTP/1.1 500 No\r\n\r\n", garbage, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			load := endless.Serve(t, c.start, c.part, c.pause)
			s := New(Config{EndpointURL: "http://" + load.Address, MaxBody: 1 << 20}, 1, zap.NewNop())
			if _, err := s.fetchLoad(context.Background()); err == nil {
				t.Error("a load without end was taken")
			}
			load.AwaitClosed(t, reportTimeout)
			engine := endless.Serve(t, c.start, c.part, c.pause)
			s = New(Config{EndpointURL: "http://" + engine.Address, MaxBody: 1 << 20}, 1, zap.NewNop())
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			u := &run{call: call{id: "id", method: http.MethodPost, path: "/"}, buffer: NewResponseBuffer(true)}
			if err := s.dispatch(ctx, u); err == nil {
				t.Error("a response without end was taken for complete")
			}
			engine.AwaitClosed(t, time.Second)
			if load.Sent() > most || engine.Sent() > most {
				t.Errorf("%d and %d bytes were taken", load.Sent(), engine.Sent())
			}
		})
	}
}
