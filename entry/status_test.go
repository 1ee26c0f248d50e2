// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lynxramp.org/catalog"
	"lynxramp.org/slot"
)

// TestImpossibleStatusIsNotSent guards against a status of an endpoint that callers can't get: net/http panics below 100, takes 100
// to 199 for those of interim responses, and sends 101 without a body.
func TestImpossibleStatusIsNotSent(t *testing.T) {
	for status, want := range map[string]int{
		"200": 200, "404": 404, "599": 599,
		"": 502, "abc": 502, "-1": 502, "0": 502, "000": 502, "99": 502, "100": 502, "101": 502, "103": 502, "199": 502, "600": 502, "999": 502, "1000": 502,
	} {
		slotServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", slot.TrailerEnd)
			w.Header().Set(slot.HeaderStatus, status)
			fmt.Fprint(w, "spoiled")
			w.Header().Set(slot.TrailerEnd, slot.EndComplete)
		}))
		e := New(Config{}, nil, zap.NewNop())
		callers := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			response, err := e.slots.resume(r.Context(), slotServer.Listener.Addr().String(), "id", 0, false)
			if err != nil {
				t.Error(err)
				return
			}
			q := &request{service: &catalog.Service{}}
			err = (&transfer{entry: e, w: w, q: q}).copyResponse(response)
			var failure *Failure
			if errors.As(err, &failure) {
				failure.write(w)
			}
		}))
		callers.Config.ErrorLog = zap.NewStdLog(zap.NewNop())
		response, err := http.Get(callers.URL)
		if err != nil {
			t.Errorf("status %q: %v", status, err)
		} else {
			body, err := io.ReadAll(response.Body)
			if response.StatusCode != want || want != 502 && (err != nil || string(body) != "spoiled") || want == 502 && strings.Contains(string(body), "spoiled") {
				t.Errorf("status %q: the caller got %d %q, error %v, want %d", status, response.StatusCode, body, err, want)
			}
			_ = response.Body.Close() // only read
		}
		callers.Close()
		slotServer.Close()
	}
}
