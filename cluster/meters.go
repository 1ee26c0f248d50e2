// SPDX-License-Identifier: MIT

package cluster

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// meters are the metrics of a control box, listed in docs/METRICS.md. The loop sets the gauges after each
// step.
type meters struct {
	set      *metrics.Set
	owner    *metrics.Gauge
	term     *metrics.Gauge
	version  *metrics.Gauge
	voters   *metrics.Gauge
	sessions *metrics.Gauge
	suspects *metrics.Gauge
	feedback *metrics.Gauge
	slowed   *metrics.Gauge
	grants   *metrics.Counter
	refusals *metrics.Counter
	steps    *metrics.Histogram
	formats  *formatGauges
	rollouts *rolloutMeters
}

func newMeters() meters {
	set := metrics.NewSet()
	m := meters{
		set:      set,
		owner:    set.NewGauge("lynxramp_control_owner", nil),
		term:     set.NewGauge("lynxramp_control_term", nil),
		version:  set.NewGauge("lynxramp_control_configuration_version", nil),
		voters:   set.NewGauge("lynxramp_control_voters", nil),
		sessions: set.NewGauge("lynxramp_control_sessions", nil),
		suspects: set.NewGauge("lynxramp_control_suspects", nil),
		feedback: set.NewGauge("lynxramp_control_asking_endpoints", nil),
		slowed:   set.NewGauge("lynxramp_control_slowed_endpoints", nil),
		grants:   set.NewCounter("lynxramp_control_grants_total"),
		refusals: set.NewCounter("lynxramp_control_refusals_total"),
		steps:    set.NewHistogram("lynxramp_control_step_seconds"),
		formats:  &formatGauges{set: set},
		rollouts: newRolloutMeters(set),
	}
	metrics.RegisterSet(set)
	return m
}

// recordStep records the duration of a step and the state after it.
func (m *meters) recordStep(began time.Time, s *State, out *Effects) {
	m.steps.UpdateDuration(began)
	m.formats.update(began, s)
	m.rollouts.update(began, s, out)
	owner, sessions, suspects, feedback, slowed := 0.0, 0.0, 0.0, 0.0, 0.0
	if s.owner != nil {
		owner, sessions, suspects = 1, float64(len(s.owner.sessions)), float64(len(s.owner.suspects))
		feedback = float64(len(s.owner.feedback.active))
		slowed = float64(s.owner.admission.SlowedEndpoints())
	}
	m.suspects.Set(suspects)
	m.feedback.Set(feedback)
	m.slowed.Set(slowed)
	m.owner.Set(owner)
	m.sessions.Set(sessions)
	m.term.Set(float64(s.node.Term()))
	m.version.Set(float64(s.machine.document.Version))
	m.voters.Set(float64(len(s.node.Members().Voters)))
	for _, send := range out.Sends {
		if d := send.Message.Decisions; d != nil {
			m.grants.Add(len(d.Grants))
			m.refusals.Add(len(d.Refusals))
		}
	}
}

// recordCall records the duration of a call of an operator or an endpoint.
func (m *meters) recordCall(began time.Time, status Status) {
	name := map[Status]string{StatusDone: "done", StatusNotLeader: "elsewhere", StatusUnknown: "unclear", StatusUnknownService: "unknown_service",
		StatusConflict: "conflict", StatusNoRollout: "no_rollout"}[status]
	m.set.GetOrCreateHistogram(`lynxramp_control_call_seconds{status="` + name + `"}`).UpdateDuration(began)
}
