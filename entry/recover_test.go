// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/rpc"
	"lynxramp.org/slot"
)

// A slot that has started a request does not hold the beginning of its response, and
// the connection of the adopt call is lost. recoverOffer must retry that call.
func TestRecoverOfferRetriesLostConnection(t *testing.T) {
	attempts := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasPrefix(r.URL.Path, "/v1/void/"):
			w.WriteHeader(http.StatusConflict) // started
		case !strings.Contains(r.URL.RawQuery, slot.QueryAdopt):
			w.WriteHeader(http.StatusGone)
		default:
			if attempts++; attempts <= 2 { // net/http retries once by itself
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write([]byte("answer"))
		}
	}))
	defer server.Close()
	e := &Entry{slots: newSlotClient("key", zap.NewNop())}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	d := Decision{Grant: &rpc.Grant{Address: strings.TrimPrefix(server.URL, "http://")}}
	response, err := e.recoverOffer(ctx, &transfer{dispatchID: "r"}, d)
	if err != nil || response == nil {
		t.Fatalf("after %d adopt calls: %v", attempts, err)
	}
	_ = response.Body.Close()
}
