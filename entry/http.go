// SPDX-License-Identifier: MIT

package entry

import (
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"lynxramp.org/catalog"
)

// servicePrefix begins the paths of plain services.
const servicePrefix = "/svc/"

// Handler returns the paths for callers.
func (e *Entry) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", e.serveReady)
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { e.meters.write(w) })
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

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.drained.Load() || e.Version() == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// parser makes a checked request of a call whose body is read.
type parser func(x *catalog.Index, t *catalog.Team, r *http.Request, body []byte) (*request, *Failure)

func (e *Entry) serveCompletion(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, completion)
}

func (e *Entry) servePlain(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, func(x *catalog.Index, t *catalog.Team, r *http.Request, body []byte) (*request, *Failure) {
		name := chi.URLParam(r, "service")
		rest := strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix+name)
		return plainCall(x, t, r, name, rest, body)
	})
}

// serve does all that comes before a request is registered, and counts it.
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
	if failure := e.enter(team, reserved); failure != nil {
		failure.write(w)
		return
	}
	defer e.leave(team, reserved)
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
	e.run(w, r, q)
}
