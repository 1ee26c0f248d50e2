// SPDX-License-Identifier: MIT

package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"lynxramp.org/engine"
	"lynxramp.org/event"
)

// loaded returns a scheduler whose endpoints are all full, with requests waiting, and the
// running requests.
func loaded(endpoints, waiting int) (*State, []event.RequestID) {
	p := event.Pool{Name: pool, MaxWaiting: 2 * waiting}
	for i := range endpoints {
		p.Endpoints = append(p.Endpoints, event.Endpoint{ID: event.EndpointID(fmt.Sprintf("e%04d", i)), Concurrency: 16, Speed: 1})
	}
	s := New(0, p, 1)
	var out event.Effects
	for _, e := range p.Endpoints {
		s.Step(0, &event.SlotReported{Report: event.Report{Endpoint: e.ID, Address: "a", Incarnation: 1}}, &out)
	}
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 16*endpoints + waiting {
		s.Step(0, &event.Submitted{Entry: "e", Ticket: ticketOf(random, i)}, &out)
	}
	var running []event.RequestID
	for _, g := range out.Grants {
		running = append(running, g.ID)
	}
	return s, running
}

func ticketOf(random *rand.Rand, i int) event.Ticket {
	k := event.Ticket{
		ID: event.RequestID(fmt.Sprintf("r%08d", i)), Team: fmt.Sprintf("team-%d", random.IntN(1200)), Rank: 1 + random.IntN(3),
		Pool: pool, PromptTokens: 100 + random.IntN(4000), OutputTokens: 10 + random.IntN(400), Deadline: 3600 * event.Second,
	}
	document := random.Uint64N(500)
	for b := range k.PromptTokens / engine.SampleTokens {
		k.Prefix = append(k.Prefix, document<<32|uint64(b))
	}
	return k
}

// BenchmarkDecision measures a request's end and the grant that follows.
func BenchmarkDecision(b *testing.B) {
	for _, size := range [...]struct{ endpoints, waiting int }{
		{18, 200}, {18, 20000}, {275, 5000}, {1100, 200}, {1100, 2000}, {1100, 20000},
	} {
		b.Run(fmt.Sprintf("endpoints=%d/waiting=%d", size.endpoints, size.waiting), func(b *testing.B) {
			s, running := loaded(size.endpoints, size.waiting)
			random := rand.New(rand.NewPCG(2, 2))
			submissions := make([]event.Submitted, b.N)
			for i := range submissions {
				submissions[i] = event.Submitted{Entry: "e", Ticket: ticketOf(random, 1_000_000+i)}
			}
			var out event.Effects
			now := event.Time(SettleTime)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				out.Reset()
				s.Step(now, &submissions[i], &out)
				n := i % len(running)
				s.Step(now, &event.Finished{ID: running[n], Pool: pool}, &out)
				if len(out.Grants) > 0 {
					running[n] = out.Grants[0].ID
				}
			}
		})
	}
}

// BenchmarkForecast measures a tick over a queue in which no request times out, so that
// each one is examined.
func BenchmarkForecast(b *testing.B) {
	s := discoveredPool(54, 10)
	var out event.Effects
	for i := range 540 + 4000 {
		s.Step(0, submission(i, func(k *event.Ticket) {
			k.Team = fmt.Sprint("team", i%16)
			k.Rank = -(i % 3)
			k.Patience, k.Target, k.Deadline = 3600*event.Second, 3600*event.Second, 7200*event.Second
		}), &out)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		out.Reset()
		s.Step(0, &event.Tick{}, &out)
	}
	if s.Waiting() != 4000 || len(out.Refusals) > 0 {
		b.Fatalf("%d waiting and %d refused", s.Waiting(), len(out.Refusals))
	}
}
