// SPDX-License-Identifier: MIT

package cluster

import (
	"maps"
	"slices"

	"lynxramp.org/admission"
	"lynxramp.org/budget"
	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/poison"
	"lynxramp.org/registry"
)

// entryTimeout is how long an entry may be disconnected before its running requests are treated
// as terminated.
const entryTimeout = 4 * event.Second

// owner is the state that the owner keeps beside the replicated state. A new owner rebuilds it from
// entries and endpoints, except for budgets and poison requests, which are recorded in the log.
type owner struct {
	term      consensus.Term
	admission *admission.State
	sessions  map[SessionID]*session
	// unsupported has the sessions of entries that don't support the group's format version.
	unsupported   map[SessionID]bool
	entries       map[event.BoxID]*entry
	lastHeartbeat map[string]event.Time // by endpoint id
	down          map[string]bool
	effects       event.Effects
	// expectedEntries is the number of entries reported by the entries themselves; it counts for
	// entryRetention from startedAt on.
	expectedEntries  int
	startedAt        event.Time
	entryRetention   event.Duration
	budgets          *budget.Allocator
	budgetIndex      consensus.Index          // of the last budget record in the log
	poison           *poison.Tracker          // poison requests
	changedEndpoints map[string]bool          // ids of endpoints whose change is not yet sent to the entries
	pages            map[uint64]registry.Page // by the preceding revision, valid at pagesRevision
	pagesRevision    uint64
	packed           map[pageKey]packedPage
	budgetsLoggedAt  event.Time // when high budgets were last logged
	// poisonIndex is the index of the last poison record in the log.
	poisonIndex consensus.Index
	// poisonLogged reports whether poison records are written to the log.
	poisonLogged     bool
	suspects         []poison.Fingerprint // as last sent to entries, with their revision
	suspectsRevision uint64
	feedback         feedbackTracker // of endpoints
	slowdowns        slowdownLogger
	rollouts         *rolloutOwner // nil while roll-outs are off
	versions         *versionOwner // nil until all members support it
}

// maxExpiredPerTick bounds the disconnected entries whose requests one tick treats as terminated.
const maxExpiredPerTick = 16

// reclaimAfterHeartbeats is the number of heartbeat intervals without a heartbeat of an endpoint after
// which the previous endpoint at its address may take it back: two intervals and some jitter.
const reclaimAfterHeartbeats = 2.5

// budgetLogInterval is how often budgets that are more than half used are logged.
const budgetLogInterval = event.Second

func newOwner(now event.Time, s *State) *owner {
	o := &owner{
		term:             s.node.Term(),
		budgets:          s.newBudgets(now),
		sessions:         make(map[SessionID]*session),
		unsupported:      make(map[SessionID]bool),
		entries:          make(map[event.BoxID]*entry),
		lastHeartbeat:    make(map[string]event.Time),
		down:             make(map[string]bool),
		startedAt:        now,
		entryRetention:   s.settings.ConfigValidity + s.settings.Limits.QuotaWindow,
		changedEndpoints: make(map[string]bool),
		pages:            make(map[uint64]registry.Page),
		packed:           make(map[pageKey]packedPage),
	}
	o.poison = poison.NewTracker(now, &s.machine.poison)
	o.suspects, o.suspectsRevision = o.poison.Suspects()
	o.useFormatVersion(s)
	o.admission = admission.New(s.settings.Limits, s.settings.Seed, o.budgets, o.poison)
	o.admission.SetLimitShare(now, 0, &o.effects) // until entries are connected
	if s.config.table != nil {
		o.admission.SetTable(now, s.config.table)
	}
	o.startRollouts(now, s)
	o.startVersions(now, s)
	for _, e := range s.machine.registry.List() {
		o.lastHeartbeat[e.ID] = now
		o.admission.SetEndpoint(now, o.messageEndpoint(e), &o.effects)
	}
	return o
}

// newBudgets returns the budget allocator of a new owner, with the spending recorded in the log.
func (s *State) newBudgets(now event.Time) *budget.Allocator {
	if s.machine.document.Version == 0 {
		return budget.NewAllocator(now, s.settings.ConfigValidity) // nothing was served without a configuration
	}
	return budget.RestoreAllocator(now, s.settings.ConfigValidity, &s.machine.budgets)
}

// leaseGracePeriod is how long the lease may lapse before the owner stops. It exceeds
// the heartbeat interval of the log, so that a slow leader can receive the next responses.
const leaseGracePeriod = 150 * event.Millisecond

// remainsOwner reports whether the owner stays; it may have to wait for the lease to be renewed.
func (o *owner) remainsOwner(now event.Time, node *consensus.Node) bool {
	return node.IsLeader() && !node.IsTransferring() && o.term == node.Term() && now < node.LeaseEnd(now).Add(leaseGracePeriod)
}

// sessionIDs returns the sessions in the order in which they began, so that effects don't
// depend on map order.
func (o *owner) sessionIDs() []SessionID { return slices.Sorted(maps.Keys(o.sessions)) }

// closeSessions redirects all entries to the next owner.
func (o *owner) closeSessions(s *State, out *Effects) {
	for _, id := range o.sessionIDs() {
		s.redirect(id, out)
	}
}

// step applies an event while this box owns the pools.
func (o *owner) step(now event.Time, e Event, s *State, out *Effects) {
	switch e := e.(type) {
	case *Tick:
		o.tick(now, s, out)
	case *HeartbeatReceived:
		if reported, valid := s.instanceOf(e.Endpoint); valid {
			o.recordHeartbeat(now, reported.ID, s, out)
		}
	case *HeartbeatsForwarded:
		for _, id := range e.IDs {
			o.recordHeartbeat(now, id, s, out)
		}
	case *SessionOpened:
		o.openSession(now, e, s, out)
	case *PingReceived:
		o.receivePing(now, e, s, out)
	case *BatchReceived:
		o.receiveBatch(now, e, s, out)
	case *NodesRequested:
		o.sendNodes(e, s, out)
	case *SessionClosed:
		o.closeSession(now, e.Session)
	}
	o.proposeBudgetRecord(now, s, out)
	o.proposePoisonRecord(now, s, out)
	o.sendDecisions(now, s, out)
}

// proposeBudgetRecord proposes a budget record when one is due.
func (o *owner) proposeBudgetRecord(now event.Time, s *State, out *Effects) {
	if !o.budgets.Due() || !s.owns(now) {
		return
	}
	index, err := s.node.Propose(now, encodeBudgets(o.budgets.MakeRecord(now)), &out.Ready)
	if err != nil {
		// No longer the leader. Until this owner stops, nothing is spent beyond what the
		// previous record covers.
		out.logInfo("budget record not proposed: no longer the leader", Field{"error", err.Error()})
		return
	}
	o.budgetIndex = index
}

// entryCommitted records that an entry of this term is committed. If it is the last budget
// record, requests that waited for it can go on.
func (o *owner) entryCommitted(now event.Time, index consensus.Index, s *State, out *Effects) {
	if index == o.poisonIndex {
		o.poisonRecordCommitted(now, s, out)
		return
	}
	if index != o.budgetIndex {
		return
	}
	o.budgets.Committed()
	o.admission.Unpark(now, &o.effects)
	o.sendDecisions(now, s, out)
}

func (o *owner) tick(now event.Time, s *State, out *Effects) {
	o.expireEntries(now)
	o.budgets.Tick(now)
	limit := downAfterHeartbeats * s.settings.HeartbeatInterval
	lost := make(map[event.EndpointID]event.Time)
	for id, at := range o.lastHeartbeat {
		if down := now.Sub(at) > limit; down != o.down[id] {
			o.setDown(now, id, down, s, out)
			if down {
				lost[event.EndpointID(id)] = at
			}
		}
	}
	if len(lost) > 0 {
		o.admission.EndpointsLost(now, lost, &o.effects)
	}
	o.updateLimitShare(now)
	o.admission.Tick(now, &o.effects)
	o.tickVersions(now, s, out)
	o.tickRollouts(now, s, out) // restrictions of new endpoints are sent before them
	o.sendEndpointChanges(s, out)
	o.sendFeedback(now, out)
	o.sendSuspects(out)
	o.logBudgets(now, out)
	o.logSlowdowns(now, out)
	o.logAhead(now, out)
	o.raiseFormatVersion(now, s, out)
}

// expireEntries treats the requests of entries disconnected for longer than entryTimeout as
// terminated. The number of entries per tick is bounded to keep the step short: each scans all
// requests. 130 entries at once with 20,000 requests took a step of 58 ms.
func (o *owner) expireEntries(now event.Time) {
	var expired []event.BoxID
	for name, e := range o.entries {
		if e.session != 0 {
			continue
		}
		if disconnected := now.Sub(e.disconnectedAt); disconnected > entryTimeout && !e.isExpired {
			expired = append(expired, name)
		} else if disconnected > o.entryRetention {
			delete(o.entries, name)
		}
	}
	slices.Sort(expired)
	for _, name := range expired[:min(len(expired), maxExpiredPerTick)] {
		o.entries[name].isExpired = true
		o.admission.EntryRemoved(now, name, &o.effects)
		o.admission.EntryTerminated(now, name, &o.effects)
	}
}

// logBudgets logs the budgets that are more than half used.
func (o *owner) logBudgets(now event.Time, out *Effects) {
	if now.Sub(o.budgetsLoggedAt) < budgetLogInterval {
		return
	}
	o.budgetsLoggedAt = now
	for _, u := range o.budgets.HighUsage(now) {
		out.logInfo("budget usage", Field{"account", string(u.Account)}, Field{"spent", u.Spent}, Field{"lent", u.Leased},
			Field{"inherited", u.Inherited}, Field{"limit", u.Max}, Field{"owner_ms", now.Sub(o.startedAt).Milliseconds()})
	}
}

// entryCount returns how many entries share the endpoints. It includes disconnected ones: they may
// send requests without an owner until their configuration expires.
func (o *owner) entryCount(now event.Time) int {
	if now.Sub(o.startedAt) > o.entryRetention {
		return max(1, len(o.entries))
	}
	return max(1, o.expectedEntries, len(o.entries))
}

// isAddressTaken reports whether a heartbeat is from an endpoint whose address was taken by another
// that still sends heartbeats: then it was delayed and its sender has terminated. If the other is
// overdue the heartbeat counts; otherwise an endpoint whose address was taken by a delayed message of
// a terminated one would never get requests again.
func (o *owner) isAddressTaken(now event.Time, e registry.Endpoint, s *State) bool {
	other := s.machine.registry.AddressConflict(e)
	return other != "" && other != e.ID && now.Sub(o.lastHeartbeat[other]) < event.Duration(reclaimAfterHeartbeats*float64(s.settings.HeartbeatInterval))
}

func (o *owner) recordHeartbeat(now event.Time, id string, s *State, out *Effects) {
	if _, ok := s.machine.registry.Endpoints[id]; !ok {
		return
	}
	o.lastHeartbeat[id] = now
	if o.down[id] {
		o.setDown(now, id, false, s, out)
	}
}

// setDown marks an endpoint up or down.
func (o *owner) setDown(now event.Time, id string, down bool, s *State, out *Effects) {
	e, ok := s.machine.registry.Endpoints[id]
	if !ok {
		delete(o.lastHeartbeat, id)
		delete(o.down, id)
		return
	}
	o.down[id] = down
	out.logInfo("endpoint liveness changed", Field{"endpoint", id}, Field{"down", down}, Field{"heard_ms_ago", now.Sub(o.lastHeartbeat[id]).Milliseconds()})
	o.publishEndpoint(now, e)
}

// applyChange applies the endpoints that a command updated or removed.
func (o *owner) applyChange(now event.Time, c change, s *State, out *Effects) {
	if o.versions != nil && len(c.removed)+len(c.updated) > 0 {
		o.versions.isStale = true
	}
	for _, id := range c.removed {
		if len(c.updated) > 0 { // replaced at its address, so it terminated without notice
			o.admission.EndpointsLost(now, map[event.EndpointID]event.Time{event.EndpointID(id): o.lastHeartbeat[id]}, &o.effects)
		}
		delete(o.lastHeartbeat, id)
		delete(o.down, id)
		o.admission.RemoveEndpoint(now, event.EndpointID(id), &o.effects)
		o.feedback.remove(event.EndpointID(id))
		out.logInfo("endpoint gone", Field{"endpoint", id})
		o.changedEndpoints[id] = true
	}
	for _, e := range c.updated {
		o.lastHeartbeat[e.ID] = now
		out.logInfo("endpoint updated", Field{"endpoint", e.ID}, Field{"service", e.Service}, Field{"address", e.Address}, Field{"version", e.Version}, Field{"leaving", e.Leaving}, Field{"sequence", e.Sequence})
		o.publishEndpoint(now, e)
	}
}

// applyConfig applies a new configuration and announces it to all entries.
func (o *owner) applyConfig(now event.Time, s *State, out *Effects) {
	o.admission.SetTable(now, s.config.table)
	for _, id := range o.sessionIDs() {
		o.sendConfig(id, o.sessions[id], s, out)
	}
}

// sendDecisions sends the pending decisions to their entries. While the lease has lapsed they are
// kept: no other box decides before this term, and with it this owner, ends.
func (o *owner) sendDecisions(now event.Time, s *State, out *Effects) {
	if !s.owns(now) {
		return
	}
	defer o.effects.Reset()
	if len(o.effects.Grants)+len(o.effects.Refusals) == 0 {
		return
	}
	byEntry := make(map[event.BoxID]*message.Decisions)
	at := func(name event.BoxID) *message.Decisions {
		d, ok := byEntry[name]
		if !ok {
			d = &message.Decisions{}
			byEntry[name] = d
		}
		return d
	}
	for _, g := range o.effects.Grants {
		d := at(g.Entry)
		d.Grants = append(d.Grants, g)
	}
	for _, r := range o.effects.Refusals {
		d := at(r.Entry)
		d.Refusals = append(d.Refusals, r)
	}
	for name, d := range byEntry {
		if e := o.entries[name]; e != nil && e.session != 0 {
			out.Sends = append(out.Sends, Send{e.session, &message.Envelope{Decisions: d}})
		}
	}
}
