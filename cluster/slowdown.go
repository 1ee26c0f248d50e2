// SPDX-License-Identifier: MIT

package cluster

import (
	"lynxramp.org/event"
	"lynxramp.org/sched"
)

// maxSlowdownLogLines bounds the log lines about slowed endpoints, in lines per second.
const maxSlowdownLogLines = 10

// aheadLogInterval is how often it is logged how far plain calls are granted ahead.
const aheadLogInterval = 10 * event.Second

// slowdownLogger logs which endpoints the owner treats as slowed, at a bounded rate. The zero value has logged
// nothing.
type slowdownLogger struct {
	lines, suppressed int // since windowStart
	windowStart       event.Time
	aheadLoggedAt     event.Time
}

// logSlowdowns logs the endpoints that began or ceased to be treated as slowed.
func (o *owner) logSlowdowns(now event.Time, out *Effects) {
	l := &o.slowdowns
	if now.Sub(l.windowStart) >= event.Second {
		if l.suppressed > 0 {
			counts := o.admission.SlowdownCounts()
			out.logInfo("suppressed log lines on slowed endpoints", Field{"count", l.suppressed}, Field{"slowed", o.admission.SlowedEndpoints()},
				Field{"reports_used", counts.Used}, Field{"reports_ignored", counts.Ignored})
		}
		l.lines, l.suppressed, l.windowStart = 0, 0, now
	}
	changes, suppressed := o.admission.TakeSlowdownChanges()
	l.suppressed += suppressed
	for _, c := range changes {
		if l.lines == maxSlowdownLogLines {
			l.suppressed++
			continue
		}
		l.lines++
		out.logInfo("endpoint slowdown changed", Field{"endpoint", string(c.Endpoint)}, Field{"slowed", c.Slowed},
			Field{"reported", c.Reported}, Field{"age_ms", c.Age.Milliseconds()}, Field{"expected", c.Expected}, Field{"agreement", c.Agreement})
	}
}

// logAhead logs how far plain calls are granted ahead of the end of others.
func (o *owner) logAhead(now event.Time, out *Effects) {
	if now.Sub(o.slowdowns.aheadLoggedAt) < aheadLogInterval {
		return
	}
	o.slowdowns.aheadLoggedAt = now
	o.admission.Ahead(now, func(service string, a sched.AheadStatus) {
		out.logInfo("plain calls granted ahead", Field{"service", service}, Field{"held_ms", a.Held.Milliseconds()},
			Field{"taken_ms", a.Taken.Milliseconds()}, Field{"ratio", a.Ratio})
	})
}
