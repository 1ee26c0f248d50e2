// SPDX-License-Identifier: MIT

package cluster

import (
	"maps"
	"slices"

	"lynxramp.org/event"
	"lynxramp.org/rollout"
)

// This file logs roll-outs and passes the outcomes of requests to their tracker.

const (
	// evidenceLogInterval is how often the evidence of orders in progress is logged, if it changed.
	evidenceLogInterval = event.Second
	// maxEvidenceLogLines bounds the lines of one interval.
	maxEvidenceLogLines = 10
	// maxRestrictionLogLines bounds the lines of one change of the restricted versions.
	maxRestrictionLogLines = 50
)

// RolloutPhase is a change of phase of an order, and why.
type RolloutPhase struct {
	Phase  rollout.Phase
	Reason rollout.Reason
}

// Granted implements admission.Rollouts.
func (p *rolloutOwner) Granted(service, version string) {
	p.tracker.Granted(service, version)
}

// Allowance implements admission.Rollouts.
func (p *rolloutOwner) Allowance(service string) int { return p.tracker.Allowance(service) }

// Observe implements admission.Rollouts.
func (p *rolloutOwner) Observe(id event.RequestID, s rollout.Sample) {
	if s.Failed && p.tracker.Mode(s.Service, s.Version) == event.ModeCanary {
		p.lastFailed[s.Service] = id
	}
	p.tracker.Observe(s)
}

// rolloutFields are the fields of a record in log lines.
func rolloutFields(r rollout.Record) []Field {
	return []Field{
		{"service", r.Service}, {"version", r.Version}, {"number", r.Number}, {"phase", r.Phase.String()},
		{"elapsed_ms", r.Elapsed.Milliseconds()}, {"duration_ms", r.Duration.Milliseconds()}, {"requests", r.Requests},
	}
}

// evidenceFields are the fields of the evidence in log lines.
func (p *rolloutOwner) evidenceFields(service string, e rollout.Evidence) []Field {
	return []Field{
		{"responses", e.Responses}, {"failed", e.Failed}, {"others", e.ControlResponses}, {"others_failed", e.ControlFailed},
		{"fails_factor", e.Fails}, {"slow_factor", e.Slow}, {"exposed", e.Exposed}, {"ceiling", e.Ceiling},
		{"last_failed", string(p.lastFailed[service])},
	}
}

// logEvidence logs the evidence of the orders in progress that changed.
func (p *rolloutOwner) logEvidence(now event.Time, s *State, out *Effects) {
	if now.Sub(p.evidenceAt) < evidenceLogInterval {
		return
	}
	p.evidenceAt = now
	lines := 0
	for _, service := range s.machine.rollouts.Services() {
		r, _ := s.machine.rollouts.Get(service)
		evidence, ok := p.tracker.Evidence(service)
		if r.Phase.IsFinal() || !ok || evidence == p.logged[service] || lines == maxEvidenceLogLines {
			continue
		}
		p.logged[service] = evidence
		lines++
		out.logInfo("rollout evidence", append(rolloutFields(r), p.evidenceFields(service, evidence)...)...)
	}
}

// logRestrictions logs the versions whose restriction changed. A new owner logs all restricted ones that have endpoints.
func (p *rolloutOwner) logRestrictions(out *Effects) {
	before, after := p.restrictedLogged, p.withAbsent(p.restricted)
	p.restrictedLogged = after
	changed := maps.Clone(after)
	for key := range before {
		changed[key] = after[key]
	}
	maps.DeleteFunc(changed, func(key versionKey, use rollout.Use) bool { return before[key] == use })
	for i, key := range slices.SortedFunc(maps.Keys(changed), compareVersionKeys) {
		if i == maxRestrictionLogLines {
			out.logInfo("restrictions of further versions changed", Field{"versions", len(changed) - i})
			return
		}
		use := changed[key]
		out.logInfo("restriction of a version changed", Field{"service", key.service}, Field{"version", key.version},
			Field{"mode", use.Mode.String()}, Field{"cause", use.Cause.String()}, Field{"order", use.Number}, Field{"before", before[key].Cause.String()})
	}
}

// withAbsent adds the logged restrictions that still hold to those of versions with endpoints.
func (p *rolloutOwner) withAbsent(restricted map[versionKey]rollout.Use) map[versionKey]rollout.Use {
	all := make(map[versionKey]rollout.Use, len(restricted))
	maps.Copy(all, restricted)
	for key := range p.restrictedLogged {
		if _, hasEndpoints := restricted[key]; hasEndpoints {
			continue
		}
		if use := p.useOf(key); use.Mode != event.ModeNormal {
			all[key] = use
		}
	}
	return all
}
