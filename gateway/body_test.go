// SPDX-License-Identifier: MIT

package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// slowBody is a body that arrives in chunks of ten bytes, each after a pause.
type slowBody struct {
	chunks int
	pause  time.Duration
	stall  time.Duration // additional pause before the last chunk
}

const slowBodyChunk = "ten bytes "

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.chunks == 0 {
		return 0, io.EOF
	}
	if b.chunks--; b.chunks == 0 {
		time.Sleep(b.stall)
	}
	time.Sleep(b.pause)
	return copy(p, slowBodyChunk), nil
}

// sendBody sends a request with a slow body, chunked or with its length.
func (r *testGateway) sendBody(t *testing.T, body *slowBody, chunked bool, deadline string) (status int, took time.Duration) {
	t.Helper()
	size := int64(body.chunks * len(slowBodyChunk))
	q := r.request(http.MethodPost, "/safe/x", "")
	q.Header.Set("X-Deadline", deadline)
	q.Body = io.NopCloser(body)
	q.ContentLength = size
	if chunked {
		q.ContentLength = -1
	}
	started := time.Now()
	status, _, _ = r.do(t, q)
	return status, time.Since(started)
}

// TestSlowBodyArrives guards against a timeout for the whole body, which would reject bodies on slow links that
// are still arriving.
func TestSlowBodyArrives(t *testing.T) {
	for name, chunked := range map[string]bool{"in chunks": true, "with its length": false} {
		t.Run(name, func(t *testing.T) {
			e := newFakeEndpoint(t, whole(200, "answer"))
			r := newTestGateway(t, e)
			r.gateway.bodyIdleTimeout = 300 * time.Millisecond
			status, _ := r.sendBody(t, &slowBody{chunks: 12, pause: 100 * time.Millisecond}, chunked, "2500")
			if status != http.StatusOK || e.runs() != 1 {
				t.Fatalf("status %d and %d runs, want 200 and 1", status, e.runs())
			}
			if want := strings.Repeat(slowBodyChunk, 12); e.bodies[0] != want {
				t.Errorf("the endpoint got %q, want %q", e.bodies[0], want)
			}
			waitFor(t, "nothing is held", func() bool { return r.gateway.bodyBytes.Load() == 0 })
		})
	}
}

// TestStalledBodyIsRejected: a body is rejected after a pause or at the request's deadline, and no part of it
// reaches an endpoint.
func TestStalledBodyIsRejected(t *testing.T) {
	for name, c := range map[string]struct {
		body     slowBody
		deadline string
		want     int
	}{
		"it stalls":             {slowBody{chunks: 4, pause: 10 * time.Millisecond, stall: 2 * time.Second}, "2500", http.StatusBadRequest},
		"it comes for too long": {slowBody{chunks: 40, pause: 50 * time.Millisecond}, "400", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			e := newFakeEndpoint(t, whole(200, "answer"))
			r := newTestGateway(t, e)
			r.gateway.bodyIdleTimeout = 400 * time.Millisecond
			status, took := r.sendBody(t, &c.body, true, c.deadline)
			if status != c.want || e.runs() != 0 {
				t.Errorf("status %d and %d runs, want %d and none", status, e.runs(), c.want)
			}
			if took > time.Second {
				t.Errorf("it took %v", took)
			}
			waitFor(t, "nothing is held", func() bool { return r.gateway.bodyBytes.Load() == 0 })
		})
	}
}

// TestPartialBodiesCountAsHeld guards against counting only complete bodies: slow callers would make an entry hold
// more than its limit.
func TestPartialBodiesCountAsHeld(t *testing.T) {
	e := newFakeEndpoint(t, whole(200, "answer"))
	r := newTestGateway(t, e)
	r.gateway.config.MaxHeldBytes = 100
	go r.sendBody(t, &slowBody{chunks: 8, pause: time.Millisecond, stall: time.Second}, true, "2500")
	waitFor(t, "the received bytes are held", func() bool { return r.gateway.bodyBytes.Load() == 70 })
	if status, _ := r.sendBody(t, &slowBody{chunks: 4}, true, "2500"); status != http.StatusServiceUnavailable {
		t.Errorf("status %d beyond the limit, want 503", status)
	}
	waitFor(t, "nothing is held", func() bool { return r.gateway.bodyBytes.Load() == 0 })
	if e.runs() != 1 {
		t.Errorf("%d runs, want the first only", e.runs())
	}
}
