// SPDX-License-Identifier: MIT

package proc

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"lynxramp.org/catalog"
	"lynxramp.org/rpc"
)

var operatorClient = &http.Client{Transport: rpc.WithKey(operatorKey, &http.Transport{MaxIdleConnsPerHost: 8}), Timeout: 5 * time.Second}

func (c *cluster) operator(box int) rpc.Operator {
	return rpc.NewOperatorProtobufClient("http://"+c.boxAddress(box), operatorClient)
}

// findLeader returns the control box that owns the pools, or -1 for none. It skips the
// given boxes.
func (c *cluster) findLeader(except ...int) int {
	for i := range c.topology.controls {
		skip := false
		for _, b := range except {
			skip = skip || b == i
		}
		if skip {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		r, err := c.operator(i).Show(ctx, &rpc.ShowRequest{})
		cancel()
		if err == nil && r.Leads {
			return i
		}
	}
	return -1
}

// waitLeader waits until a control box other than the given ones leads.
func (c *cluster) waitLeader(except ...int) int {
	c.t.Helper()
	leader := -1
	c.waitFor("a leader", func() bool { leader = c.findLeader(except...); return leader >= 0 })
	return leader
}

// show returns the state that a box reports to operators; empty if it does not respond.
func (c *cluster) show(box int) *rpc.ShowResponse {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := c.operator(box).Show(ctx, &rpc.ShowRequest{})
	if err != nil {
		return &rpc.ShowResponse{}
	}
	return r
}

// apply sends a command, which expects a catalog version, until the leader responds.
func (c *cluster) apply(id string, expect uint64, changes ...catalog.Change) *rpc.ApplyResponse {
	data, err := json.Marshal(changes)
	if err != nil {
		c.t.Error(err)
		return nil
	}
	until := time.Now().Add(waitTimeout)
	for time.Now().Before(until) {
		for i := range c.topology.controls {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			r, err := c.operator(i).Apply(ctx, &rpc.ApplyRequest{Id: id, Operator: "test", Expect: expect, Changes: data})
			cancel()
			if err == nil && r.Leads {
				return r
			}
		}
	}
	c.t.Errorf("command %s got no response", id)
	return &rpc.ApplyResponse{}
}

// teamChange returns a change that sets a team.
func teamChange(n int) catalog.Change {
	name := fmt.Sprintf("team-%d", n)
	return catalog.Change{Team: &catalog.Team{Name: name, Tier: "bronze", KeyHashes: []string{catalog.HashKey(name)}}}
}

// wipe deletes the data folder of a box.
func (c *cluster) wipe(box int) {
	c.t.Helper()
	if err := os.RemoveAll(filepath.Join(c.dir, fmt.Sprintf("data-%d", box))); err != nil {
		c.t.Fatal(err)
	}
}

// dispatches returns how often a request was dispatched, over all endpoints.
func (c *cluster) dispatches(id string) int {
	total := 0
	for n := range c.engines {
		a := send(context.Background(), http.MethodGet, "http://"+c.engineAddress(n)+"/starts/"+id, "", nil)
		var count int
		if json.Unmarshal(a.body, &count) == nil {
			total += count
		}
	}
	return total
}

// checkAtMostOnce fails the test if a request was dispatched more than once, or at all
// although its outcome is "not-run".
func (c *cluster) checkAtMostOnce(a result) {
	c.t.Helper()
	id := a.header.Get("Lynxramp-Request-Id")
	if id == "" {
		return
	}
	n := c.dispatches(id)
	if n > 1 || (a.outcome() == "not-run" && n > 0) {
		c.t.Errorf("request %s: outcome %q, dispatched %d times", id, a.outcome(), n)
	}
}

// setFaults sets the faults that an engine injects.
func (c *cluster) setFaults(n int, content string) {
	c.t.Helper()
	a := send(context.Background(), http.MethodPut, "http://"+c.engineAddress(n)+"/faults", content, nil)
	if a.status != http.StatusNoContent {
		c.t.Fatalf("setting the faults of an engine got status %d, %v", a.status, a.err)
	}
}

// relay forwards TCP connections and can close or refuse them.
type relay struct {
	to       string
	listener net.Listener
	mu       sync.Mutex
	open     map[net.Conn]bool
	down     bool // refuses new connections
}

func newRelay(t testing.TB, from, to string) *relay {
	l, err := net.Listen("tcp", from)
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{to: to, listener: l, open: make(map[net.Conn]bool)}
	t.Cleanup(func() { _ = l.Close(); r.disconnect() })
	go r.run()
	return r
}

func (r *relay) run() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		if !r.add(in, out) {
			_ = in.Close()
			_ = out.Close()
			continue
		}
		go func() { _, _ = io.Copy(out, in); _ = out.Close() }()
		go func() { _, _ = io.Copy(in, out); _ = in.Close() }()
	}
}

// add records open connections. It returns false if the relay is down.
func (r *relay) add(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return false
	}
	for _, c := range conns {
		r.open[c] = true
	}
	return true
}

// disconnect closes the current connections; new ones are still accepted.
func (r *relay) disconnect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeAll()
}

// setDown closes the current connections and sets whether new ones are refused.
func (r *relay) setDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
	r.closeAll()
}

func (r *relay) closeAll() {
	for c := range r.open {
		_ = c.Close()
		delete(r.open, c)
	}
}
