// SPDX-License-Identifier: MIT

package sched

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lynxramp.org/event"
)

// invariantChecker drives a scheduler and checks its invariants after each
// step.
type invariantChecker struct {
	t        *rapid.T
	state    *State
	now      event.Time
	waiting  map[event.RequestID]int // rank
	granted  map[event.RequestID]event.EndpointID
	draining map[event.EndpointID]bool
	next     int
	out      event.Effects
}

const pool = "pool"

func (b *invariantChecker) step(e event.Event) {
	b.out.Reset()
	b.state.Step(b.now, e, &b.out)
	// If a step both refuses and grants, refusals are checked against the
	// requests that wait after it.
	for _, g := range b.out.Grants {
		if _, again := b.granted[g.ID]; again {
			b.t.Fatalf("%s was granted twice", g.ID)
		}
		if b.draining[g.Endpoint] {
			b.t.Fatalf("%s was granted to %s, which is draining", g.ID, g.Endpoint)
		}
		delete(b.waiting, g.ID)
		b.granted[g.ID] = g.Endpoint
	}
	for _, r := range b.out.Refusals {
		rank, ok := b.waiting[r.ID]
		if !ok || r.RetryAfter < MinRetryAfter || r.RetryAfter > MaxRetryAfter {
			b.t.Fatalf("refusal %+v, waiting %v", r, ok)
		}
		delete(b.waiting, r.ID)
		if r.Reason != event.ReasonShed {
			continue
		}
		for id, other := range b.waiting {
			if other < rank {
				b.t.Fatalf("%s of rank %d was shed while %s of rank %d is waiting", r.ID, rank, id, other)
			}
		}
	}
	load := make(map[event.EndpointID]int)
	for _, e := range b.granted {
		load[e]++
	}
	for e, n := range load {
		if n > b.state.byID[e].Concurrency && b.state.byID[e].Concurrency > 0 {
			b.t.Fatalf("%s has %d requests", e, n)
		}
	}
	if got, want := b.state.Waiting(), len(b.waiting); got != want {
		b.t.Fatalf("%d waiting, want %d", got, want)
	}
}

// act applies one random event.
func (b *invariantChecker) act() {
	t := b.t
	switch rapid.IntRange(0, 9).Draw(t, "act") {
	case 0, 1, 2, 3, 4:
		b.next++
		k := event.Ticket{
			ID: event.RequestID(fmt.Sprint("r", b.next)), Pool: pool,
			Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), Rank: rapid.IntRange(1, 3).Draw(t, "rank"),
			PromptTokens: rapid.IntRange(1, 5000).Draw(t, "prompt"), OutputTokens: rapid.IntRange(0, 500).Draw(t, "output"),
			Deadline: event.Duration(rapid.Int64Range(int64(event.Second), int64(60*event.Second)).Draw(t, "deadline")),
		}
		b.waiting[k.ID] = k.Rank
		b.step(&event.Submitted{Entry: "e", Ticket: k})
	case 5:
		for id := range b.granted {
			delete(b.granted, id)
			b.step(&event.Finished{ID: id, Pool: pool})
			break
		}
	case 6:
		for id := range b.waiting {
			delete(b.waiting, id)
			b.step(&event.Withdrawn{Entry: "e", ID: id, Pool: pool})
			break
		}
	case 7, 8:
		b.report(event.EndpointID(fmt.Sprint("e", rapid.IntRange(0, 2).Draw(t, "endpoint"))))
	case 9:
		b.now = b.now.Add(event.Duration(rapid.Int64Range(0, int64(event.Second)).Draw(t, "time")))
		b.step(&event.EntryHeartbeat{Entry: "e"})
		b.step(&event.Tick{})
	}
}

func (b *invariantChecker) report(id event.EndpointID) {
	r := event.Report{Endpoint: id, Pool: pool, Address: "a", Incarnation: 1}
	for g, e := range b.granted {
		if e == id {
			r.Running = append(r.Running, g.Dispatch(0))
		}
	}
	r.Draining = b.draining[id] || rapid.IntRange(0, 20).Draw(b.t, "leave") == 0
	b.draining[id] = r.Draining
	b.step(&event.SlotReported{Report: r})
}

// TestScheduler checks over random histories that nothing is granted twice or
// to draining or full endpoints, and nothing is shed while a request of a lower
// tier waits.
func TestScheduler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := event.Pool{Name: pool, MaxWaiting: rapid.IntRange(1, 10).Draw(t, "max")}
		for i := range 3 {
			p.Endpoints = append(p.Endpoints, event.Endpoint{ID: event.EndpointID(fmt.Sprint("e", i)), Concurrency: 1 + i, Speed: 1})
		}
		b := &invariantChecker{
			t: t, state: New(0, p, 1), now: event.Time(SettleTime),
			waiting: make(map[event.RequestID]int), granted: make(map[event.RequestID]event.EndpointID),
			draining: make(map[event.EndpointID]bool),
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			b.act()
		}
	})
}
