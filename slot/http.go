// SPDX-License-Identifier: MIT

package slot

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lynxramp.org/event"
	"lynxramp.org/internal/logx"
	"lynxramp.org/rpc"
)

// QueryAdopt in a resume call lets a slot that was restarted take the request up
// again at its engine.
const QueryAdopt = "adopt"

// maxAcks bounds the body of an acks call, in bytes.
const maxAcks = 1 << 20

// Ack says that an entry has an answer up to an offset.
type Ack struct {
	ID     event.DispatchID `json:"id"`
	Offset int              `json:"offset"`
	// Done says that the entry has all of it and will not come back.
	Done bool `json:"done"`
}

// Handler returns the slot's paths. Calls without the box key are refused.
func (s *Slot) Handler(key string) http.Handler {
	inner := chi.NewRouter()
	inner.Post("/v1/run", s.serveOffer)
	inner.Get("/v1/run/{id}", s.serveResume)
	inner.Post("/v1/void/{id}", s.serveVoid)
	inner.Post("/v1/cancel/{id}", s.serveCancel)
	inner.Post("/v1/acks", s.serveAcks)
	return rpc.RequireKey(key, inner)
}

func (s *Slot) serveOffer(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.config.MaxBody))
	if err != nil {
		// The entry cut the offer short: nothing was dispatched.
		http.Error(w, "body could not be read", http.StatusBadRequest)
		return
	}
	o, c, err := parseOffer(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.body = body
	u, denial := s.offer(o, c)
	if denial != DenialNone {
		s.deny(w, denial)
		return
	}
	s.stream(w, r, u, 0)
}

func parseOffer(h http.Header) (Offer, call, error) {
	life, err := strconv.ParseUint(h.Get(HeaderIncarnation), 10, 64)
	if err != nil {
		return Offer{}, call{}, err
	}
	epoch, err := strconv.ParseUint(h.Get(HeaderEpoch), 10, 64)
	if err != nil {
		return Offer{}, call{}, err
	}
	left, err := strconv.ParseInt(h.Get(HeaderDeadline), 10, 64)
	if err != nil {
		return Offer{}, call{}, err
	}
	o := Offer{
		ID:          event.DispatchID(h.Get(HeaderDispatch)),
		Incarnation: event.Incarnation(life),
		Epoch:       event.Epoch(epoch),
		Deadline:    time.Duration(left) * time.Millisecond,
	}
	c := call{
		id:       o.ID,
		method:   h.Get(HeaderMethod),
		path:     h.Get(HeaderPath),
		header:   make(http.Header),
		priority: h.Get(HeaderPriority),
		noRepeat: h.Get(HeaderNoRepeat) != "",
		keep:     h.Get(HeaderKeep) != "",
	}
	Unwrap(c.header, h)
	return o, c, nil
}

func (s *Slot) deny(w http.ResponseWriter, d Denial) {
	w.Header().Set(HeaderDenial, d.String())
	w.Header().Set(HeaderIncarnation, strconv.FormatUint(uint64(s.life), 10))
	w.WriteHeader(http.StatusConflict)
}

func (s *Slot) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		http.Error(w, "offset is not a number", http.StatusBadRequest)
		return
	}
	id := event.DispatchID(chi.URLParam(r, "id"))
	u := s.find(id)
	if u == nil && s.config.Model && r.URL.Query().Has(QueryAdopt) {
		u = s.adopt(id, offset)
	}
	if u == nil {
		w.Header().Set(HeaderIncarnation, strconv.FormatUint(uint64(s.life), 10))
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.stream(w, r, u, offset)
}

// stream writes the answer from offset on as it comes.
func (s *Slot) stream(w http.ResponseWriter, r *http.Request, u *run, offset int) {
	u.enter()
	defer func() { u.leave(s.clock.Now()) }()
	flusher := http.NewResponseController(w)
	buf := make([]byte, readBytes)
	begun := false
	for {
		n, v, err := u.answer.Await(r.Context(), offset, begun, buf)
		if err != nil {
			s.cut(w, begun, err)
			return
		}
		if errors.Is(v.err, errNotSent) {
			s.deny(w, DenialUnreachable)
			return
		}
		if !begun && v.status == 0 {
			// The endpoint never answered.
			s.log.Warn("endpoint did not answer", zap.String("request", string(u.call.id)), logx.Err(v.err))
			http.Error(w, "the endpoint did not answer", http.StatusBadGateway)
			return
		}
		if !begun {
			begun = true
			s.begin(w, v)
		}
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return
			}
			offset += n
		}
		if v.ended {
			s.finish(w, u, v)
			return
		}
		if err := flusher.Flush(); err != nil {
			return
		}
	}
}

func (s *Slot) begin(w http.ResponseWriter, v view) {
	h := w.Header()
	Wrap(h, v.header)
	h.Set("Trailer", TrailerEnd)
	h.Set(HeaderStatus, strconv.Itoa(v.status))
	h.Set(HeaderIncarnation, strconv.FormatUint(uint64(s.life), 10))
	w.WriteHeader(http.StatusOK)
}

func (s *Slot) finish(w http.ResponseWriter, u *run, v view) {
	if v.err == nil {
		w.Header().Set(TrailerEnd, EndWhole)
		return
	}
	s.log.Warn("answer ended early", zap.String("request", string(u.call.id)), logx.Err(v.err))
	w.Header().Set(TrailerEnd, "failed")
}

// cut ends a response that cannot go on, in a way that the entry notices.
func (s *Slot) cut(w http.ResponseWriter, begun bool, err error) {
	if !begun {
		http.Error(w, err.Error(), http.StatusGone)
		return
	}
	panic(http.ErrAbortHandler)
}

func (s *Slot) serveVoid(w http.ResponseWriter, r *http.Request) {
	life, err := strconv.ParseUint(r.Header.Get(HeaderIncarnation), 10, 64)
	if err != nil {
		http.Error(w, "incarnation is not a number", http.StatusBadRequest)
		return
	}
	if !s.void(event.DispatchID(chi.URLParam(r, "id")), event.Incarnation(life)) {
		s.deny(w, DenialStarted)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Slot) serveCancel(w http.ResponseWriter, r *http.Request) {
	if u := s.find(event.DispatchID(chi.URLParam(r, "id"))); u != nil {
		s.abandon(u)
		u.take()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Slot) serveAcks(w http.ResponseWriter, r *http.Request) {
	var acks []Ack
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAcks))
	if err := decoder.Decode(&acks); err != nil {
		http.Error(w, "acks: "+strings.TrimSpace(err.Error()), http.StatusBadRequest)
		return
	}
	for _, a := range acks {
		u := s.find(a.ID)
		if u == nil {
			continue
		}
		u.answer.Ack(a.Offset)
		if a.Done {
			u.take()
		}
	}
	w.WriteHeader(http.StatusNoContent)
}
