// SPDX-License-Identifier: MIT

package cluster

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
)

// freePort returns a port that is free on the loopback addresses.
func freePort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	_, port, err := net.SplitHostPort(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return port
}

// startServers starts a group of control boxes, each on its own loopback address.
func startServers(t *testing.T, count int) []*Server {
	t.Helper()
	return startServersWithClocks(t, make([]func() event.Duration, count))
}

// startServersWithClocks is startServers with a clock for each box; nil is the default clock.
func startServersWithClocks(t *testing.T, clocks []func() event.Duration) []*Server {
	t.Helper()
	count := len(clocks)
	port := freePort(t)
	var seeds []string
	for i := range count {
		seeds = append(seeds, fmt.Sprintf("127.0.77.%d:1", i+1))
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		time.Sleep(transferTimeout) // the servers are closed by then
	})
	var list []*Server
	for i, operators := range seeds {
		s, err := Open(Config{
			LinkAddress: LinkAddress(operators, "127.0.0.1:"+port), OperatorAddress: operators, Seeds: seeds, Bootstrap: true,
			DataDir: t.TempDir(), Settings: simSettings(0), Log: zap.NewNop(),
		})
		if err != nil {
			t.Fatal(err)
		}
		if clocks[i] != nil {
			s.clock = event.NewClockFrom(clocks[i])
		}
		list = append(list, s)
		go func() { _ = s.Run(ctx, func() {}) }() // returns when ctx ends
	}
	return list
}

// documentAndTerm returns the configuration and the term of a box.
func (s *Server) documentAndTerm() (Document, consensus.Term) {
	var d Document
	var term consensus.Term
	done := make(chan struct{})
	s.events <- inspect(func(_ event.Time, state *State) {
		d, term = state.Document(), state.Node().Term()
		close(done)
	})
	<-done
	return d, term
}

// TestServersReplicateLargeConfiguration uses real connections and disks: a large configuration must be
// acknowledged, read back unchanged and replicated to all boxes without a change of term.
func TestServersReplicateLargeConfiguration(t *testing.T) {
	servers := startServers(t, 3)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	put := func(d Document) *Server {
		for ctx.Err() == nil {
			for _, s := range servers {
				submitEvent := func(k CallID) Event { return &DocumentSubmitted{CallID: k, Document: d} }
				if a := s.call(ctx, submitEvent); a.Status == StatusDone {
					return s
				}
			}
			time.Sleep(tickInterval)
		}
		t.Fatalf("version %d was not acknowledged", d.Version)
		return nil
	}
	leader := put(noiseDocument(1, 10))
	_, term := leader.documentAndTerm()
	want := routesDocument(2, manyRoutes)
	began := time.Now()
	want.pack()
	put(want)
	t.Logf("%d bytes acknowledged after %v", len(want.Data), time.Since(began))
	if a := leader.ReadDocument(ctx); a.Status != StatusDone || !bytes.Equal(a.Document.Data, want.Data) {
		t.Errorf("read back: status %d, %d bytes", a.Status, len(a.Document.Data))
	}
	for i, s := range servers {
		d, now := s.documentAndTerm()
		for ; d.Version != want.Version && ctx.Err() == nil; d, now = s.documentAndTerm() {
			time.Sleep(tickInterval)
		}
		if !bytes.Equal(d.Data, want.Data) || now != term {
			t.Errorf("box %d has version %d of %d bytes in term %d, want 2 of %d in term %d", i+1, d.Version, len(d.Data), now, len(want.Data), term)
		}
	}
}
