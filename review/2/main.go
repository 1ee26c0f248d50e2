//go:build review

// SPDX-License-Identifier: MIT

// Case 2: requests that an entry has passed on are cut about 3.1 s after its SIGTERM, though graceS is 8.
package main

import (
	_ "embed"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"lynxramp.org/review/stand"
)

//go:embed config.json
var config string

const (
	work     = 2 * time.Second // of each request, at a replica that has free slots
	timeout  = 3 * time.Second // timeoutMs, and Deadline-Ms of the clients
	interval = 100 * time.Millisecond
	traffic  = 9 * time.Second
	stopAt   = 3 * time.Second // of the traffic
)

func main() {
	root, folder := os.Args[1], os.Args[2]
	record := stand.NewRecord()
	lost, err := play(record, root, os.Getenv("TROUBLE") != "0")
	code := 0
	switch {
	case err != nil:
		record.Add("the case could not run: %v", err)
		code = 2
	case lost > 0:
		record.Add("LOST broken: %d requests", lost)
		code = 1
	default:
		record.Add("LOST held")
	}
	if err := record.Write(filepath.Join(folder, "record.txt")); err != nil {
		code = 2
	}
	fmt.Println("lost:", lost, "error:", err)
	os.Exit(code)
}

func play(record *stand.Record, root string, trouble bool) (lost int, err error) {
	f, err := stand.New(record, root, 3, 2)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	if err := f.PutConfig(config, 20*time.Second); err != nil {
		return 0, err
	}
	var replicas []*stand.Replica
	for i := range 4 {
		s, err := f.NewReplica(fmt.Sprintf("i-%d", i+1), "card-api", 40, answer)
		if err != nil {
			return 0, err
		}
		defer s.Close()
		replicas = append(replicas, s)
	}
	b := f.NewBalancer()
	defer b.Close()
	if !b.AwaitAll(20 * time.Second) {
		return 0, fmt.Errorf("the entries were not ready in time")
	}
	time.Sleep(2 * time.Second)
	results := send(f, b, trouble)
	served := 0
	for _, r := range results {
		if r.Err == nil && r.Status == http.StatusOK {
			served++
		}
		if isLost(record, r, replicas) {
			lost++
		}
	}
	record.Add("%d requests sent, %d served", len(results), served)
	if served < len(results)/2 {
		return lost, fmt.Errorf("only %d of %d requests were served", served, len(results))
	}
	return lost, nil
}

// answer is the work of a sound replica: it takes a while and ends early only if the connection closes.
func answer(_ *stand.Replica, w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(work):
		w.Header().Set(stand.Wire.Signature, "signed."+r.Header.Get(stand.Wire.AttemptID))
		fmt.Fprintf(w, "answer to %s", r.Header.Get(stand.Wire.AttemptID))
	case <-r.Context().Done():
	}
}

// send sends a request on a new connection each interval, and stops an entry meanwhile.
func send(f *stand.Fleet, b *stand.Balancer, trouble bool) []stand.Result {
	var (
		wait    sync.WaitGroup
		mu      sync.Mutex
		results []stand.Result
	)
	began := time.Now()
	stopped := !trouble
	for i := 0; time.Since(began) < traffic; i++ {
		if !stopped && time.Since(began) >= stopAt {
			stopped = true
			f.Terminate(f.Entries[0])
		}
		m := b.Pick()
		wait.Go(func() {
			if m == nil {
				return
			}
			c, err := f.Dial(m)
			if err != nil {
				f.Record.Add("client: no connection to %s: %v", m.Name, err)
				return
			}
			defer c.Close()
			r := c.Send(http.MethodPost, "/card/1", "", "q", fmt.Sprintf("a-%03d", i), timeout)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		})
		time.Sleep(interval)
	}
	wait.Wait()
	return results
}

// isLost reports whether the connection of a request ended without a complete answer once a replica had it, while that
// replica was at work, and before the deadline and the route's timeout.
func isLost(record *stand.Record, r stand.Result, replicas []*stand.Replica) bool {
	if r.Err == nil || r.Ended.Sub(r.Sent) >= timeout {
		return false
	}
	for _, s := range replicas {
		for _, run := range s.Runs(r.ID) {
			record.Add("LOST: %s, sent to %s, was at work at %s for %.3f s when its connection ended: %v",
				r.ID, r.Entry, run.Replica, r.Ended.Sub(run.Began).Seconds(), r.Err)
			return true
		}
	}
	return false
}
