//go:build review

// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { scenarios["cooldown"] = playCooldown }

// The replicas fail from troubleAfter on, for troubleTime.
const (
	troubleAfter = 4 * time.Second
	troubleTime  = 4 * time.Second
)

// playCooldown: for four seconds the replicas fail two in five of their requests after they have run them, with a 503 that
// has Retry-After and doesn't say that they were not run. The requests are on routes that must not repeat them.
func playCooldown(f *fleet, trouble bool) ([]string, error) {
	route := func(name, prefix string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": "a.example", "pathPrefix": prefix, "kind": wire["once"], "timeoutMs": 1500, wire["target"]: 300,
			"priority": 0, "service": "api", "maxAttempts": attempts, "public": true,
		}
	}
	config := map[string]any{
		"version":  7,
		"routes":   []any{route("one", "/one/", 1), route("two", "/two/", 2)},
		"services": []any{map[string]any{"name": "api", "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{},
	}
	if err := f.start(config); err != nil {
		return nil, err
	}
	var all []*replica
	for i := range 7 {
		r, err := f.newReplica(fmt.Sprintf("i-%d", i+1), "api", "v1", 4, 100*time.Millisecond)
		if err != nil {
			return nil, err
		}
		all = append(all, r)
	}
	var got, failed atomic.Int64
	time.Sleep(time.Second)
	began := time.Now()
	for _, r := range all {
		r.fail = func(w http.ResponseWriter, _ *http.Request, id string) bool {
			since := time.Since(began)
			if !trouble || since < troubleAfter || since > troubleAfter+troubleTime || got.Add(1)%5 > 1 {
				return false
			}
			failed.Add(1)
			f.rec.line("failed", "%s after its run, 503 with Retry-After, not said to be not run", id)
			w.Header().Set("Retry-After", "0.2")
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprintf(w, "failed %s", id)
			return true
		}
	}
	s := newSender(f, "a.example")
	s.traffic(100, 12*time.Second, 1500*time.Millisecond, nil, "/one/x", "/two/x")
	var broken []string
	twice, refused, ran := 0, 0, 0
	for _, q := range s.list {
		runs := 0
		for _, r := range all {
			runs += len(r.runsOf(q.id))
		}
		if runs > 0 {
			ran++
		}
		if runs > 1 {
			twice++
			f.rec.line("judge", "TWICE %s on %s ran %d times, status %d", q.id, q.path, runs, q.status)
		}
		if runs > 0 && q.signature == "" && (q.status == 503 || q.status == 429 || q.status == 408 || q.status == 421) {
			refused++
			f.rec.line("judge", "REFUSED %s on %s ran %d times, status %d of the entry's own", q.id, q.path, runs, q.status)
		}
	}
	summary := fmt.Sprintf("%d requests sent, %d ran, %d of the %d runs in the trouble failed", len(s.list), ran, failed.Load(), got.Load())
	f.rec.line("summary", "%s; %d ran twice, %d were refused though they ran", summary, twice, refused)
	if ran < len(s.list)*6/10 {
		return nil, fmt.Errorf("too few requests ran: %s", summary)
	}
	if trouble && failed.Load() == 0 {
		return nil, fmt.Errorf("no request failed: %s", summary)
	}
	if twice > 0 {
		broken = append(broken, fmt.Sprintf("TWICE: %d requests that are not idempotent ran more than once; %s", twice, summary))
	}
	if refused > 0 {
		broken = append(broken, fmt.Sprintf("REFUSED: %d requests that can't be repeated got a 503 of the entry's own, yet they had run; %s", refused, summary))
	}
	return broken, nil
}
