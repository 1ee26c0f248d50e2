// SPDX-License-Identifier: MIT

package gateway

import (
	"net"
	"sync/atomic"
	"time"

	"lynxramp.org/event"
)

// probeValidity is how long the result of a probe counts.
const probeValidity = 300 * event.Millisecond

// controlProbe measures how long the kernel of a control box takes to accept a connection. It tells a slow link from a
// slow owner.
type controlProbe struct {
	startedAt event.Time
	result    atomic.Int64 // event.Duration of the last probe; 0 while one is under way, negative if it failed
}

// delay returns what the last probe took, or has taken so far; 0 if that is unknown.
func (p *controlProbe) delay(now event.Time) event.Duration {
	result := event.Duration(p.result.Load())
	switch {
	case p.startedAt == 0 || result < 0:
		return 0
	case result == 0:
		return now.Sub(p.startedAt)
	case now.Sub(p.startedAt) > result+probeValidity:
		return 0
	}
	return result
}

// start starts a probe unless one is under way.
func (p *controlProbe) start(now event.Time, a *Agent) {
	if p.startedAt != 0 && p.result.Load() == 0 {
		return
	}
	p.startedAt = now
	p.result.Store(0)
	a.input <- func(event.Time) {
		address := a.client.otherControlBox()
		go func() { p.result.Store(int64(connectionTime(address))) }()
	}
}

// connectionTime returns how long connecting to an address takes, connectTimeout at most; -1 if it is refused.
func connectionTime(address string) event.Duration {
	began := time.Now()
	c, err := net.DialTimeout("tcp", address, connectTimeout)
	switch {
	case err == nil:
		_ = c.Close() // nothing was sent
	case !isTimeout(err):
		return -1
	}
	return max(1, time.Since(began))
}
