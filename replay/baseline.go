// SPDX-License-Identifier: MIT

package replay

import (
	"lynxramp.org/event"
	"lynxramp.org/sched"
)

// Policies are the policies to compare, by name: the scheduler first, then the
// baselines.
var Policies = []struct {
	Name string
	New  PolicyFactory
}{
	{"lynxramp", func(now event.Time, p event.Pool) Policy { return sched.New(now, p, 1) }},
	{"round-robin", newBaseline((*baseline).roundRobin)},
	{"least-outstanding", newBaseline((*baseline).leastOutstanding)},
	{"reported-load", newBaseline((*baseline).leastReportedLoad)},
	{"prefix-only", newBaseline((*baseline).longestPrefix)},
}

// baseline assigns each request to an endpoint on arrival and queues nothing: the
// engines queue by priority.
type baseline struct {
	pool        event.Pool
	choose      func(*baseline, event.Ticket) int
	next        int                      // index at which the last search started
	outstanding map[event.EndpointID]int // unfinished requests
	placements  map[event.RequestID]event.EndpointID
	reported    map[event.EndpointID]event.Report
	cached      map[event.EndpointID]map[uint64]struct{} // sampled prefix hashes of the requests placed there
}

func newBaseline(choose func(*baseline, event.Ticket) int) PolicyFactory {
	return func(_ event.Time, p event.Pool) Policy {
		return &baseline{
			pool: p, choose: choose,
			outstanding: make(map[event.EndpointID]int),
			placements:  make(map[event.RequestID]event.EndpointID),
			reported:    make(map[event.EndpointID]event.Report),
			cached:      make(map[event.EndpointID]map[uint64]struct{}),
		}
	}
}

// Step implements Policy.
func (b *baseline) Step(_ event.Time, e event.Event, out *event.Effects) {
	switch e := e.(type) {
	case *event.Submitted:
		id := b.pool.Endpoints[b.choose(b, e.Ticket)].ID
		b.outstanding[id]++
		b.placements[e.Ticket.ID] = id
		if b.cached[id] == nil {
			b.cached[id] = make(map[uint64]struct{})
		}
		for _, block := range e.Ticket.Prefix {
			b.cached[id][block] = struct{}{}
		}
		out.Grants = append(out.Grants, event.Granted{Entry: e.Entry, ID: e.Ticket.ID, Endpoint: id, Address: string(id)})
	case *event.Finished:
		if id, ok := b.placements[e.ID]; ok {
			b.outstanding[id]--
			delete(b.placements, e.ID)
		}
	case *event.SlotReported:
		b.reported[e.Report.Endpoint] = e.Report
	}
}

func (b *baseline) roundRobin(event.Ticket) int {
	for {
		b.next = (b.next + 1) % len(b.pool.Endpoints)
		if !b.reported[b.pool.Endpoints[b.next].ID].Draining {
			return b.next
		}
	}
}

// minBy returns the index of the endpoint with the lowest cost, among those that are
// not draining. Each search starts at another endpoint, so that ties rotate.
func (b *baseline) minBy(cost func(event.EndpointID) int) int {
	b.next++
	best := -1
	for i := range b.pool.Endpoints {
		i = (i + b.next) % len(b.pool.Endpoints)
		id := b.pool.Endpoints[i].ID
		if b.reported[id].Draining {
			continue
		}
		if best < 0 || cost(id) < cost(b.pool.Endpoints[best].ID) {
			best = i
		}
	}
	return best
}

func (b *baseline) leastOutstanding(event.Ticket) int {
	return b.minBy(func(id event.EndpointID) int { return b.outstanding[id] })
}

func (b *baseline) leastReportedLoad(event.Ticket) int {
	return b.minBy(func(id event.EndpointID) int { return b.reported[id].QueueLength })
}

// longestPrefix chooses the endpoint with the longest cached prefix, and among equals
// the one with the fewest outstanding requests.
func (b *baseline) longestPrefix(t event.Ticket) int {
	const blockWeight = 1 << 20 // exceeds any number of outstanding requests
	return b.minBy(func(id event.EndpointID) int {
		n := 0
		for n < len(t.Prefix) {
			if _, ok := b.cached[id][t.Prefix[n]]; !ok {
				break
			}
			n++
		}
		return b.outstanding[id] - blockWeight*n
	})
}
