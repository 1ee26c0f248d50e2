// SPDX-License-Identifier: MIT

package sched

import (
	"slices"

	"github.com/google/btree"

	"lynxramp.org/event"
)

// treeDegree is the fan-out of the ordered sets.
const treeDegree = 16

// ticket is a request that waits.
type ticket struct {
	event.Ticket
	entry    event.BoxID
	arrived  event.Time
	deadline event.Time
	orderTime    event.Time // arrival plus the charge for size
	seq   uint64     // order of arrival; breaks ties
	expectedTokens int        // output tokens, by what the service's answers had
	class    *class     // of the rank that it came with
	runTime     float64    // seconds that it is expected to hold its place
	workBefore float64    // seconds of work that had entered its team's queue when it did
	precedence precedence
}

// avoids reports whether the ticket must not go to an endpoint.
func (k *ticket) avoids(e *endpoint) bool {
	return len(k.Avoid) > 0 && slices.Contains(k.Avoid, e.ID)
}

func ticketLess(a, b *ticket) bool {
	if a.orderTime != b.orderTime {
		return a.orderTime < b.orderTime
	}
	return a.seq < b.seq
}

func expiryLess(a, b *ticket) bool {
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.seq < b.seq
}

// team is the part of a tier's queue that belongs to one team.
type team struct {
	name    string
	served float64 // tokens served, divided by the team's share
	waiting *btree.BTreeG[*ticket]
	// enqueuedWork and dequeuedWork are the seconds of work that ever came into its queue and went.
	enqueuedWork, dequeuedWork float64
}

// dequeue takes a ticket's work out. One that goes as it came had nobody behind it.
func (m *team) dequeue(k *ticket) {
	if k.workBefore+k.runTime == m.enqueuedWork {
		m.enqueuedWork = k.workBefore
		return
	}
	m.dequeuedWork += k.runTime
}

// workAhead returns the seconds of work that will run before a ticket of the tier: teams take
// turns, so that it is its own team's work before it, once for each team that waits.
func (t *tier) workAhead(k *ticket) float64 {
	before := max(0, k.workBefore-t.team(k.Team).dequeuedWork)
	return min(t.work, before*float64(t.active.Len()))
}

func teamLess(a, b *team) bool {
	if a.served != b.served {
		return a.served < b.served
	}
	return a.name < b.name
}

// precedence orders the requests of one rank; the smaller goes first.
type precedence uint8

const (
	// precedenceResumed: it had a place before.
	precedenceResumed precedence = iota
	// precedenceOnTime: it can still be in time, at its first try.
	precedenceOnTime
	// precedenceLate: it is late, or its caller was refused before.
	precedenceLate
)

// tier is the part of the queue that belongs to one rank and standing.
type tier struct {
	rank     int
	precedence precedence
	teams    map[string]*team
	// active has the teams with a waiting request, least served first.
	active *btree.BTreeG[*team]
	// virtualTime is the service of the team last chosen. A team that was idle
	// starts there: it has no credit for the time it did not ask.
	virtualTime float64
	size  int
	work  float64   // seconds that its requests will hold places
	grantedWork throughput // of that work
}

// queue has all that waits in a pool, in one order.
type queue struct {
	tiers  []*tier // highest rank first
	byID   map[event.RequestID]*ticket
	expiry *btree.BTreeG[*ticket]
}

func newQueue() queue {
	return queue{
		byID:   make(map[event.RequestID]*ticket),
		expiry: btree.NewG(treeDegree, expiryLess),
	}
}

func (q *queue) len() int { return len(q.byID) }

// before reports whether a tier goes before the one of a rank and standing.
func (t *tier) before(rank int, standing precedence) bool {
	if t.rank != rank {
		return t.rank > rank
	}
	return t.precedence < standing
}

func (q *queue) tier(rank int, standing precedence) *tier {
	i := slices.IndexFunc(q.tiers, func(t *tier) bool { return !t.before(rank, standing) })
	if i < 0 {
		i = len(q.tiers)
	}
	if i == len(q.tiers) || q.tiers[i].rank != rank || q.tiers[i].precedence != standing {
		t := &tier{rank: rank, precedence: standing, teams: make(map[string]*team), active: btree.NewG(treeDegree, teamLess)}
		q.tiers = slices.Insert(q.tiers, i, t)
	}
	return q.tiers[i]
}

func (t *tier) team(name string) *team {
	m, ok := t.teams[name]
	if !ok {
		m = &team{name: name, waiting: btree.NewG(treeDegree, ticketLess)}
		t.teams[name] = m
	}
	return m
}

// add takes a ticket in, behind the work of its team that came before it.
func (q *queue) add(k *ticket) {
	m := q.tier(k.Rank, k.precedence).team(k.Team)
	k.workBefore = m.enqueuedWork
	m.enqueuedWork += k.runTime
	q.insert(k)
}

// remove takes a ticket out for good.
func (q *queue) remove(k *ticket) {
	q.tier(k.Rank, k.precedence).team(k.Team).dequeue(k)
	q.detach(k)
}

// insert takes a ticket in again where it was before it was set aside.
func (q *queue) insert(k *ticket) {
	t := q.tier(k.Rank, k.precedence)
	m := t.team(k.Team)
	if m.waiting.Len() == 0 {
		m.served = max(m.served, t.virtualTime)
		t.active.ReplaceOrInsert(m)
	}
	m.waiting.ReplaceOrInsert(k)
	t.size++
	t.work += k.runTime
	q.byID[k.ID] = k
	q.expiry.ReplaceOrInsert(k)
}

// detach takes a ticket out that will be put back: it keeps its place before those that came
// after it.
func (q *queue) detach(k *ticket) {
	t := q.tier(k.Rank, k.precedence)
	m := t.team(k.Team)
	m.waiting.Delete(k)
	if m.waiting.Len() == 0 {
		t.active.Delete(m)
	}
	t.size--
	t.work -= k.runTime
	if t.size == 0 {
		t.work = 0 // without what rounding left
	}
	delete(q.byID, k.ID)
	q.expiry.Delete(k)
}

// first returns the ticket that runs next, nil if none waits.
func (q *queue) first() *ticket {
	for _, t := range q.tiers {
		if t.size == 0 {
			continue
		}
		m, _ := t.active.Min()
		k, _ := m.waiting.Min()
		return k
	}
	return nil
}

// last returns the ticket that is given up next, nil if none waits.
func (q *queue) last() *ticket {
	for _, t := range slices.Backward(q.tiers) {
		if t.size == 0 {
			continue
		}
		m, _ := t.active.Max()
		k, _ := m.waiting.Max()
		return k
	}
	return nil
}

// charge adds tokens to what the ticket's team was served. The ticket must be
// out of the queue.
func (q *queue) charge(k *ticket, tokens float64) {
	t := q.tier(k.Rank, k.precedence)
	m := t.team(k.Team)
	t.virtualTime = max(t.virtualTime, m.served)
	waits := m.waiting.Len() > 0
	if waits {
		t.active.Delete(m)
	}
	m.served += tokens
	if waits {
		t.active.ReplaceOrInsert(m)
	}
}

// nextExpired returns a ticket whose deadline has passed, nil if there is none.
func (q *queue) nextExpired(now event.Time) *ticket {
	k, ok := q.expiry.Min()
	if !ok || k.deadline > now {
		return nil
	}
	return k
}
