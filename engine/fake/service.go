// SPDX-License-Identifier: MIT

package fake

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"lynxramp.org/engine"
)

// Service is the stand-in for a plain service. It echoes method, path and body, and
// counts how often each request id was dispatched.
type Service struct {
	// Delay is the duration of each call.
	Delay time.Duration

	mu         sync.Mutex
	dispatches map[string]int
	running    int
}

// Handler returns the service's HTTP handler.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/load", s.serveLoad)
	r.Get("/starts/{id}", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, s.DispatchCount(chi.URLParam(r, "id"))) })
	r.HandleFunc("/*", s.serveCall)
	return r
}

// DispatchCount returns how often a request id was dispatched to this service.
func (s *Service) DispatchCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatches[id]
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, engine.Load{Running: s.running})
}

func (s *Service) begin(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dispatches == nil {
		s.dispatches = make(map[string]int)
	}
	s.dispatches[baseID(id)]++
	s.running++
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	s.begin(r.Header.Get(engine.HeaderRequestID))
	defer s.end()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(s.Delay)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("X-Echo-Sum", strconv.FormatUint(xxhash.Sum64(body), 16))
	if status, err := strconv.Atoi(r.URL.Query().Get("status")); err == nil {
		w.WriteHeader(status)
	}
	fmt.Fprintf(w, "%s %s\n", r.Method, r.URL.RequestURI())
	_, _ = w.Write(body) // a disconnected caller needs no response
}
