// SPDX-License-Identifier: MIT

package cluster

import (
	"lynxramp.org/event"
)

// maxSlowdownLogLines bounds the log lines about slowed endpoints, in lines per second.
const maxSlowdownLogLines = 10

// slowdownLogger logs which endpoints the owner treats as slowed, at a bounded rate. The zero value has logged
// nothing.
type slowdownLogger struct {
	lines, suppressed int // since windowStart
	windowStart       event.Time
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
		*l = slowdownLogger{windowStart: now}
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
