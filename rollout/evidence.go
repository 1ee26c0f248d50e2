// SPDX-License-Identifier: MIT

package rollout

import "lynxramp.org/event"

const minSamples = 8

type evidence struct {
	samples, failed, controlSamples, controlFailed int
}

// Observe adds the outcome of a request.
func (t *Tracker) Observe(_ event.Time, sample Sample) {
	s, p := t.active(sample.Service)
	if p == nil {
		return
	}
	p.evidence.add(sample, sample.Version == s.newest.record.Version)
}

func (e *evidence) add(s Sample, isTarget bool) {
	failed := 0
	if s.Failed {
		failed = 1
	}
	if isTarget {
		e.samples++
		e.failed += failed
		return
	}
	e.controlSamples++
	e.controlFailed += failed
}

// judge looks for evidence against the version.
func (p *progress) judge() {
	e := &p.evidence
	if e.samples >= minSamples && e.failed*4 > e.samples && e.failed*e.controlSamples > 2*e.controlFailed*e.samples {
		p.condemn(ReasonFails)
	}
}

// isProved reports whether there is enough evidence for the version.
func (p *progress) isProved() bool { return p.evidence.samples >= minSamples }
