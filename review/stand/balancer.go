//go:build review

// SPDX-License-Identifier: MIT

package stand

import (
	"sync"
	"time"
)

// Balancer passes new connections of clients to entries. It asks each once a second whether it is ready; one that
// misses twice gets none until it is ready again.
type Balancer struct {
	mu     sync.Mutex
	missed map[*Machine]int
	next   int
	list   []*Machine
	stop   chan struct{}
}

// NewBalancer returns a balancer of the fleet's entries.
func (f *Fleet) NewBalancer() *Balancer {
	b := &Balancer{missed: make(map[*Machine]int), list: f.Entries, stop: make(chan struct{})}
	for _, m := range f.Entries {
		b.missed[m] = 2
		go b.watch(f, m)
	}
	return b
}

func (b *Balancer) watch(f *Fleet, m *Machine) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		ready := m.Ready()
		b.mu.Lock()
		before := b.missed[m]
		b.missed[m]++
		if ready {
			b.missed[m] = 0
		}
		after := b.missed[m]
		b.mu.Unlock()
		if (before < 2) != (after < 2) {
			f.Record.Add("balancer: %s gets new connections: %t", m.Name, after < 2)
		}
		select {
		case <-b.stop:
			return
		case <-ticker.C:
		}
	}
}

// Pick returns the entry for a new connection; nil if none is in.
func (b *Balancer) Pick() *Machine {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.list {
		b.next++
		if m := b.list[b.next%len(b.list)]; b.missed[m] < 2 {
			return m
		}
	}
	return nil
}

// AwaitAll waits until all entries are in.
func (b *Balancer) AwaitAll(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		b.mu.Lock()
		in := 0
		for _, missed := range b.missed {
			if missed == 0 {
				in++
			}
		}
		b.mu.Unlock()
		if in == len(b.list) {
			return true
		}
	}
	return false
}

// Close ends the questions.
func (b *Balancer) Close() { close(b.stop) }
