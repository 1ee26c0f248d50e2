// SPDX-License-Identifier: MIT

package cluster

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lynxramp.org/rollout"
)

// rolloutGaugesInterval is how often the gauges of roll-outs are updated.
const rolloutGaugesInterval = time.Second

// rolloutMeters are the metrics of roll-outs.
type rolloutMeters struct {
	set       *metrics.Set
	updatedAt time.Time
	phases    [rollout.PhaseRolledBack + 1]*metrics.Gauge // services by the phase of their newest order
	exposed   *metrics.Gauge                              // over the orders in progress, at the owner
	ceiling   *metrics.Gauge
	// endpoints and versions that an owner restricts, by cause
	restrictedEndpoints, restrictedVersions [len(restrictionCauses)]*metrics.Gauge
}

// restrictionCauses are the causes for which an owner restricts versions.
var restrictionCauses = [...]rollout.Cause{rollout.CauseUnproved, rollout.CauseRolledBack, rollout.CauseShifting, rollout.CauseStopping}

func newRolloutMeters(set *metrics.Set) *rolloutMeters {
	m := &rolloutMeters{
		set:     set,
		exposed: set.NewGauge("lynxramp_control_rollout_exposed", nil),
		ceiling: set.NewGauge("lynxramp_control_rollout_ceiling", nil),
	}
	for phase := range m.phases {
		m.phases[phase] = set.NewGauge(`lynxramp_control_rollouts{phase="`+rollout.Phase(phase).String()+`"}`, nil)
	}
	for i, cause := range restrictionCauses {
		label := `{cause="` + cause.String() + `"}`
		m.restrictedVersions[i] = set.NewGauge("lynxramp_control_restricted_versions"+label, nil)
		m.restrictedEndpoints[i] = set.NewGauge("lynxramp_control_restricted_endpoints"+label, nil)
	}
	m.verdicts(rollout.PhaseCompleted, rollout.ReasonDrained)
	m.verdicts(rollout.PhaseRolledBack, rollout.ReasonFails)
	return m
}

// verdicts counts the changes of phase that this owner committed.
func (m *rolloutMeters) verdicts(phase rollout.Phase, reason rollout.Reason) *metrics.Counter {
	return m.set.GetOrCreateCounter(`lynxramp_control_rollout_phases_total{phase="` + phase.String() + `",reason="` + reason.String() + `"}`)
}

// update counts changes of phase, and sets the gauges at most once per interval.
func (m *rolloutMeters) update(now time.Time, s *State, out *Effects) {
	for _, p := range out.RolloutPhases {
		m.verdicts(p.Phase, p.Reason).Inc()
	}
	if now.Sub(m.updatedAt) < rolloutGaugesInterval {
		return
	}
	m.updatedAt = now
	var phases [len(m.phases)]int
	exposed, ceiling := 0, 0
	for _, service := range s.machine.rollouts.Services() {
		r, _ := s.machine.rollouts.Get(service)
		phases[r.Phase]++
		if s.owner == nil || s.owner.rollouts == nil || r.Phase.IsFinal() {
			continue
		}
		evidence, _ := s.owner.rollouts.tracker.Evidence(service)
		exposed, ceiling = exposed+evidence.Exposed, ceiling+evidence.Ceiling
	}
	for phase, count := range phases {
		m.phases[phase].Set(float64(count))
	}
	m.exposed.Set(float64(exposed))
	m.ceiling.Set(float64(ceiling))
	m.updateRestricted(s)
}

// updateRestricted counts what this box restricts if it is the owner.
func (m *rolloutMeters) updateRestricted(s *State) {
	versions, endpoints := make(map[rollout.Cause]int), make(map[rollout.Cause]int)
	if s.owner != nil && s.owner.rollouts != nil && len(s.owner.rollouts.restricted) > 0 {
		restricted := s.owner.rollouts.restricted
		for _, use := range restricted {
			versions[use.Cause]++
		}
		for _, e := range s.machine.registry.Endpoints {
			endpoints[restricted[versionKey{e.Service, e.Version}].Cause]++
		}
	}
	for i, cause := range restrictionCauses {
		m.restrictedVersions[i].Set(float64(versions[cause]))
		m.restrictedEndpoints[i].Set(float64(endpoints[cause]))
	}
}
