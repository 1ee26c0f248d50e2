// SPDX-License-Identifier: MIT

package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/event"
	"lynxramp.org/internal/logx"
)

// This file handles the load reports of endpoints in their responses.

// receivedLoad is the slowdown in a response that is not yet passed on to the scheduler. The zero value is none.
type receivedLoad struct {
	slowdown float64
	at       time.Time
}

// take returns the slowdown and its age, and clears it, so that each report is passed on once.
func (l *receivedLoad) take() (slowdown float64, age event.Duration) {
	if l.slowdown == 0 {
		return 0, 0
	}
	slowdown, age = l.slowdown, time.Since(l.at)
	*l = receivedLoad{}
	return slowdown, age
}

// receiveLoad records the load report in a response. A misdirected response comes from another endpoint than the
// one called, so its report is ignored.
func (c *call) receiveLoad(a *attempt, r *http.Response) {
	g := c.gateway
	if g.config.ParseLoad == nil || r.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	load, ok, err := g.config.ParseLoad(r.Header)
	if err != nil {
		g.meters.loadReports(loadInvalid).Inc()
		if g.loadLimiter.Allow(time.Now(), 1) {
			g.log.Warn("invalid load report in endpoint response; ignoring it", zap.String("endpoint", string(a.decision.Endpoint)),
				zap.String("request", c.callerID), logx.Err(err))
		}
		return
	}
	switch {
	case !ok:
	case load.HasSlowdown:
		g.meters.loadReports(loadSlowdown).Inc()
		a.load = receivedLoad{slowdown: load.Slowdown, at: time.Now()}
	default:
		g.meters.loadReports(loadBasic).Inc()
	}
}
