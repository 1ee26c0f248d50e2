// SPDX-License-Identifier: MIT

package backpressure

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"lynxramp.org/event"
)

const (
	// probeInterval is how often an entry uses the grant of an owner that doesn't support limits for a limited
	// endpoint, to find out whether the limit still holds.
	probeInterval = 10 * event.Second
	// retention is how long the state of an endpoint is kept after the endpoint was last registered.
	retention = 60 * event.Second
	// recentSpan is how long feedback that the entry itself received is reported to new owners.
	recentSpan = 10 * event.Second
)

// Permit says whether a grant accounts for the endpoint's rate limit.
type Permit uint8

const (
	// PermitNoLimit: the granter knew of no limit.
	PermitNoLimit Permit = iota
	// PermitPaced: the granter spent it from the endpoint's limit, or knows that the limit was lifted.
	PermitPaced
	// PermitLegacy: the owner runs a build that doesn't support limits.
	PermitLegacy
)

// Gate checks each request before an entry sends it. The zero Gate stops nothing. It is safe for concurrent use.
type Gate struct {
	count     atomic.Int64 // of endpoints; usually 0
	mu        sync.Mutex
	endpoints map[event.EndpointID]*endpointState
}

// endpointState is the state that an entry keeps of an endpoint.
type endpointState struct {
	Tracker
	observedAt       event.Time // when the entry itself last received a limit or draining; 0 for never
	cooldownUntil    event.Time // the entry sends nothing before
	probedAt         event.Time // when a PermitLegacy grant was last used
	lastRegisteredAt event.Time // when it was last registered
}

// IsTracking reports whether the gate holds state of any endpoint.
func (g *Gate) IsTracking() bool { return g.count.Load() > 0 }

// IsLimited reports whether an endpoint is known to set a limit. Each of its responses must then be observed, also
// one without feedback.
func (g *Gate) IsLimited(endpoint event.EndpointID) bool {
	if !g.IsTracking() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.endpoints[endpoint]
	return ok && e.Limited
}

// Observe applies feedback from the response to a request sent at the given time, and reports whether the state
// changed. If the owner keeps the limit (byOwner), only the owner raises or lifts it, through Apply: it may have
// received the limit from other entries since, and every response must be reported to it until it lifts the limit.
func (g *Gate) Observe(now, sent event.Time, endpoint event.EndpointID, f Feedback, byOwner bool) bool {
	if byOwner {
		sent = 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.at(now, endpoint)
	if f.Limited || f.Leaving {
		e.observedAt = now
	}
	changed := e.Observe(now, sent, f)
	if until := now.Add(f.Rest); f.Rest > 0 && until > e.cooldownUntil {
		changed = changed || now >= e.cooldownUntil
		e.cooldownUntil = until
	}
	return changed
}

func (g *Gate) at(now event.Time, endpoint event.EndpointID) *endpointState {
	e, ok := g.endpoints[endpoint]
	if !ok {
		if g.endpoints == nil {
			g.endpoints = make(map[event.EndpointID]*endpointState)
		}
		e = &endpointState{lastRegisteredAt: now}
		g.endpoints[endpoint] = e
		g.count.Store(int64(len(g.endpoints)))
	}
	return e
}

// Apply takes over the state published by an owner.
func (g *Gate) Apply(now event.Time, s State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.at(now, s.Endpoint).Apply(now, s)
}

// StopReason is why a request must not be sent.
type StopReason uint8

const (
	NotStopped StopReason = iota
	// StoppedByLimit: the endpoint sets a limit, and the grant was not spent from it.
	StoppedByLimit
	// StoppedByDrain: the endpoint is draining.
	StoppedByDrain
	// StoppedByCooldown: the endpoint asked this entry to send nothing for a while.
	StoppedByCooldown
)

// String returns the reason as used in logs and metrics.
func (s StopReason) String() string {
	switch s {
	case StoppedByLimit:
		return "limit"
	case StoppedByDrain:
		return "leaving"
	case StoppedByCooldown:
		return "rest"
	default:
		return "not"
	}
}

// Check returns why a request must not be sent to an endpoint now, or NotStopped. A PermitLegacy grant that passes
// counts as a probe.
func (g *Gate) Check(now event.Time, endpoint event.EndpointID, p Permit) StopReason {
	if !g.IsTracking() {
		return NotStopped
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.endpoints[endpoint]
	if !ok {
		return NotStopped
	}
	switch {
	case e.Draining:
		return StoppedByDrain
	case now < e.cooldownUntil:
		return StoppedByCooldown
	case e.Limited && p != PermitPaced && !e.allowProbe(now, p):
		return StoppedByLimit
	}
	return NotStopped
}

// allowProbe reports whether a PermitLegacy grant may be used as a probe, and records the probe if so.
func (e *endpointState) allowProbe(now event.Time, p Permit) bool {
	if p != PermitLegacy || now.Sub(max(e.probedAt, e.limitedAt)) < probeInterval {
		return false
	}
	e.probedAt = now
	return true
}

// LastReport returns the last observed state of an endpoint, for an owner that granted it without knowing that state.
func (g *Gate) LastReport(now event.Time, endpoint event.EndpointID) Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.endpoints[endpoint]
	if !ok {
		return Report{Endpoint: endpoint, Word: Feedback{Unread: true}}
	}
	return e.report(now, endpoint)
}

func (e *endpointState) report(now event.Time, endpoint event.EndpointID) Report {
	return Report{Endpoint: endpoint, Word: Feedback{Limited: e.Limited, Rate: e.Rate, Unread: !e.Limited, Leaving: e.Draining, Rest: max(0, e.cooldownUntil.Sub(now))}}
}

// RecentReports returns what to report to a new owner: the state of up to limit endpoints that the entry itself
// received lately. The others are reported when the owner grants them.
func (g *Gate) RecentReports(now event.Time, limit int) []Report {
	if !g.IsTracking() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []Report
	for id, e := range g.endpoints {
		if e.isRecent(now) {
			list = append(list, e.report(now, id))
		}
	}
	sortReports(list)
	return list[:min(len(list), limit)]
}

func (e *endpointState) restricts(now event.Time) bool {
	return e.Limited || e.Draining || now < e.cooldownUntil
}

func (e *endpointState) isRecent(now event.Time) bool {
	return now < e.cooldownUntil || (e.Limited || e.Draining) && e.observedAt != 0 && now.Sub(e.observedAt) < recentSpan
}

// Cooldowns returns the cooldowns that have not ended.
func (g *Gate) Cooldowns(now event.Time) []Report {
	if !g.IsTracking() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []Report
	for id, e := range g.endpoints {
		if now < e.cooldownUntil {
			list = append(list, e.report(now, id))
		}
	}
	sortReports(list)
	return list
}

func sortReports(list []Report) {
	slices.SortFunc(list, func(a, b Report) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
}

// States returns the state of all tracked endpoints, ordered by id.
func (g *Gate) States() []State {
	if !g.IsTracking() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]State, 0, len(g.endpoints))
	for id, e := range g.endpoints {
		list = append(list, e.State(id))
	}
	slices.SortFunc(list, func(a, b State) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// Sweep removes endpoints without restrictions, and those that have not been registered for the retention time: an
// endpoint may reappear after a short absence.
func (g *Gate) Sweep(now event.Time, isRegistered func(event.EndpointID) bool) {
	if !g.IsTracking() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, e := range g.endpoints {
		if isRegistered(id) {
			e.lastRegisteredAt = now
		}
		if !e.restricts(now) || now.Sub(e.lastRegisteredAt) > retention {
			delete(g.endpoints, id)
		}
	}
	g.count.Store(int64(len(g.endpoints)))
}
