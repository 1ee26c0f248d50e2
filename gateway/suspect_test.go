// SPDX-License-Identifier: MIT

package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestAttemptEndedByEntryIsNotSuspect guards against taking capacity out of use: an endpoint whose request was ended by
// the caller's disconnect, or by a deadline soon after the send, is not suspect. One that was silent for long, or that
// closed the connection, is.
func TestAttemptEndedByEntryIsNotSuspect(t *testing.T) {
	silent := func(net.Conn, *http.Request) bool {
		time.Sleep(2 * time.Second)
		return false
	}
	for _, c := range []struct {
		name       string
		respond    responder
		deadline   string
		disconnect time.Duration // of the caller, after it sent; 0 for never
		want       bool
	}{
		{"caller disconnects", silent, "2500", 100 * time.Millisecond, false},
		{"short deadline", silent, "150", 0, false},
		{"silent for long", silent, "800", 0, true},
		{"connection closed", reset, "150", 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newTestGateway(t, newFakeEndpoint(t, c.respond))
			q := r.request("POST", "/once/x", "q")
			q.Header.Set("X-Deadline", c.deadline)
			client := &http.Client{Timeout: c.disconnect, Transport: &http.Transport{DisableKeepAlives: true}}
			if a, err := client.Do(q); err == nil {
				_ = a.Body.Close()
			}
			waitFor(t, "the attempt is reported", func() bool { return len(r.owner.finishes()) == 1 })
			if f := r.owner.finishes()[0]; f.Suspect != c.want || f.Void {
				t.Errorf("suspect %v, void %v, want suspect %v", f.Suspect, f.Void, c.want)
			}
		})
	}
}
