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

// Retry-after times for refused callers.
const (
	minQuotaRetryAfter = 200 * event.Millisecond
	budgetRetryAfter   = 500 * event.Millisecond
)

// maxWaiting bounds the queue of a service, in requests.
const maxWaiting = 4000

// failureBackoff is how long an endpoint gets no requests after its first failure. It grows with
// consecutive failures.
const failureBackoff = event.Second

// Limits bound the quotas and retries of a deployment.
type Limits struct {
	QuotaWindow event.Duration
	// A quota may be exceeded by the fraction QuotaOvershoot plus QuotaSlack tokens.
	QuotaOvershoot float64
	QuotaSlack     float64
	// In each RetryWindow, RetryMin plus the fraction RetryRatio of a service's requests may be
	// retried.
	RetryWindow event.Duration
	RetryRatio  float64
	RetryMin    int
	// LeastOutstanding selects the baseline policy; see event.Pool.
	LeastOutstanding bool
	// ExpectedWork selects the order of waiting requests by expected work; see event.Pool.
	ExpectedWork bool
	// ExpectedWorkIfSlowed selects it for services whose endpoints report their slowdown.
	ExpectedWorkIfSlowed bool
}

// service has the pool of a service and the count of its recent requests.
type service struct {
	name     string
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
	endpoints map[event.EndpointID]*endpointState
	parked    []deferredRequest // waiting for a quota, in order of arrival
	poison    *poison.Tracker
	held      []deferredRequest // waiting for the outcome of another run, in order of arrival
	charges   map[event.RequestID]*charge
	// chargesByEntry indexes charges by entry, of which an owner has hundreds.
	chargesByEntry map[event.BoxID]map[event.RequestID]*charge
	runs           map[event.RequestID]*run
	begun          []begunRun // responses of runs that began lately, oldest first
	refusedCalls   refusedCalls
	sweepAt        event.Time // next sweep of runs
	limitShare     float64    // share of the endpoints' rate limits that is used here
	rollouts       Rollouts   // nil while roll-outs are off
	streams        *streams   // nil unless TrackStreams was called
}

// endpointState is an endpoint as registered, with its feedback and failures.
type endpointState struct {
	message.Endpoint
	feedback     backpressure.Tracker
	backoffUntil event.Time
	failures     int
	respondedAt  event.Time // when its last response was reported
}

// isDraining reports whether an endpoint accepts no new requests, by its registration or its feedback.
func (k *endpointState) isDraining() bool { return k.Leaving || k.feedback.Draining }

// New returns an empty State that spends from b and asks p which requests may run.
func New(limits Limits, seed uint64, b Budget, p *poison.Tracker) *State {
	return &State{
		limits:         limits,
		seed:           seed,
		budget:         b,
		poison:         p,
		services:       make(map[string]*service),
		endpoints:      make(map[event.EndpointID]*endpointState),
		charges:        make(map[event.RequestID]*charge),
		chargesByEntry: make(map[event.BoxID]map[event.RequestID]*charge),
		runs:           make(map[event.RequestID]*run),
		limitShare:     1,
	}
}

// SetTable applies a new routing table with its quotas and services.
func (s *State) SetTable(now event.Time, t *routing.Table) {
	old := s.table
	s.table = t
	if old != nil {
		s.dropLimits(old)
	}
	for i := range t.Services {
		name := t.Services[i].Name
		s.setRetryLimit(now, name, s.service(now, name))
	}
	for i := range t.Teams {
		if t.Teams[i].Rate > 0 {
			s.setQuotaLimit(now, &t.Teams[i])
		}
	}
}

func (s *State) service(now event.Time, name string) *service {
	v, ok := s.services[name]
	if !ok {
		pool := event.Pool{
			Name: name, MaxWaiting: maxWaiting, Discovered: true, Profile: defaultProfile,
			LeastOutstanding: s.limits.LeastOutstanding, ExpectedWork: s.limits.ExpectedWork,
			ExpectedWorkIfSlowed: s.limits.ExpectedWorkIfSlowed,
		}
		v = &service{
			name:     name,
			pool:     sched.New(now, pool, s.seed),
			requests: budget.NewWindow(event.Duration(float64(s.limits.RetryWindow) * requestWindowRatio)),
		}
		v.pool.SetLimitShare(now, s.limitShare)
		s.services[name] = v
	}
	return v
}

// defaultProfile is assumed for an endpoint until its performance is measured.
var defaultProfile = event.Profile{PrefillRate: 40000, TokenGap: 5 * event.Millisecond, CallTime: 30 * event.Millisecond}

// SetEndpoint adds or updates a registered endpoint.
func (s *State) SetEndpoint(now event.Time, e message.Endpoint, out *event.Effects) {
	id := event.EndpointID(e.ID)
	k, ok := s.endpoints[id]
	if !ok {
		k = &endpointState{}
		s.endpoints[id] = k
	}
	k.Endpoint = e
	s.updatePool(now, k, out)
	if k.isDraining() || k.Mode == event.ModeBlocked {
		s.refuseGone(now, k.Service, k.Version, out)
	}
}

// updatePool sends the state of an endpoint to its pool.
func (s *State) updatePool(now event.Time, k *endpointState, out *event.Effects) {
	s.step(now, s.service(now, k.Service), &event.EndpointUpdated{
		Endpoint: event.Endpoint{
			ID: event.EndpointID(k.ID), Concurrency: k.Slots, Speed: 1, Draining: k.isDraining(), DataCentre: k.DataCentre, Mode: k.Mode, Version: k.Version,
		},
		Address:  k.Address,
		Down:     k.Down || now < k.backoffUntil,
		HalfOpen: k.failures > 0,
		Limited:  k.feedback.Limited,
		Limit:    k.feedback.Rate,
	}, out)
}

// RemoveEndpoint removes an endpoint that terminated.
func (s *State) RemoveEndpoint(now event.Time, id event.EndpointID, out *event.Effects) {
	k, ok := s.endpoints[id]
	if !ok {
		return
	}
	delete(s.endpoints, id)
	s.step(now, s.service(now, k.Service), &event.EndpointRemoved{ID: id}, out)
	s.refuseGone(now, k.Service, k.Version, out)
}

// Submit registers a request of an entry.
func (s *State) Submit(now event.Time, entry event.BoxID, m *message.Submission, out *event.Effects) {
	s.checkAndAdmit(now, entry, m, out)
}

func (s *State) checkAndAdmit(now event.Time, entry event.BoxID, m *message.Submission, out *event.Effects) {
	if s.bindStream(now, entry, m, out) && s.checkPoison(now, entry, m, out) {
		s.spendAndAdmit(now, entry, m, out)
	}
}

func (s *State) spendAndAdmit(now event.Time, entry event.BoxID, m *message.Submission, out *event.Effects) {
	t := &m.Ticket
	if m.Repeat {
		if !s.spendRetry(now, entry, t.Service) {
			s.poison.RecordUnsent(t.ID)
			out.Refusals = append(out.Refusals, event.Refused{Entry: entry, ID: t.ID, Reason: event.ReasonBudget, RetryAfter: budgetRetryAfter})
			return
		}
	} else if !s.spendQuota(now, entry, t.Team, m.Quota) {
		s.parkOrRefuse(now, entry, m, out)
		return
	}
	s.admit(now, entry, m, out)
}

// admit charges a request that passed all checks and submits it to its service's pool.
func (s *State) admit(now event.Time, entry event.BoxID, m *message.Submission, out *event.Effects) {
	if _, known := s.charges[m.Ticket.ID]; !known && s.refusedCalls.hasReturned(now, &m.Ticket, m.Print) {
		m.Ticket.Returned = true
	}
	s.addCharge(now, entry, m)
	s.step(now, s.service(now, m.Ticket.Service), &event.Submitted{Entry: entry, Ticket: m.Ticket}, out)
}

// Withdraw cancels a request that has not been granted.
func (s *State) Withdraw(now event.Time, entry event.BoxID, w message.Withdrawal, out *event.Effects) {
	isRequest := func(p deferredRequest) bool { return p.submission.Ticket.ID == w.ID }
	s.parked, s.held = slices.DeleteFunc(s.parked, isRequest), slices.DeleteFunc(s.held, isRequest)
	s.dropUnresolved(isRequest)
	s.refund(now, w.ID)
	s.poison.RecordUnsent(w.ID)
	s.step(now, s.service(now, w.Service), &event.Withdrawn{Entry: entry, ID: w.ID}, out)
}

// Begin records that the response to a granted request began.
func (s *State) Begin(now event.Time, b *event.Begun, out *event.Effects) {
	s.recordBegin(now, b.ID)
	s.recordStreamBegin(now, b.ID)
	s.step(now, s.service(now, b.Pool), b, out)
}

// Finish ends a granted request.
func (s *State) Finish(now event.Time, f *message.Finish, out *event.Effects) {
	if f.Unsent {
		s.refundSubmission(now, f.ID)
	}
	s.observeRollout(f)
	s.removeCharge(f.ID)
	if f.FirstAfter > 0 || f.Ran != message.OutcomeUnknown {
		s.recordResponse(now, f.Endpoint)
	}
	s.updateBackoff(now, f, out)
	s.step(now, s.service(now, f.Pool), &f.Finished, out)
	s.recordOutcome(now, f, out)
}

// updateBackoff stops sending requests to an endpoint that could not be reached, for longer with each
// consecutive failure.
func (s *State) updateBackoff(now event.Time, f *message.Finish, out *event.Effects) {
	k, ok := s.endpoints[f.Endpoint]
	switch {
	case !ok:
	case f.NoResponse && s.respondedToOthers(f, k):
		// It is slow, or the caller impatient. A backoff would take all its capacity out of use.
	case f.Suspect && !f.Void && !s.hasAnother(now, k):
		// The only endpoint of its service stays in use: it was reached, and may serve the next request.
	case f.Suspect:
		k.failures = min(k.failures+1, 4)
		k.backoffUntil = now.Add(failureBackoff * event.Duration(k.failures))
		s.updatePool(now, k, out)
	case !f.Failed && !f.Void && k.failures > 0:
		k.failures = 0
		k.backoffUntil = now
		s.updatePool(now, k, out)
	}
}

// respondedToOthers reports whether an endpoint responded to another request while it ran one without a response.
func (s *State) respondedToOthers(f *message.Finish, k *endpointState) bool {
	r, ok := s.runs[f.ID]
	return ok && k.respondedAt > r.startedAt
}

// recordResponse records that an endpoint responded to a request.
func (s *State) recordResponse(now event.Time, id event.EndpointID) {
	if k, ok := s.endpoints[id]; ok {
		k.respondedAt = now
	}
}

// hasAnother reports whether the service of an endpoint has another usable endpoint.
func (s *State) hasAnother(now event.Time, k *endpointState) bool {
	for _, other := range s.endpoints {
		if other != k && other.Service == k.Service && other.Mode == event.ModeNormal && !other.Down && !other.isDraining() && now >= other.backoffUntil {
			return true
		}
	}
	return false
}

// Adopt records a request that an entry reports as running.
func (s *State) Adopt(now event.Time, entry event.BoxID, r message.Running, out *event.Effects) {
	s.addRun(r.Ticket.ID, &run{fingerprint: r.Print, parts: r.Parts, endpoint: r.Endpoint, attempt: r.Ticket.Attempt, startedAt: now, keptUntil: now.Add(r.Ticket.Deadline + inconclusiveRunTTL)})
	s.step(now, s.service(now, r.Ticket.Service), &event.Adopted{Entry: entry, Ticket: r.Ticket, Endpoint: r.Endpoint}, out)
}

// EntryHeartbeat records that an entry is alive.
func (s *State) EntryHeartbeat(now event.Time, entry event.BoxID, out *event.Effects) {
	for _, v := range s.services {
		s.step(now, v, &event.EntryHeartbeat{Entry: entry}, out)
	}
}

// EntryRemoved removes the requests of an entry.
func (s *State) EntryRemoved(now event.Time, entry event.BoxID, out *event.Effects) {
	isOfEntry := func(p deferredRequest) bool { return p.entry == entry }
	for _, p := range slices.Concat(s.parked, s.held) {
		if isOfEntry(p) {
			s.poison.RecordUnsent(p.submission.Ticket.ID)
		}
	}
	s.parked, s.held = slices.DeleteFunc(s.parked, isOfEntry), slices.DeleteFunc(s.held, isOfEntry)
	s.dropUnresolved(isOfEntry)
	s.removeCharges(now, entry)
	for _, v := range s.services {
		s.step(now, v, &event.EntryRemoved{Entry: entry}, out)
	}
}

// Tick advances time in all pools and retries waiting requests.
func (s *State) Tick(now event.Time, out *event.Effects) {
	s.poison.Tick(now)
	s.clearBegun(now)
	s.holdQueued(now, out)
	s.sweepRuns(now)
	s.tickStreams(now, out)
	s.ReleaseHeld(now, out)
	s.Unpark(now, out)
	for _, k := range s.endpoints {
		if k.backoffUntil != 0 && now >= k.backoffUntil {
			k.backoffUntil = 0
			s.updatePool(now, k, out)
		}
	}
	for _, v := range s.services {
		s.step(now, v, &event.Tick{}, out)
	}
}
