// SPDX-License-Identifier: MIT

package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestDrainClosesConnectionsByResponses guards against kept connections whose next request the server drops when it shuts
// down: each response during the drain says that its connection closes, also one to a request from before.
func TestDrainClosesConnectionsByResponses(t *testing.T) {
	e := &Entry{}
	began := make(chan struct{})
	drained := make(chan struct{})
	handler := e.closeDraining(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/before" {
			close(began)
			<-drained
		}
		w.WriteHeader(http.StatusOK)
	}))
	server := httptest.NewServer(handler)
	defer server.Close()
	closes := func(path string) bool {
		a, err := server.Client().Get(server.URL + path)
		if err != nil {
			t.Error(err)
			return false
		}
		_ = a.Body.Close() // only the head is looked at
		return a.Close
	}
	if closes("/") {
		t.Error("a connection is closed before the drain")
	}
	before := make(chan bool, 1)
	go func() { before <- closes("/before") }()
	<-began
	e.StartDraining()
	close(drained)
	if !<-before || !closes("/") {
		t.Error("a connection is kept during the drain")
	}
}
