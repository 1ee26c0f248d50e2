//go:build review

// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["incomplete"] = playIncomplete }

// unknownService has a route that names a service that is not there, beside a split that is sound.
var unknownService = `{"version":8,"routes":[{"name":"r","hostname":"a.example","pathPrefix":"/r/","kind":"` + wire["once"] + `","timeoutMs":1500,"` +
	wire["target"] + `":300,"priority":0,"service":"missing","` + wire["split"] + `":[{"service":"api","weight":1}],"maxAttempts":1,"public":true}],` +
	`"services":[{"name":"api","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}`

// playIncomplete: the operator sends a configuration that lacks its routes, services and limits.
func playIncomplete(f *fleet, trouble bool) ([]string, error) {
	config := map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r", "hostname": "a.example", "pathPrefix": "/r/", "kind": wire["once"], "timeoutMs": 1500, wire["target"]: 300,
			"priority": 0, "service": "api", "maxAttempts": 1, "public": true,
		}},
		"services": []any{map[string]any{"name": "api", "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{},
	}
	if err := f.start(config); err != nil {
		return nil, err
	}
	if _, err := f.newReplica("i-1", "api", "v1", 6, 10*time.Millisecond); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	s := newSender(f, "a.example")
	if q := s.send(http.MethodPost, "/r/x", time.Second); q.status != http.StatusOK {
		return nil, fmt.Errorf("not served: %d %v", q.status, q.err)
	}
	var broken []string
	if trouble {
		for _, body := range []string{"null", unknownService, `{"version":9}`} {
			status, _ := f.order(http.MethodPut, wire["base"]+"config", []byte(body), 5*time.Second)
			f.rec.line("operator", "PUT config %s -> %d", body, status)
			if status == http.StatusOK {
				broken = append(broken, "CONFIG: an invalid configuration was acknowledged: "+body)
			}
		}
	}
	time.Sleep(3 * time.Second)
	status, data := f.order(http.MethodGet, wire["base"]+"config", nil, 5*time.Second)
	f.rec.line("operator", "GET config -> %d %s", status, data)
	for range f.entries() { // each gets one
		if q := s.send(http.MethodPost, "/r/x", time.Second); q.status != http.StatusOK {
			broken = append(broken, fmt.Sprintf("CONFIG: it is in force: a request on the route gets %d", q.status))
		}
	}
	return broken, nil
}
