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

// QueryAdopt is a query parameter of a resume call. With it, a slot that has no record
// of the request, after a restart, resumes it at its engine.
const QueryAdopt = "adopt"

// maxAcksBytes is the maximum size of the body of an acks call.
const maxAcksBytes = 1 << 20

// Ack acknowledges the bytes of a response before an offset.
type Ack struct {
	ID     event.DispatchID `json:"id"`
	Offset int              `json:"offset"`
	// Done is set when the entry has the complete response and will not fetch it again.
	Done bool `json:"done"`
}

// Handler returns the slot's HTTP handler. Calls without the key of the boxes are
// rejected.
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
		// The offer is incomplete: nothing was dispatched.
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
	incarnation, err := strconv.ParseUint(h.Get(HeaderIncarnation), 10, 64)
	if err != nil {
		return Offer{}, call{}, err
	}
	epoch, err := strconv.ParseUint(h.Get(HeaderEpoch), 10, 64)
	if err != nil {
		return Offer{}, call{}, err
	}
	remaining, err := strconv.ParseInt(h.Get(HeaderDeadline), 10, 64)
	if err != nil {
		return Offer{}, call{}, err
	}
	o := Offer{
		ID:          event.DispatchID(h.Get(HeaderDispatch)),
		Incarnation: event.Incarnation(incarnation),
		Epoch:       event.Epoch(epoch),
		Deadline:    time.Duration(remaining) * time.Millisecond,
	}
	c := call{
		id:       o.ID,
		method:   h.Get(HeaderMethod),
		path:     h.Get(HeaderPath),
		header:   make(http.Header),
		priority: h.Get(HeaderPriority),
		noRepeat: h.Get(HeaderNoRepeat) != "",
		retain:   h.Get(HeaderKeep) != "",
	}
	UnwrapHeaders(c.header, h)
	return o, c, nil
}

func (s *Slot) deny(w http.ResponseWriter, d Denial) {
	w.Header().Set(HeaderDenial, d.String())
	w.Header().Set(HeaderIncarnation, strconv.FormatUint(uint64(s.incarnation), 10))
	w.WriteHeader(http.StatusConflict)
}

func (s *Slot) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		http.Error(w, "offset is not a number", http.StatusBadRequest)
		return
	}
	id := event.DispatchID(chi.URLParam(r, "id"))
	u := s.findRun(id)
	if u == nil && s.config.IsModel && r.URL.Query().Has(QueryAdopt) {
		u = s.adopt(id, offset)
	}
	if u == nil {
		w.Header().Set(HeaderIncarnation, strconv.FormatUint(uint64(s.incarnation), 10))
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.stream(w, r, u, offset)
}

// stream writes the response from offset on, as it is received.
func (s *Slot) stream(w http.ResponseWriter, r *http.Request, u *run, offset int) {
	u.addReader()
	defer func() { u.removeReader(s.clock.Now()) }()
	flusher := http.NewResponseController(w)
	buf := make([]byte, readBufferSize)
	headerSent := false
	for {
		n, v, err := u.buffer.Await(r.Context(), offset, headerSent, buf)
		if err != nil {
			s.abortStream(w, headerSent, err)
			return
		}
		if errors.Is(v.err, errNotSent) {
			s.deny(w, DenialUnreachable)
			return
		}
		if !headerSent && v.status == 0 {
			// The endpoint sent no response.
			s.log.Warn("endpoint did not respond; failing the request", zap.String("request", string(u.call.id)), logx.Err(v.err))
			http.Error(w, "the endpoint did not respond", http.StatusBadGateway)
			return
		}
		if !headerSent {
			headerSent = true
			s.writeHeader(w, v)
		}
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return
			}
			offset += n
		}
		if v.ended {
			s.writeTrailer(w, u, v)
			return
		}
		if err := flusher.Flush(); err != nil {
			return
		}
	}
}

func (s *Slot) writeHeader(w http.ResponseWriter, v bufferState) {
	h := w.Header()
	WrapHeaders(h, v.header)
	h.Set("Trailer", TrailerEnd)
	h.Set(HeaderStatus, strconv.Itoa(v.status))
	h.Set(HeaderIncarnation, strconv.FormatUint(uint64(s.incarnation), 10))
	w.WriteHeader(http.StatusOK)
}

func (s *Slot) writeTrailer(w http.ResponseWriter, u *run, v bufferState) {
	if v.err == nil {
		w.Header().Set(TrailerEnd, EndComplete)
		return
	}
	s.log.Warn("response of endpoint is incomplete", zap.String("request", string(u.call.id)), logx.Err(v.err))
	w.Header().Set(TrailerEnd, "failed")
}

// abortStream ends a response that cannot be continued. Once the header is sent, it
// aborts the connection, so that the entry does not take the response for complete.
func (s *Slot) abortStream(w http.ResponseWriter, headerSent bool, err error) {
	if !headerSent {
		http.Error(w, err.Error(), http.StatusGone)
		return
	}
	panic(http.ErrAbortHandler)
}

func (s *Slot) serveVoid(w http.ResponseWriter, r *http.Request) {
	incarnation, err := strconv.ParseUint(r.Header.Get(HeaderIncarnation), 10, 64)
	if err != nil {
		http.Error(w, "incarnation is not a number", http.StatusBadRequest)
		return
	}
	if !s.void(event.DispatchID(chi.URLParam(r, "id")), event.Incarnation(incarnation)) {
		s.deny(w, DenialStarted)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Slot) serveCancel(w http.ResponseWriter, r *http.Request) {
	if u := s.findRun(event.DispatchID(chi.URLParam(r, "id"))); u != nil {
		s.cancelRun(u)
		u.markDelivered()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Slot) serveAcks(w http.ResponseWriter, r *http.Request) {
	var acks []Ack
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAcksBytes))
	if err := decoder.Decode(&acks); err != nil {
		http.Error(w, "acks: "+strings.TrimSpace(err.Error()), http.StatusBadRequest)
		return
	}
	for _, a := range acks {
		u := s.findRun(a.ID)
		if u == nil {
			continue
		}
		u.buffer.Ack(a.Offset)
		if a.Done {
			u.markDelivered()
		}
	}
	w.WriteHeader(http.StatusNoContent)
}
