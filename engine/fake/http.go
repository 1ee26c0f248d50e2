// SPDX-License-Identifier: MIT

package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"lynxramp.org/engine"
)

// maxBody is the maximum size of a request body, in bytes.
const maxBody = 64 << 20

// Handler returns the engine's HTTP handler, with extra paths for tests: /faults,
// /starts and /totals.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(e.injectFaults)
	r.Post("/v1/completions", func(w http.ResponseWriter, r *http.Request) { e.serveCompletion(w, r, false) })
	r.Post("/v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.serveCompletion(w, r, true) })
	r.Get("/requests/{id}/stream", e.serveResume)
	r.Delete("/requests/{id}", e.serveCancel)
	r.Get("/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.load()) })
	r.Get("/cache/events", e.serveEvents)
	r.Post("/cache/export", e.serveExport)
	r.Post("/cache/import", e.serveImport)
	r.Post("/orders", e.serveOrder)
	r.Put("/faults", e.serveFaults)
	r.Get("/starts/{id}", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, e.DispatchCount(chi.URLParam(r, "id"))) })
	r.Get("/totals", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Totals()) })
	return r
}

// freezePoll is how often a held call checks whether the engine is still frozen.
const freezePoll = 20 * time.Millisecond

// injectFaults holds every call except /faults while the engine is frozen, and closes
// its connection if the engine drops calls.
func (e *Engine) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for r.URL.Path != "/faults" && e.isFrozen() {
			select {
			case <-time.After(freezePoll):
			case <-r.Context().Done():
				return
			}
		}
		if r.URL.Path != "/faults" && e.dropsCalls() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) dropsCalls() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.DropCalls
}

func (e *Engine) isFrozen() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Frozen
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request, err := engine.ParseCompletion(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get(engine.HeaderRequestID)
	if id == "" {
		id = e.generateID()
	}
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority)) // absent is 0
	a := e.start(id, priority, request, chat)
	time.Sleep(e.firstByteDelay(id))
	e.stream(w, r, a, 0)
}

// generateID returns an id for a request that has none.
func (e *Engine) generateID() string {
	return "direct-" + strconv.FormatUint(e.generatedIDs.Add(1), 36)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	a := e.find(chi.URLParam(r, "id"))
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if a == nil || err != nil || offset < 0 {
		http.NotFound(w, r)
		return
	}
	e.stream(w, r, a, offset)
}

// stream writes a response from offset on, as it is generated.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, a *response, offset int) {
	w.Header().Set("Content-Type", contentType(a))
	flusher := http.NewResponseController(w)
	for {
		part, done, cancelled, changed := e.part(a, offset)
		if cancelled {
			panic(http.ErrAbortHandler)
		}
		if n := e.dropAt(a, offset+len(part)); n >= 0 {
			_, _ = w.Write(part[:max(0, n-offset)]) // the connection is aborted anyway
			_ = flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(part); err != nil {
			return
		}
		offset += len(part)
		if done {
			return
		}
		if len(part) > 0 {
			if err := flusher.Flush(); err != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func contentType(a *response) string {
	if a.stream {
		return "text/event-stream"
	}
	return "application/json"
}

// part returns the bytes of a response from offset on, and its state.
func (e *Engine) part(a *response, offset int) (part []byte, done, cancelled bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if offset < len(a.data) {
		part = a.data[offset:]
	}
	return part, a.done, a.cancelled, a.changed
}

// dropAt returns the offset at which the connection is to be closed, or -1. Each
// response is interrupted once.
func (e *Engine) dropAt(a *response, end int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := e.faults.DropAfterBytes
	if limit == 0 || a.dropped || end < limit {
		return -1
	}
	a.dropped = true
	return limit
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.cancel(chi.URLParam(r, "id"))
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // absent is 0
	writeJSON(w, e.eventsAfter(after))
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var blocks []uint64
	if !readJSON(w, r, &blocks) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.model.Export(blocks))
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var blocks []uint64
	if !readJSON(w, r, &blocks) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Import(blocks)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !readJSON(w, r, &o) {
		return
	}
	if !e.applyOrder(o) {
		http.Error(w, "an order with a newer fence was carried out", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	e.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(mustJSON(v)) // a disconnected caller needs no response
}
