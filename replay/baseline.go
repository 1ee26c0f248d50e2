// SPDX-License-Identifier: MIT

package replay

import (
	"lynxramp.org/event"
	"lynxramp.org/sched"
)

// Policies are the ways of deciding that can be compared, by name: ours and the
// baselines.
var Policies = []struct {
	Name string
	New  NewPolicy
}{
	{"lynxramp", func(now event.Time, p event.Pool) Policy { return sched.New(now, p, 1) }},
	{"round-robin", newBaseline((*baseline).nextInTurn)},
	{"least-outstanding", newBaseline((*baseline).leastOutstanding)},
	{"reported-load", newBaseline((*baseline).leastReported)},
	{"prefix-only", newBaseline((*baseline).mostCached)},
}

// baseline hands each request to an endpoint as it comes and queues nothing:
// the engines queue, by priority.
type baseline struct {
	pool     event.Pool
	choose   func(*baseline, event.Ticket) int
	turn     int
	open     map[event.EndpointID]int // requests that have not ended
	where    map[event.RequestID]event.EndpointID
	reported map[event.EndpointID]event.Report
	cached   map[event.EndpointID]map[uint64]struct{}
}

func newBaseline(choose func(*baseline, event.Ticket) int) NewPolicy {
	return func(_ event.Time, p event.Pool) Policy {
		return &baseline{
			pool: p, choose: choose,
			open:     make(map[event.EndpointID]int),
			where:    make(map[event.RequestID]event.EndpointID),
			reported: make(map[event.EndpointID]event.Report),
			cached:   make(map[event.EndpointID]map[uint64]struct{}),
		}
	}
}

// Step implements Policy.
func (b *baseline) Step(_ event.Time, e event.Event, out *event.Effects) {
	switch e := e.(type) {
	case *event.Submitted:
		id := b.pool.Endpoints[b.choose(b, e.Ticket)].ID
		b.open[id]++
		b.where[e.Ticket.ID] = id
		if b.cached[id] == nil {
			b.cached[id] = make(map[uint64]struct{})
		}
		for _, block := range e.Ticket.Prefix {
			b.cached[id][block] = struct{}{}
		}
		out.Grants = append(out.Grants, event.Granted{Entry: e.Entry, ID: e.Ticket.ID, Endpoint: id, Address: string(id)})
	case *event.Finished:
		if id, ok := b.where[e.ID]; ok {
			b.open[id]--
			delete(b.where, e.ID)
		}
	case *event.SlotReported:
		b.reported[e.Report.Endpoint] = e.Report
	}
}

func (b *baseline) nextInTurn(event.Ticket) int {
	for {
		b.turn = (b.turn + 1) % len(b.pool.Endpoints)
		if !b.reported[b.pool.Endpoints[b.turn].ID].Draining {
			return b.turn
		}
	}
}

// least returns the endpoint, of those that stay, where a figure is least. Among
// equals the search begins at another one each time.
func (b *baseline) least(figure func(event.EndpointID) int) int {
	b.turn++
	best := -1
	for i := range b.pool.Endpoints {
		i = (i + b.turn) % len(b.pool.Endpoints)
		id := b.pool.Endpoints[i].ID
		if b.reported[id].Draining {
			continue
		}
		if best < 0 || figure(id) < figure(b.pool.Endpoints[best].ID) {
			best = i
		}
	}
	return best
}

func (b *baseline) leastOutstanding(event.Ticket) int {
	return b.least(func(id event.EndpointID) int { return b.open[id] })
}

func (b *baseline) leastReported(event.Ticket) int {
	return b.least(func(id event.EndpointID) int { return b.reported[id].QueueLength })
}

// mostCached chooses the longest known prefix, and among equals the least
// outstanding.
func (b *baseline) mostCached(t event.Ticket) int {
	const above = 1 << 20 // any number of outstanding requests
	return b.least(func(id event.EndpointID) int {
		n := 0
		for n < len(t.Prefix) {
			if _, ok := b.cached[id][t.Prefix[n]]; !ok {
				break
			}
			n++
		}
		return b.open[id] - above*n
	})
}
