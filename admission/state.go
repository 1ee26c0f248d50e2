// SPDX-License-Identifier: MIT

package admission

import (
	"slices"

	"lynxramp.org/backpressure"
	"lynxramp.org/budget"
	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/poison"
	"lynxramp.org/routing"
	"lynxramp.org/sched"
)

// Bounds of what is told to refused callers.
const (
	quotaRetryLeast  = 200 * event.Millisecond
	budgetRetryAfter = 500 * event.Millisecond
)

// maxWaiting bounds the queue of a service.
const maxWaiting = 4000

// suspectTime is how long an endpoint gets no work after it could not be reached.
const suspectTime = event.Second

// Limits are a deployment's bounds on quotas and repeats.
type Limits struct {
	QuotaWindow event.Span
	// A quota may be overrun by QuotaOvershoot of it and QuotaSlack on top.
	QuotaOvershoot float64
	QuotaSlack     float64
	// A service may be sent RetryRatio of its requests again, and RetryMin on
	// top, in each RetryWindow.
	RetryWindow event.Span
	RetryRatio  float64
	RetryMin    int
	// LeastOutstanding is the baseline's way to place requests.
	LeastOutstanding bool
}

// service is the pool of one service and the requests that it had lately.
type service struct {
	pool     *sched.State
	requests *budget.Window
}

// State decides on requests. It is not safe for concurrent use.
type State struct {
	limits    Limits
	seed      uint64
	table     *routing.Table
	budget    Budget
	services  map[string]*service
	endpoints map[event.EndpointID]*known
	parked    []parked // for a quota, in the order of their arrival
	poison    *poison.Book
	held      []parked // for word on their requests, in the order of their arrival
	counted   map[event.RequestID]*counted
	// countedOf has the same by entry: an owner has requests of hundreds of them.
	countedOf map[event.BoxID]map[event.RequestID]*counted
	runs      map[event.RequestID]*run
	sweepAt   event.Time // of runs
	part      float64    // of endpoints' limits that is spent here
}

// known is an endpoint with what is believed of it beside its own words.
type known struct {
	message.Endpoint
	asked        backpressure.Asked
	suspectUntil event.Time
	failures     int
}

// isLeaving reports whether an endpoint takes nothing new, by what it registers or by its answers.
func (k *known) isLeaving() bool { return k.Leaving || k.asked.Leaving }

// New returns a State that knows nothing yet, spends out of a budget and runs no request that a
// book holds off.
func New(limits Limits, seed uint64, b Budget, p *poison.Book) *State {
	return &State{
		limits:    limits,
		seed:      seed,
		budget:    b,
		poison:    p,
		services:  make(map[string]*service),
		endpoints: make(map[event.EndpointID]*known),
		counted:   make(map[event.RequestID]*counted),
		countedOf: make(map[event.BoxID]map[event.RequestID]*counted),
		runs:      make(map[event.RequestID]*run),
		part:      1,
	}
}

// SetTable puts a table in force.
func (s *State) SetTable(now event.Time, t *routing.Table) {
	old := s.table
	s.table = t
	if old != nil {
		s.dropLimits(old)
	}
	for i := range t.Services {
		name := t.Services[i].Name
		s.limitRepeats(now, name, s.service(now, name))
	}
	for i := range t.Teams {
		if t.Teams[i].Rate > 0 {
			s.limitTeam(now, &t.Teams[i])
		}
	}
}

func (s *State) service(now event.Time, name string) *service {
	v, ok := s.services[name]
	if !ok {
		pool := event.Pool{Name: name, MaxWaiting: maxWaiting, Discovered: true, Profile: profile, LeastOutstanding: s.limits.LeastOutstanding}
		v = &service{
			pool:     sched.New(now, pool, s.seed),
			requests: budget.NewWindow(event.Span(float64(s.limits.RetryWindow) * requestsPart)),
		}
		v.pool.SetPart(now, s.part)
		s.services[name] = v
	}
	return v
}

// profile is what an endpoint is taken for until it was measured.
var profile = event.Profile{PrefillRate: 40000, TokenGap: 5 * event.Millisecond, CallTime: 30 * event.Millisecond}

// SetEndpoint takes in what an endpoint says of itself.
func (s *State) SetEndpoint(now event.Time, e message.Endpoint, out *event.Effects) {
	id := event.EndpointID(e.ID)
	k, ok := s.endpoints[id]
	if !ok {
		k = &known{}
		s.endpoints[id] = k
	}
	k.Endpoint = e
	s.tell(now, k, out)
}

// tell hands what is believed of an endpoint to its pool.
func (s *State) tell(now event.Time, k *known, out *event.Effects) {
	s.step(now, s.service(now, k.Service), &event.EndpointSeen{
		Endpoint: event.Endpoint{
			ID: event.EndpointID(k.ID), Concurrency: k.Slots, Speed: 1, Leaving: k.isLeaving(), DataCentre: k.DataCentre,
		},
		Address: k.Address,
		Down:    k.Down || now < k.suspectUntil,
		Unsure:  k.failures > 0,
		Limited: k.asked.Limited,
		Limit:   k.asked.Rate,
	}, out)
}

// RemoveEndpoint takes note that an endpoint has ended.
func (s *State) RemoveEndpoint(now event.Time, id event.EndpointID, out *event.Effects) {
	k, ok := s.endpoints[id]
	if !ok {
		return
	}
	delete(s.endpoints, id)
	s.step(now, s.service(now, k.Service), &event.EndpointGone{ID: id}, out)
}

// Submit registers a request of an entry.
func (s *State) Submit(now event.Time, entry event.BoxID, m *message.Submission, out *event.Effects) {
	s.enter(now, entry, m, out)
}

func (s *State) enter(now event.Time, entry event.BoxID, m *message.Submission, out *event.Effects) {
	if s.mayRun(now, entry, m, out) {
		s.spendAndAdmit(now, entry, m, out)
	}
}

func (s *State) spendAndAdmit(now event.Time, entry event.BoxID, m *message.Submission, out *event.Effects) {
	t := &m.Ticket
	if m.Repeat {
		if !s.mayRepeat(now, entry, t.Service) {
			s.poison.Unsent(t.ID)
			out.Refusals = append(out.Refusals, event.Refused{Entry: entry, ID: t.ID, Reason: event.ReasonBudget, RetryAfter: budgetRetryAfter})
			return
		}
	} else if !s.spend(now, entry, t.Team, m.Quota) {
		s.parkOrRefuse(now, entry, m, out)
		return
	}
	s.admit(now, entry, m, out)
}

// admit hands a request that may be spent on to its service.
func (s *State) admit(now event.Time, entry event.BoxID, m *message.Submission, out *event.Effects) {
	s.count(now, entry, m)
	s.step(now, s.service(now, m.Ticket.Service), &event.Submitted{Entry: entry, Ticket: m.Ticket}, out)
}

// Withdraw takes a request back that has not been granted.
func (s *State) Withdraw(now event.Time, entry event.BoxID, w message.Withdrawal, out *event.Effects) {
	isIt := func(p parked) bool { return p.submission.Ticket.ID == w.ID }
	s.parked, s.held = slices.DeleteFunc(s.parked, isIt), slices.DeleteFunc(s.held, isIt)
	s.uncount(now, w.ID)
	s.poison.Unsent(w.ID)
	s.step(now, s.service(now, w.Service), &event.Withdrawn{Entry: entry, ID: w.ID}, out)
}

// Begin takes note that a granted request's answer has begun.
func (s *State) Begin(now event.Time, b *event.Begun, out *event.Effects) {
	s.step(now, s.service(now, b.Pool), b, out)
}

// Finish ends a request that was granted.
func (s *State) Finish(now event.Time, f *message.Finish, out *event.Effects) {
	if f.Unsent {
		s.unask(now, f.ID)
	}
	s.dropCounted(f.ID)
	s.suspect(now, f, out)
	s.step(now, s.service(now, f.Pool), &f.Finished, out)
	s.ran(now, f, out)
}

// suspect leaves an endpoint alone for a while that could not be reached, longer
// each time until it serves again.
func (s *State) suspect(now event.Time, f *message.Finish, out *event.Effects) {
	k, ok := s.endpoints[f.Endpoint]
	switch {
	case !ok:
	case f.Suspect && !f.Void && !s.hasAnother(now, k):
		// It was reached, and it is all that its service has: it may serve the next one.
	case f.Suspect:
		k.failures = min(k.failures+1, 4)
		k.suspectUntil = now.Add(suspectTime * event.Span(k.failures))
		s.tell(now, k, out)
	case !f.Failed && !f.Void && k.failures > 0:
		k.failures = 0
		k.suspectUntil = now
		s.tell(now, k, out)
	}
}

// hasAnother reports whether the service of an endpoint has one more that may be given
// work.
func (s *State) hasAnother(now event.Time, k *known) bool {
	for _, other := range s.endpoints {
		if other != k && other.Service == k.Service && !other.Down && !other.isLeaving() && now >= other.suspectUntil {
			return true
		}
	}
	return false
}

// Adopt books a request that runs by the word of an entry.
func (s *State) Adopt(now event.Time, entry event.BoxID, r message.Running, out *event.Effects) {
	s.keepRun(r.Ticket.ID, &run{print: r.Print, endpoint: r.Endpoint, attempt: r.Ticket.Attempt, began: now, until: now.Add(r.Ticket.Deadline + unclearFor)})
	s.step(now, s.service(now, r.Ticket.Service), &event.Adopted{Entry: entry, Ticket: r.Ticket, Endpoint: r.Endpoint}, out)
}

// EntrySeen takes note that an entry is alive.
func (s *State) EntrySeen(now event.Time, entry event.BoxID, out *event.Effects) {
	for _, v := range s.services {
		s.step(now, v, &event.EntrySeen{Entry: entry}, out)
	}
}

// EntryGone forgets what an entry had here.
func (s *State) EntryGone(now event.Time, entry event.BoxID, out *event.Effects) {
	isOf := func(p parked) bool { return p.entry == entry }
	for _, p := range slices.Concat(s.parked, s.held) {
		if isOf(p) {
			s.poison.Unsent(p.submission.Ticket.ID)
		}
	}
	s.parked, s.held = slices.DeleteFunc(s.parked, isOf), slices.DeleteFunc(s.held, isOf)
	s.forgetEntry(now, entry)
	for _, v := range s.services {
		s.step(now, v, &event.EntryGone{Entry: entry}, out)
	}
}

// Tick tells all pools that time passed.
func (s *State) Tick(now event.Time, out *event.Effects) {
	s.poison.Tick(now)
	s.holdBack(now, out)
	s.sweepRuns(now)
	s.Release(now, out)
	s.Unpark(now, out)
	for _, k := range s.endpoints {
		if k.suspectUntil != 0 && now >= k.suspectUntil {
			k.suspectUntil = 0
			s.tell(now, k, out)
		}
	}
	for _, v := range s.services {
		s.step(now, v, &event.Tick{}, out)
	}
}
