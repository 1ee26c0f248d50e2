// SPDX-License-Identifier: MIT

package cluster

import (
	"cmp"
	"maps"
	"slices"

	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/message"
	"lynxramp.org/registry"
	"lynxramp.org/rollout"
)

// This file runs roll-outs: it records orders and their phases in the log, answers operators, and restricts
// the endpoints of unproved and bad versions. Package rollout decides.

// versionKey identifies the endpoints of a service that have a version.
type versionKey struct{ service, version string }

// rolloutOwner is the owner's state of roll-outs.
type rolloutOwner struct {
	tracker *rollout.Tracker
	// counted are the versions with a capacity or running requests at the last tick.
	counted map[versionKey]versionCount
	// restricted are the versions of endpoints that are restricted, as last applied; restrictedLogged those of the log.
	restricted, restrictedLogged map[versionKey]rollout.Use
	// entryModes are the modes that entries apply: those of restricted, and those of versions that only an owner may use
	// because they are not established (see establishedVersion).
	entryModes map[versionKey]event.EndpointMode
	// unsent is set if entryModes changed since they were last sent to the entries.
	unsent bool
	// proposed has the versions of orders that are not committed yet, with the time of the order. They get
	// nothing meanwhile: their exposure counts from the order.
	proposed map[versionKey]event.Time
	// logged is the evidence of each service as last logged, at evidenceAt; lastFailed has the last
	// request of each order that failed on its version.
	logged     map[string]rollout.Evidence
	evidenceAt event.Time
	lastFailed map[string]event.RequestID
}

// versionCount has the free slots and the running requests of a version.
type versionCount struct{ slots, running int }

// supportsRollouts reports whether roll-outs are on and all members read their records.
func (s *State) supportsRollouts() bool {
	return s.settings.Rollouts != nil && s.machine.formatVersion >= level.Rollouts
}

// startRollouts begins to track roll-outs, once all members support them.
func (o *owner) startRollouts(now event.Time, s *State) {
	if o.rollouts != nil || !s.supportsRollouts() {
		return
	}
	o.rollouts = &rolloutOwner{
		tracker: rollout.NewTracker(now, &s.machine.rollouts, *s.settings.Rollouts),
		counted: make(map[versionKey]versionCount),

		proposed:   make(map[versionKey]event.Time),
		logged:     make(map[string]rollout.Evidence),
		lastFailed: make(map[string]event.RequestID),
	}
	o.countVersions(s)
	o.updateModes(now, s)
	o.admission.SetRollouts(o.rollouts)
}

// submitRollout records an order of an operator. It is answered once its record is committed.
func (s *State) submitRollout(now event.Time, e *RolloutSubmitted, out *Effects) {
	if !s.owns(now) {
		s.answerNotLeader(e.CallID, out)
		return
	}
	if s.owner == nil || s.owner.rollouts == nil {
		out.Answers = append(out.Answers, Answer{CallID: e.CallID, Status: StatusUnknown})
		return
	}
	tracker := s.owner.rollouts.tracker
	if !s.hasService(e.Order.Service) && !s.isCommitted(e.Order) {
		out.Answers = append(out.Answers, Answer{CallID: e.CallID, Status: StatusUnknownService})
		return
	}
	r, result := tracker.Submit(now, e.Order)
	switch result {
	case rollout.ResultKnown:
		out.Answers = append(out.Answers, Answer{CallID: e.CallID, Status: StatusDone, Rollout: r})
	case rollout.ResultConflict:
		out.logInfo("rollout rejected: another order is in progress", Field{"service", e.Order.Service},
			Field{"version", e.Order.Version}, Field{"in_progress", r.Version}, Field{"number", r.Number})
		out.Answers = append(out.Answers, Answer{CallID: e.CallID, Status: StatusConflict, Rollout: r})
	case rollout.ResultPropose:
		s.proposeOrder(now, e, r, out)
	}
}

// proposeOrder proposes the first record of an order.
func (s *State) proposeOrder(now event.Time, e *RolloutSubmitted, r rollout.Record, out *Effects) {
	index, err := s.node.Propose(now, encodeRollout(r), &out.Ready)
	if err != nil {
		s.owner.rollouts.tracker.Withdraw(r)
		s.answerNotLeader(e.CallID, out)
		return
	}
	s.pendingCalls[index] = pendingCall{call: e.CallID, term: s.node.Term()}
	if r.Phase == rollout.PhaseCanary {
		s.owner.rollouts.proposed[versionKey{r.Service, r.Version}] = now
		s.owner.updateModes(now, s)
	}
}

// proposedTimeout is how long the version of a proposed order gets nothing if its record is not committed.
const proposedTimeout = event.Second

// hasService reports whether the configuration has a service.
func (s *State) hasService(name string) bool {
	return s.config.table != nil && s.config.table.Service(name) != nil
}

// isCommitted reports whether an order is the newest of its service.
func (s *State) isCommitted(order rollout.Order) bool {
	r, ok := s.machine.rollouts.Get(order.Service)
	return ok && r.Order == order
}

// readRollout answers with the newest order of a service, as committed.
func (s *State) readRollout(now event.Time, e *RolloutRequested, out *Effects) {
	if !s.owns(now) {
		s.answerNotLeader(e.CallID, out)
		return
	}
	r, ok := s.machine.rollouts.Get(e.Service)
	if !ok {
		out.Answers = append(out.Answers, Answer{CallID: e.CallID, Status: StatusNoRollout, ValidUntil: s.node.LeaseEnd(now)})
		return
	}
	out.Answers = append(out.Answers, Answer{CallID: e.CallID, Status: StatusDone, Rollout: r, ValidUntil: s.node.LeaseEnd(now)})
}

// rolloutCommitted applies a committed record of a roll-out.
func (o *owner) rolloutCommitted(now event.Time, c rolloutChange, s *State, out *Effects) {
	if o.rollouts == nil {
		return
	}
	o.rollouts.tracker.Committed(now, c.record)
	delete(o.rollouts.proposed, versionKey{c.record.Service, c.record.Version})
	after, _ := s.machine.rollouts.Get(c.record.Service)
	switch {
	case after.Number != c.before.Number:
		delete(o.rollouts.lastFailed, after.Service)
		out.logInfo("rollout ordered", rolloutFields(after)...)
	case after.Phase != c.before.Phase:
		evidence, _ := o.rollouts.tracker.Evidence(after.Service)
		fields := append(rolloutFields(after), Field{"from", c.before.Phase.String()}, Field{"reason", evidence.Reason.String()})
		out.logInfo("rollout phase changed", append(fields, o.rollouts.evidenceFields(after.Service, evidence)...)...)
		out.RolloutPhases = append(out.RolloutPhases, RolloutPhase{after.Phase, evidence.Reason})
	default:
		return
	}
	o.updateModes(now, s)
}

// tickRollouts advances all orders.
func (o *owner) tickRollouts(now event.Time, s *State, out *Effects) {
	if o.rollouts == nil || !s.owns(now) {
		return
	}
	isCounted := len(o.changedEndpoints)+len(o.rollouts.proposed) > 0 || s.hasOrderInProgress()
	maps.DeleteFunc(o.rollouts.proposed, func(_ versionKey, at event.Time) bool { return now.Sub(at) > proposedTimeout })
	if isCounted {
		o.countVersions(s)
	}
	o.cancelRemoved(s)
	for _, r := range o.rollouts.tracker.Tick(now) {
		if _, err := s.node.Propose(now, encodeRollout(r), &out.Ready); err != nil {
			out.logInfo("rollout record not proposed: no longer the leader", Field{"service", r.Service}, Field{"error", err.Error()})
			return
		}
	}
	if isCounted || o.rollouts.isOutdated() {
		o.updateModes(now, s)
	}
	o.sendRestrictions(out)
	o.rollouts.logEvidence(now, s, out)
}

// isOutdated reports whether a restriction has changed with time.
func (p *rolloutOwner) isOutdated() bool {
	for key, use := range p.restricted {
		if p.useOf(key) != use {
			return true
		}
	}
	return false
}

// hasOrderInProgress reports whether an order has not ended.
func (s *State) hasOrderInProgress() bool {
	for _, service := range s.machine.rollouts.Services() {
		if r, _ := s.machine.rollouts.Get(service); !r.Phase.IsFinal() {
			return true
		}
	}
	return false
}

// cancelRemoved ends the orders of services that the configuration no longer has.
func (o *owner) cancelRemoved(s *State) {
	for _, service := range s.machine.rollouts.Services() {
		if s.config.table != nil && !s.hasService(service) {
			o.rollouts.tracker.Cancel(service)
		}
	}
}

// countVersions tells the tracker the capacity of each version and what runs on it.
func (o *owner) countVersions(s *State) {
	counts := make(map[versionKey]versionCount)
	for id, e := range s.machine.registry.Endpoints {
		key := versionKey{e.Service, e.Version}
		c := counts[key]
		c.running += o.admission.RunningAt(event.EndpointID(id))
		if !e.Leaving && !o.down[id] {
			c.slots += e.Slots
		}
		counts[key] = c
	}
	p := o.rollouts
	for key := range p.counted {
		if _, ok := counts[key]; !ok {
			counts[key] = versionCount{}
		}
	}
	for key, c := range counts {
		if c != p.counted[key] {
			p.tracker.SetCapacity(key.service, key.version, c.slots)
			p.tracker.SetRunning(key.service, key.version, c.running)
		}
	}
	maps.DeleteFunc(counts, func(_ versionKey, c versionCount) bool { return c == versionCount{} })
	p.counted = counts
}

// modeOf returns the mode of an endpoint.
func (o *owner) modeOf(e registry.Endpoint) event.EndpointMode {
	key := versionKey{e.Service, e.Version}
	switch {
	case o.versions.isPending(key):
		return event.ModeBlocked
	case o.rollouts == nil:
		return event.ModeNormal
	default:
		return o.rollouts.modeOf(key)
	}
}

// entryMode returns the mode of a version as entries apply it.
func (o *owner) entryMode(key versionKey) event.EndpointMode {
	switch {
	case o.versions.isPending(key):
		return event.ModeBlocked
	case o.rollouts == nil:
		return event.ModeNormal
	default:
		return o.rollouts.entryModes[key]
	}
}

// mayRestrict reports whether the modes of versions may differ from event.ModeNormal.
func (o *owner) mayRestrict() bool { return o.rollouts != nil || o.versions != nil }

func (p *rolloutOwner) modeOf(key versionKey) event.EndpointMode { return p.useOf(key).Mode }

// useOf returns how a version may be used, and why.
func (p *rolloutOwner) useOf(key versionKey) rollout.Use {
	if _, ok := p.proposed[key]; ok {
		return rollout.Use{Mode: event.ModeBlocked, Cause: rollout.CauseUnproved}
	}
	return p.tracker.Use(key.service, key.version)
}

// updateModes applies the modes of all versions to the endpoints whose mode changed.
func (o *owner) updateModes(now event.Time, s *State) {
	p := o.rollouts
	current := make(map[versionKey]rollout.Use)
	seen := make(map[versionKey]bool)
	for _, e := range s.machine.registry.Endpoints {
		key := versionKey{e.Service, e.Version}
		if seen[key] {
			continue
		}
		seen[key] = true
		if use := p.useOf(key); use.Mode != event.ModeNormal {
			current[key] = use
		}
	}
	forEntries := o.entryModes(s, current, seen)
	if maps.Equal(current, p.restricted) && maps.Equal(forEntries, p.entryModes) {
		return
	}
	before, beforeForEntries := p.restricted, p.entryModes
	p.restricted, p.entryModes, p.unsent = current, forEntries, true
	markChanged := o.hasEntriesBelow(level.Rollouts) // they are sent the mode with the endpoint
	for _, id := range slices.Sorted(maps.Keys(s.machine.registry.Endpoints)) {
		e := s.machine.registry.Endpoints[id]
		key := versionKey{e.Service, e.Version}
		if before[key].Mode != current[key].Mode {
			o.admission.SetEndpoint(now, o.messageEndpoint(e), &o.effects)
		}
		if markChanged && beforeForEntries[key] != forEntries[key] {
			o.changedEndpoints[id] = true
		}
	}
}

// entryModes returns the modes that entries apply, from the restrictions of the owner. An entry that loses the owner does not
// hear of an order: it may know the endpoints of another version from before, so they are restricted from their
// first heartbeat on, while the owner still uses them.
func (o *owner) entryModes(s *State, restricted map[versionKey]rollout.Use, present map[versionKey]bool) map[versionKey]event.EndpointMode {
	all := make(map[versionKey]event.EndpointMode)
	for key, use := range restricted {
		all[key] = use.Mode
	}
	established := o.establishedVersions(s, present)
	for key := range present {
		version, ok := established[key.service]
		if _, isRestricted := all[key]; ok && !isRestricted && key.version != version && key.version != "" {
			all[key] = event.ModeCanary
		}
	}
	return all
}

// establishedVersions returns the version of each service that entries may use without an owner: the one that was
// proved by an order, if any endpoint has it, else that of the endpoint that has not changed for longest, without the
// versions whose last order is not completed.
func (o *owner) establishedVersions(s *State, present map[versionKey]bool) map[string]string {
	versions := make(map[string]string)
	oldest := make(map[string]uint64)
	tracker := o.rollouts.tracker
	for id, e := range s.machine.registry.Endpoints {
		if proved := tracker.Established(e.Service); proved != "" && present[versionKey{e.Service, proved}] {
			versions[e.Service] = proved
			continue
		}
		if e.Version == "" || tracker.IsUnproved(e.Service, e.Version) {
			continue
		}
		revision := s.machine.registry.Changed[id]
		if known, found := oldest[e.Service]; !found || revision < known || revision == known && e.Version < versions[e.Service] {
			oldest[e.Service], versions[e.Service] = revision, e.Version
		}
	}
	return versions
}

// messageEndpoint returns an endpoint with what the owner knows of it.
func (o *owner) messageEndpoint(e registry.Endpoint) message.Endpoint {
	return message.Endpoint{Endpoint: e, Down: o.down[e.ID], Mode: o.modeOf(e)}
}

// hasEntriesBelow reports whether the session of any entry has a lower format version.
func (o *owner) hasEntriesBelow(l level.Level) bool {
	for _, sess := range o.sessions {
		if sess.formatVersion < l {
			return true
		}
	}
	return false
}

// restrictions returns the restricted versions for entries. It may have none: they replace those of an earlier owner.
func (o *owner) restrictions() *message.Restrictions {
	modes := make(map[versionKey]event.EndpointMode)
	if o.rollouts != nil {
		maps.Copy(modes, o.rollouts.entryModes)
	}
	if o.versions != nil {
		for key := range o.versions.pending {
			modes[key] = event.ModeBlocked
		}
	}
	list := make([]message.Restriction, 0, len(modes))
	for key, mode := range modes {
		list = append(list, message.Restriction{Service: key.service, Version: key.version, Mode: mode})
	}
	slices.SortFunc(list, func(a, b message.Restriction) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return &message.Restrictions{List: list}
}

// sendRestrictions sends all entries the restricted versions, if they changed.
func (o *owner) sendRestrictions(out *Effects) {
	if !o.rollouts.unsent {
		return
	}
	o.rollouts.unsent = false
	o.rollouts.logRestrictions(out)
	o.broadcastRestrictions(out)
}

func (o *owner) broadcastRestrictions(out *Effects) {
	m := &message.Envelope{View: &message.View{Restrictions: o.restrictions()}}
	for _, id := range o.sessionIDs() {
		if o.sessions[id].formatVersion >= level.Rollouts {
			out.Sends = append(out.Sends, Send{id, m})
		}
	}
}
