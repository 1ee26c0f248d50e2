// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/internal/endless"
	"lynxramp.org/rpc"
)

// TestEndlessSlotIsClosed guards against a slot whose response to a short call has no end and is read until the call's time
// is up.
func TestEndlessSlotIsClosed(t *testing.T) {
	garbage := strings.Repeat("spoiled ", 1024)
	for name, start := range map[string]string{
		"head": "", "by close": "HTTP/1.1 204 No\r\n\r\n", "by chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2000;", "by length": "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			peer := endless.Serve(t, start, garbage, 0)
			began := time.Now()
			_, _ = newSlotClient("key", zap.NewNop()).void(context.Background(), &rpc.Grant{Address: peer.Address}, "id") // an error, or a status
			peer.AwaitClosed(t, callTimeout)
			if took := time.Since(began); took > callTimeout/2 {
				t.Errorf("the call took %v", took)
			}
			if sent := peer.Sent(); sent > 1<<20 {
				t.Errorf("%d bytes were taken", sent)
			}
		})
	}
}
