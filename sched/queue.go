// SPDX-License-Identifier: MIT

package sched

import (
	"slices"

	"github.com/google/btree"

	"lynxramp.org/event"
)

// treeDegree is the degree of the B-trees.
const treeDegree = 16

// ticket is a waiting request.
type ticket struct {
	event.Ticket
	entry          event.BoxID
	arrived        event.Time
	deadline       event.Time
	orderTime      event.Time // order within the team: arrival plus a penalty for size
	seq            uint64     // in order of arrival; breaks ties
	expectedTokens int        // estimated output tokens
	class          *class     // of the rank it was submitted with
	runTime        float64    // expected, in seconds
	workBefore     float64    // team.enqueuedWork when it was added
	precedence     precedence
	group          event.WorkGroup // by expected run time; only with Pool.ExpectedWork
}

// avoids reports whether the ticket must not be granted to an endpoint.
func (k *ticket) avoids(e *endpoint) bool {
	return k.Bound && e.Version != k.Version || len(k.Avoid) > 0 && slices.Contains(k.Avoid, e.ID)
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

// team is one team's queue within a tier.
type team struct {
	name    string
	served  float64 // tokens granted; teams with the fewest go first
	waiting *btree.BTreeG[*ticket]
	// enqueuedWork and dequeuedWork are the total seconds of work ever added
	// and removed.
	enqueuedWork, dequeuedWork float64
	// before is the ticket found by visitBefore, which is a field so that a search allocates nothing.
	before      *ticket
	visitBefore func(*ticket) bool
}

// dequeue removes a ticket's work. If the ticket was the last one added, its
// add is undone instead.
func (m *team) dequeue(k *ticket, byWork bool) {
	if byWork {
		m.advance(k)
		return
	}
	if k.workBefore+k.runTime == m.enqueuedWork {
		m.enqueuedWork = k.workBefore
		return
	}
	m.dequeuedWork += k.runTime
}

// workAhead returns the seconds of work that will run before a ticket of the
// tier. Teams take turns, so it is the work before the ticket in its own team,
// times the number of waiting teams.
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

// precedence orders the requests of one rank; smaller goes first.
type precedence uint8

const (
	// precedenceResumed: granted before, and resumed or retried.
	precedenceResumed precedence = iota
	// precedenceOnTime: can still meet its target, on the caller's first
	// attempt.
	precedenceOnTime
	// precedenceLate: can't meet its target, or its caller was refused before.
	precedenceLate
)

// tier is the part of the queue with one rank and precedence.
type tier struct {
	rank       int
	precedence precedence
	teams      map[string]*team
	// active has the teams with waiting requests, least served first.
	active *btree.BTreeG[*team]
	// virtualTime is the served count of the team last granted. A team that was
	// idle resumes from it, so that it gets no credit for its idle time.
	virtualTime float64
	size        int
	work        float64    // expected run time of its requests, in seconds
	grantedWork throughput // rate at which that work is granted
}

// queue has all waiting requests of a pool in one order.
type queue struct {
	tiers  []*tier // highest rank first
	byID   map[event.RequestID]*ticket
	expiry *btree.BTreeG[*ticket]
	byWork bool // ordered by expected work
}

func newQueue() queue {
	return queue{
		byID:   make(map[event.RequestID]*ticket),
		expiry: btree.NewG(treeDegree, expiryLess),
	}
}

func (q *queue) len() int { return len(q.byID) }

// before reports whether t precedes the tier of a rank and precedence.
func (t *tier) before(rank int, precedence precedence) bool {
	if t.rank != rank {
		return t.rank > rank
	}
	return t.precedence < precedence
}

func (q *queue) tier(rank int, precedence precedence) *tier {
	i := slices.IndexFunc(q.tiers, func(t *tier) bool { return !t.before(rank, precedence) })
	if i < 0 {
		i = len(q.tiers)
	}
	if i == len(q.tiers) || q.tiers[i].rank != rank || q.tiers[i].precedence != precedence {
		t := &tier{rank: rank, precedence: precedence, teams: make(map[string]*team), active: btree.NewG(treeDegree, teamLess)}
		q.tiers = slices.Insert(q.tiers, i, t)
	}
	return q.tiers[i]
}

func (t *tier) team(name string) *team {
	m, ok := t.teams[name]
	if !ok {
		m = &team{name: name, waiting: btree.NewG(treeDegree, ticketLess)}
		m.visitBefore = func(k *ticket) bool {
			m.before = k
			return false
		}
		t.teams[name] = m
	}
	return m
}

// add enqueues a ticket behind the earlier work of its team.
func (q *queue) add(k *ticket) {
	m := q.tier(k.Rank, k.precedence).team(k.Team)
	if q.byWork {
		k.workBefore = m.position(k)
	} else {
		k.workBefore = m.enqueuedWork
		m.enqueuedWork += k.runTime
	}
	q.insert(k)
}

// remove deletes a ticket from the queue permanently.
func (q *queue) remove(k *ticket) {
	q.tier(k.Rank, k.precedence).team(k.Team).dequeue(k, q.byWork)
	q.detach(k)
}

// insert adds a ticket without changing its position in the team's work.
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

// detach removes a ticket that will be inserted again: it keeps its position in
// the team's work.
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
		t.work = 0 // clear the rounding error
	}
	delete(q.byID, k.ID)
	q.expiry.Delete(k)
}

// first returns the ticket to run next; nil if none waits.
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

// last returns the ticket to shed next; nil if none waits.
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

// charge adds tokens to the served count of the ticket's team. The ticket must
// be out of the queue.
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

// nextExpired returns a ticket whose deadline has passed; nil if there is none.
func (q *queue) nextExpired(now event.Time) *ticket {
	k, ok := q.expiry.Min()
	if !ok || k.deadline > now {
		return nil
	}
	return k
}
