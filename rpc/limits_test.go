// SPDX-License-Identifier: MIT

package rpc

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"lynxramp.org/internal/bounded"
)

// TestLongResponseOfBoxIsNotKept guards against the body of a response, of success or failure, that a generated client
// reads into memory without a limit.
func TestLongResponseOfBoxIsNotKept(t *testing.T) {
	const most = 64 << 20 // bytes
	part := []byte(strings.Repeat("x", 64<<10))
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
		var sent atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/protobuf")
			w.WriteHeader(status)
			for sent.Load() < most {
				n, err := w.Write(part)
				if sent.Add(int64(n)); err != nil {
					return
				}
			}
		}))
		client := NewOperatorProtobufClient(server.URL, NewClient("key", bounded.NewTransport(&net.Dialer{})))
		if _, err := client.Show(context.Background(), &ShowRequest{}); err == nil || !strings.Contains(err.Error(), bounded.ErrBodyTooLong.Error()) {
			t.Errorf("status %d: %v, want %v", status, err, bounded.ErrBodyTooLong)
		}
		if n := sent.Load(); n > 4*MaxMessage {
			t.Errorf("status %d: %d bytes were taken, limit %d", status, n, MaxMessage)
		}
		server.Close()
	}
}
