// SPDX-License-Identifier: MIT

package slot

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/internal/scripted"
)

// TestMalformedResponsesOfEngineAreRefused guards against malformed responses of an engine that reach callers, are taken for its
// load, or for the rest of a response that was lost.
func TestMalformedResponsesOfEngineAreRefused(t *testing.T) {
	for name, text := range scripted.Malformed(`{"waiting":1}`) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := New(Config{EndpointURL: "http://" + scripted.Serve(t, text), MaxBody: 1 << 20}, 1, zap.NewNop())
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if load, err := s.fetchLoad(ctx); err == nil {
				t.Errorf("a load was taken: %+v", load)
			}
			if response, err := s.fetchFromEngine(ctx, "id", 0); err == nil {
				_ = response.Body.Close() // it must not be there
				t.Error("the rest of a response was taken")
			}
			u := &run{call: call{id: "id", method: http.MethodPost, path: "/"}, buffer: NewResponseBuffer(false)}
			s.runs["id"] = u
			dispatched := make(chan error, 1)
			go func() { dispatched <- s.dispatch(ctx, u) }()
			select {
			case err := <-dispatched:
				u.buffer.End(err)
			case <-time.After(2 * time.Second):
				t.Fatal("the run has not ended 1 s after its end was due")
			}
			w := httptest.NewRecorder()
			s.Handler("").ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/run/id?offset=0", nil))
			if w.Code != http.StatusBadGateway || w.Header().Get(HeaderStatus) != "" || strings.Contains(w.Body.String(), "waiting") {
				t.Errorf("the entry got status %d %v %q, want 502 of the slot's own", w.Code, w.Header(), w.Body)
			}
		})
	}
}
