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

// TestRecoverOutlastsAnotherCut: a slot that has started the request does not hold
// its answer's beginning, and the connection on which it is asked to take it up is
// cut, too. It failed when that question was asked only once (TestCutConnections
// beside load: "the slot does not know what became of the request").
func TestRecoverOutlastsAnotherCut(t *testing.T) {
	asked := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasPrefix(r.URL.Path, "/v1/void/"):
			w.WriteHeader(http.StatusConflict) // it has started
		case !strings.Contains(r.URL.RawQuery, slot.QueryAdopt):
			w.WriteHeader(http.StatusGone)
		default:
			if asked++; asked <= 2 { // net/http asks once more by itself
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
	response, err := e.recover(ctx, &transfer{runs: "r"}, d)
	if err != nil || response == nil {
		t.Fatalf("after %d questions: %v", asked, err)
	}
	_ = response.Body.Close()
}
