// SPDX-License-Identifier: MIT

package gateway

import (
	"net/http"
	"testing"
	"time"
)

// TestHalfClosedCallerGetsNoSuccess: a caller that closes its sending side is treated as disconnected. It guards
// against net/http's implicit 200 for a handler that returns without a response.
func TestHalfClosedCallerGetsNoSuccess(t *testing.T) {
	for name, path := range map[string]string{"a call": "/once/x", "a stream": "/single/x"} {
		for _, at := range []string{"while it waits", "while an endpoint works"} {
			t.Run(name+" "+at, func(t *testing.T) {
				t.Parallel()
				w := newCancelWatcher(nil)
				r := newTestGateway(t, newFakeEndpoint(t, w.script))
				r.owner.mu.Lock()
				r.owner.hold = at == "while it waits"
				r.owner.mu.Unlock()
				c := r.call(t)
				c.send(path, "question", 0)
				waitFor(t, "the request waits", func() bool { return r.owner.submitCount() == 1 })
				if at != "while it waits" {
					<-w.started
				}
				if err := c.conn.CloseWrite(); err != nil {
					t.Fatal(err)
				}
				_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
				a, err := http.ReadResponse(c.reader, nil)
				if err == nil && a.StatusCode < 300 {
					t.Errorf("status %d without an endpoint's answer", a.StatusCode)
				}
			})
		}
	}
}
