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

// maxBody bounds what a stand-in reads of a request, in bytes.
const maxBody = 64 << 20

// Handler returns the engine's paths, and /faults and /starts for tests.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(e.freeze)
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
	r.Get("/starts/{id}", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, e.Starts(chi.URLParam(r, "id"))) })
	r.Get("/totals", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Totals()) })
	return r
}

// freezePoll is how often a frozen engine's callers look whether it thawed.
const freezePoll = 20 * time.Millisecond

// freeze holds every call but /faults while the engine is frozen, and cuts it
// while the engine is dead.
func (e *Engine) freeze(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for r.URL.Path != "/faults" && e.frozen() {
			select {
			case <-time.After(freezePoll):
			case <-r.Context().Done():
				return
			}
		}
		if r.URL.Path != "/faults" && e.dead() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) dead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Dead
}

func (e *Engine) frozen() bool {
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
		id = e.directID()
	}
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority)) // absent is 0
	a := e.start(id, priority, request, chat)
	time.Sleep(e.late(id))
	e.stream(w, r, a, 0)
}

// directID names a request that came without a name.
func (e *Engine) directID() string { return "direct-" + strconv.FormatUint(e.direct.Add(1), 36) }

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	a := e.find(chi.URLParam(r, "id"))
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if a == nil || err != nil || offset < 0 {
		http.NotFound(w, r)
		return
	}
	e.stream(w, r, a, offset)
}

// stream writes an answer from offset on as it grows.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, a *answer, offset int) {
	w.Header().Set("Content-Type", contentType(a))
	flusher := http.NewResponseController(w)
	for {
		part, done, gone, changed := e.part(a, offset)
		if gone {
			panic(http.ErrAbortHandler)
		}
		if n := e.dropAt(a, offset+len(part)); n >= 0 {
			_, _ = w.Write(part[:max(0, n-offset)]) // the connection is cut anyway
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

func contentType(a *answer) string {
	if a.stream {
		return "text/event-stream"
	}
	return "application/json"
}

// part returns what an answer has from offset on.
func (e *Engine) part(a *answer, offset int) (part []byte, done, gone bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if offset < len(a.sent) {
		part = a.sent[offset:]
	}
	return part, a.done, a.gone, a.changed
}

// dropAt returns the offset at which the connection is to be cut, -1 for not at
// all. Each answer is cut once.
func (e *Engine) dropAt(a *answer, end int) int {
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
	if !e.obey(o) {
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
	_, _ = w.Write(mustJSON(v)) // a caller that is gone needs no answer
}
