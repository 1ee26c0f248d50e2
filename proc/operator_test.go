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

var boxCallers = &http.Client{Transport: rpc.WithKey(operatorKey, &http.Transport{MaxIdleConnsPerHost: 8}), Timeout: 5 * time.Second}

func (c *cluster) operator(box int) rpc.Operator {
	return rpc.NewOperatorProtobufClient("http://"+c.box(box), boxCallers)
}

// leader returns the control box that owns the pools, -1 if none does. It does
// not ask the boxes named.
func (c *cluster) leader(but ...int) int {
	for i := range c.shape.controls {
		skip := false
		for _, b := range but {
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

// waitLeader waits until a control box other than the named ones leads.
func (c *cluster) waitLeader(but ...int) int {
	c.t.Helper()
	at := -1
	c.wait("a leader", func() bool { at = c.leader(but...); return at >= 0 })
	return at
}

func (c *cluster) show(box int) *rpc.ShowResponse {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := c.operator(box).Show(ctx, &rpc.ShowRequest{})
	if err != nil {
		return &rpc.ShowResponse{}
	}
	return r
}

// apply sends a command to the leader until it has an answer.
func (c *cluster) apply(id string, expect uint64, changes ...catalog.Change) *rpc.ApplyResponse {
	data, err := json.Marshal(changes)
	if err != nil {
		c.t.Error(err)
		return nil
	}
	until := time.Now().Add(waitBound)
	for time.Now().Before(until) {
		for i := range c.shape.controls {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			r, err := c.operator(i).Apply(ctx, &rpc.ApplyRequest{Id: id, Operator: "test", Expect: expect, Changes: data})
			cancel()
			if err == nil && r.Leads {
				return r
			}
		}
	}
	c.t.Errorf("command %s had no answer", id)
	return &rpc.ApplyResponse{}
}

// team returns a change that sets a team.
func teamChange(n int) catalog.Change {
	name := fmt.Sprintf("team-%d", n)
	return catalog.Change{Team: &catalog.Team{Name: name, Tier: "bronze", KeyHashes: []string{catalog.HashKey(name)}}}
}

func (c *cluster) wipe(box int) {
	c.t.Helper()
	if err := os.RemoveAll(filepath.Join(c.dir, fmt.Sprintf("data-%d", box))); err != nil {
		c.t.Fatal(err)
	}
}

// starts returns how often a request id was dispatched, over all endpoints.
func (c *cluster) starts(id string) int {
	total := 0
	for n := range c.engines {
		a := send(context.Background(), http.MethodGet, "http://"+c.engine(n)+"/starts/"+id, "", nil)
		var count int
		if json.Unmarshal(a.body, &count) == nil {
			total += count
		}
	}
	return total
}

// checkOnce fails the test if an answer's request ran more than once, or ran
// although the caller was told that it did not.
func (c *cluster) checkOnce(a answer) {
	c.t.Helper()
	id := a.header.Get("Lynxramp-Request-Id")
	if id == "" {
		return
	}
	n := c.starts(id)
	if n > 1 || (a.outcome() == "not-run" && n > 0) {
		c.t.Errorf("request %s: outcome %q, dispatched %d times", id, a.outcome(), n)
	}
}

// faults switches an engine's faults on or off.
func (c *cluster) faults(n int, content string) {
	c.t.Helper()
	a := send(context.Background(), http.MethodPut, "http://"+c.engine(n)+"/faults", content, nil)
	if a.status != http.StatusNoContent {
		c.t.Fatalf("faults: status %d, %v", a.status, a.err)
	}
}

// relay passes TCP connections on and can cut them.
type relay struct {
	to       string
	listener net.Listener
	mu       sync.Mutex
	open     map[net.Conn]bool
	down     bool
}

func newRelay(t testing.TB, from, to string) *relay {
	l, err := net.Listen("tcp", from)
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{to: to, listener: l, open: make(map[net.Conn]bool)}
	t.Cleanup(func() { _ = l.Close(); r.cut() })
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

// cut closes all connections of the moment.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeAll()
}

// setDown cuts the relay until it is set up again.
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
