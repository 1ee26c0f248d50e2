// SPDX-License-Identifier: MIT

package entry

import (
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/go-chi/chi/v5"

	"lynxramp.org/catalog"
)

// servicePrefix is the path prefix of plain services.
const servicePrefix = "/svc/"

// Handler returns the HTTP handler for callers.
func (e *Entry) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(e.closeDraining)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", e.serveReady)
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { e.metricSet.write(w) })
	r.Post("/v1/completions", e.serveCompletion)
	r.Post("/v1/chat/completions", e.serveCompletion)
	r.HandleFunc(servicePrefix+"{service}/*", e.servePlain)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		(&Failure{Status: http.StatusNotFound, Code: "unknown_path", Message: "there is no such path"}).write(w)
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		(&Failure{Status: http.StatusMethodNotAllowed, Code: "bad_method", Message: "the path has no such method"}).write(w)
	})
	return r
}

// closeDraining has the connections of requests closed by their responses while the entry drains. The server drops a request
// that arrives on a kept connection while it shuts down.
func (e *Entry) closeDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&drainWriter{ResponseWriter: w, draining: &e.draining}, r)
	})
}

// drainWriter adds Connection: close to a response that begins while the entry drains.
type drainWriter struct {
	http.ResponseWriter
	draining *atomic.Bool
}

// Unwrap lets http.ResponseController reach the connection.
func (w *drainWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *drainWriter) WriteHeader(status int) {
	if w.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.draining.Load() || e.CatalogVersion() == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// parser builds a validated request from a call and its body.
type parser func(x *catalog.Index, t *catalog.Team, r *http.Request, body []byte) (*request, *Failure)

func (e *Entry) serveCompletion(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, parseCompletion)
}

func (e *Entry) servePlain(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, func(x *catalog.Index, t *catalog.Team, r *http.Request, body []byte) (*request, *Failure) {
		name := chi.URLParam(r, "service")
		rest := strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix+name)
		return parsePlainCall(x, t, r, name, rest, body)
	})
}

// serve authenticates a call, enforces the limits, reads and parses its body, and
// then runs the request.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, parse parser) {
	index := e.index.Load()
	if index.version == 0 {
		(&Failure{
			Status: http.StatusServiceUnavailable, Code: "starting",
			Message: "the box has no catalog yet", RetryAfter: localRetryAfter,
		}).write(w)
		return
	}
	x := index.Index
	team, failure := authenticate(x, r.Header)
	if failure != nil {
		failure.write(w)
		return
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = e.config.MaxBody
	}
	if reserved > e.config.MaxBody {
		tooLarge(e.config.MaxBody).write(w)
		return
	}
	if failure := e.reserve(team, reserved); failure != nil {
		failure.write(w)
		return
	}
	defer e.release(team, reserved)
	body, failure := e.readBody(w, r)
	if failure != nil {
		failure.write(w)
		return
	}
	q, failure := parse(x, team, r, body)
	if failure != nil {
		failure.write(w)
		return
	}
	e.serveParsed(w, r, q)
}
