// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"testing"

	"go.uber.org/zap"

	"lynxramp.org/internal/scripted"
	"lynxramp.org/rpc"
)

// TestMalformedConfirmationIsNone guards against a request that is taken for one that never runs, and is dispatched again, because
// its slot sent a malformed response.
func TestMalformedConfirmationIsNone(t *testing.T) {
	for text, want := range map[string]bool{
		"HTTP/1.1 204 No Content\r\n\r\n":                                               true,
		"HTTP/1.1 204 No Content\r\nX Bad: 1\r\n\r\n":                                   false,
		"HTTP/1.1 204 No Content\r\nX-Bad : 1\r\n\r\n":                                  false,
		"HTTP/1.1 204 \x01\r\n\r\n":                                                     false,
		"HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n":   false,
		"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n":   false,
		"HTTP/1.1 101 OK\r\nContent-Length: 4\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n":   false,
		"HTTP/1.1 103 Hint\r\nContent-Length: 4\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n": false,
	} {
		grant := &rpc.Grant{Address: scripted.Serve(t, text)}
		confirmed, err := newSlotClient("key", zap.NewNop()).void(context.Background(), grant, "id")
		if confirmed != want || confirmed != (err == nil) && want {
			t.Errorf("%q: confirmed: %t, error %v, want %t", text, confirmed, err, want)
		}
	}
}
