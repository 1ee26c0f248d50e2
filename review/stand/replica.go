//go:build review

// SPDX-License-Identifier: MIT

package stand

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Run is a request that a replica has begun to work on.
type Run struct {
	Replica, ID      string
	Began            time.Time
	Answered, Closed bool // the whole answer was written; the connection closed first
}

// Replica is a sound replica: it answers after its work, and drops a request whose connection closes.
type Replica struct {
	ID, Service, Address string
	// Work answers a request that the replica runs.
	Work     func(s *Replica, w http.ResponseWriter, r *http.Request)
	Slots    int
	fleet    *Fleet
	mu       sync.Mutex
	sequence uint64
	runs     []*Run
	server   *http.Server
	stop     chan struct{}
}

// NewReplica starts a replica and registers it.
func (f *Fleet) NewReplica(id, service string, slots int, work func(s *Replica, w http.ResponseWriter, r *http.Request)) (*Replica, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:0", f.network))
	if err != nil {
		return nil, err
	}
	s := &Replica{ID: id, Service: service, Address: l.Addr().String(), Work: work, Slots: slots, fleet: f, stop: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	if !s.beat(10 * time.Second) {
		return nil, fmt.Errorf("replica %s was not registered", id)
	}
	f.Record.Add("replica %s of %s is registered at %s", id, service, s.Address)
	go func() {
		for {
			select {
			case <-s.stop:
				return
			case <-time.After(time.Second):
				s.beat(time.Second)
			}
		}
	}()
	return s, nil
}

func (s *Replica) beat(timeout time.Duration) bool {
	s.mu.Lock()
	s.sequence++
	sequence := s.sequence
	s.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"service": s.Service, "address": s.Address, "zone": "z1", "version": "v1", "slots": s.Slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": sequence,
	})
	if err != nil {
		panic(err) // texts and numbers always encode
	}
	status, _ := s.fleet.Call(http.MethodPut, Wire.ReplicaPath+s.ID, body, timeout)
	return status == http.StatusOK
}

// ServeHTTP implements http.Handler.
func (s *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(Wire.ReplicaID, s.ID)
		return
	}
	id := r.Header.Get(Wire.AttemptID)
	w.Header().Set(Wire.AttemptID, id)
	if expected := r.Header.Get(Wire.ExpectReplica); expected != "" && expected != s.ID {
		s.fleet.Record.Add("replica %s: %s is for %s: 421", s.ID, id, expected)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := &Run{Replica: s.ID, ID: id, Began: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	s.fleet.Record.Add("replica %s: %s begins to run, deadline %s ms", s.ID, id, r.Header.Get(Wire.Deadline))
	s.Work(s, w, r)
	s.mu.Lock()
	run.Answered, run.Closed = r.Context().Err() == nil, r.Context().Err() != nil
	s.mu.Unlock()
	if run.Closed {
		s.fleet.Record.Add("replica %s: %s dropped, its connection was closed", s.ID, id)
	} else {
		s.fleet.Record.Add("replica %s: %s answered", s.ID, id)
	}
}

// Runs returns the runs of a request.
func (s *Replica) Runs(id string) []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Run
	for _, r := range s.runs {
		if r.ID == id {
			list = append(list, *r)
		}
	}
	return list
}

// Close ends the replica.
func (s *Replica) Close() {
	close(s.stop)
	_ = s.server.Close()
}

// Note adds a line about the replica to the record.
func (s *Replica) Note(format string, args ...any) {
	s.fleet.Record.Add("replica %s: %s", s.ID, fmt.Sprintf(format, args...))
}
