//go:build review

// SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in for an application replica: it registers itself and runs requests.
type replica struct {
	fleet                         *fleet
	id, service, version, address string
	slots                         int
	work                          time.Duration
	// fail says how a request that has run is answered; nil for success.
	fail          func(w http.ResponseWriter, r *http.Request, id string) bool
	server        *http.Server
	closeListener func() error // nil if the server has it
	sequence      atomic.Uint64
	stopped       chan struct{}
	once          sync.Once
	mu            sync.Mutex
	runs          map[string][]time.Time
}

// newReplica starts a replica and registers it.
func (f *fleet) newReplica(id, service, version string, slots int, work time.Duration) (*replica, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.2.1:0", f.network))
	if err != nil {
		return nil, err
	}
	r := f.newStandIn(id, service, version, slots, l.Addr().String())
	r.work = work
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = r.server.Serve(l) }() // returns when the server is closed
	return r, r.register()
}

// newStandIn returns a replica at an address, which has yet to be registered.
func (f *fleet) newStandIn(id, service, version string, slots int, address string) *replica {
	r := &replica{
		fleet: f, id: id, service: service, version: version, slots: slots, address: address,
		stopped: make(chan struct{}), runs: make(map[string][]time.Time),
	}
	f.replicas = append(f.replicas, r)
	return r
}

// register registers the replica and keeps sending its heartbeats.
func (r *replica) register() error {
	for deadline := time.Now().Add(10 * time.Second); !r.beat("ready"); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("replica %s was not registered", r.id)
		}
	}
	r.fleet.rec.line("replica", "%s service=%s version=%s at %s is registered", r.id, r.service, r.version, r.address)
	go r.beats()
	return nil
}

func (r *replica) beats() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-r.stopped:
			return
		case <-ticker.C:
			r.beat("ready")
		}
	}
}

// beat sends a heartbeat to the control boxes in turn until one acknowledges it.
func (r *replica) beat(state string) bool {
	body, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": "z1", "version": r.version, "slots": r.slots, "state": state,
		"coldRemainingMs": 0, "sequence": r.sequence.Add(1),
	})
	if err != nil {
		return false
	}
	for _, address := range r.fleet.seeds() {
		status, _, err := r.fleet.callControl(address, http.MethodPut, wire["base"]+"replicas/"+r.id, body)
		if err == nil && status == http.StatusOK {
			return true
		}
	}
	return false
}

// drain announces a planned end until it is acknowledged.
func (r *replica) drain() {
	r.once.Do(func() { close(r.stopped) })
	for range 20 {
		if r.beat("draining") {
			r.fleet.rec.line("replica", "%s is draining, acknowledged", r.id)
			return
		}
	}
}

// crash closes the replica and all its connections.
func (r *replica) crash() {
	r.once.Do(func() { close(r.stopped) })
	_ = r.server.Close()
	if r.closeListener != nil {
		_ = r.closeListener()
	}
}

// ServeHTTP runs a request.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(wire["attempt"])
	h := w.Header()
	h.Set(wire["attempt"], id)
	if expected := q.Header.Get(wire["expect"]); expected != "" && expected != r.id {
		h.Set(wire["notRun"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	r.mu.Lock()
	r.runs[id] = append(r.runs[id], time.Now())
	r.mu.Unlock()
	r.fleet.rec.line("run", "%s at %s (version %s)", id, r.id, r.version)
	time.Sleep(r.work)
	h.Set(wire["signature"], "signed-"+r.id+"-"+id)
	if r.fail != nil && r.fail(w, q, id) {
		return
	}
	fmt.Fprintf(w, "answer to %s", id)
}

// runsOf returns when a replica began to run a request.
func (r *replica) runsOf(id string) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.runs[id]...)
}

// sent is a request of a client and its answer.
type sent struct {
	id, path  string
	at        time.Time
	status    int // 0 without an answer
	signature string
	err       error
}

// sender sends the requests of clients.
type sender struct {
	fleet  *fleet
	host   string
	client *http.Client
	mu     sync.Mutex
	list   []*sent
	next   atomic.Int64
	wait   sync.WaitGroup
}

func newSender(f *fleet, host string) *sender {
	return &sender{fleet: f, host: host, client: &http.Client{
		Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// send sends one request to an entry, each the next one, and waits for its answer.
func (s *sender) send(method, path string, deadline time.Duration) *sent {
	n := s.next.Add(1)
	entries := s.fleet.entries()
	b := entries[int(n)%len(entries)]
	q := &sent{id: fmt.Sprintf("%016x", n), path: path, at: time.Now()}
	s.mu.Lock()
	s.list = append(s.list, q)
	s.mu.Unlock()
	r, err := http.NewRequest(method, "http://"+b.ip+":"+s.fleet.frontPort+path, strings.NewReader("request "+q.id))
	if err != nil {
		q.err = err
		return q
	}
	r.GetBody = nil // the transport must not send it again by itself
	r.Host = s.host
	r.Header.Set(wire["attempt"], q.id)
	r.Header.Set(wire["deadline"], fmt.Sprint(deadline.Milliseconds()))
	s.fleet.rec.line("sent", "%s %s %s to %s", q.id, method, path, b.name)
	a, err := s.client.Do(r)
	if err == nil {
		_, err = io.ReadAll(a.Body)
		_ = a.Body.Close()
		q.status, q.signature = a.StatusCode, a.Header.Get(wire["signature"])
	}
	q.err = err
	s.fleet.rec.line("answer", "%s %d signature=%q retry-after=%q error=%v", q.id, q.status, q.signature, retryAfter(a), err)
	return q
}

func retryAfter(a *http.Response) string {
	if a == nil {
		return ""
	}
	return a.Header.Get("Retry-After")
}

// traffic sends requests at a rate for a time, or until done is closed, on paths in turn.
func (s *sender) traffic(perSecond int, length time.Duration, deadline time.Duration, done <-chan struct{}, paths ...string) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	end := time.After(length)
	for i := 0; ; i++ {
		select {
		case <-end:
			s.wait.Wait()
			return
		case <-done:
			s.wait.Wait()
			return
		case <-ticker.C:
		}
		s.wait.Add(1)
		go func() {
			defer s.wait.Done()
			s.send(http.MethodPost, paths[i%len(paths)], deadline)
		}()
	}
}
