// SPDX-License-Identifier: MIT

package bounded

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// TestBodyLimit guards against a limit that is off by a byte, or that a body of any length passes.
func TestBodyLimit(t *testing.T) {
	for length, want := range map[int]error{0: nil, 99: nil, 100: nil, 101: ErrBodyTooLong, 1 << 20: ErrBodyTooLong} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", length))
		}))
		client := &http.Client{Transport: LimitBodies(NewTransport(&net.Dialer{}), 100)}
		response, err := client.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(response.Body)
		if !errors.Is(err, want) || len(data) > 100 || want == nil && len(data) != length {
			t.Errorf("%d bytes: read %d, error %v, want %v", length, len(data), err, want)
		}
		_ = response.Body.Close() // only read
		server.Close()
	}
}
