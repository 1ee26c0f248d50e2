// SPDX-License-Identifier: MIT

package gateway

import (
	"time"

	"go.uber.org/zap"

	"lynxramp.org/heldmem"
	"lynxramp.org/reqlimit"
)

// HeadLimiter returns the limiter of the heads of callers' requests, for the callers' http.Server. They are held by the
// gateway's account.
func (g *Gateway) HeadLimiter() *reqlimit.Limiter {
	return &reqlimit.Limiter{Account: func() *heldmem.Account { return g.account }, Refused: g.reportHead}
}

// reportHead counts and logs a request whose head was not read on.
func (g *Gateway) reportHead(sender string, why reqlimit.Reason, read, limit int) {
	g.meters.refusedHeads(why).Inc()
	if g.refusedLimiter.Allow(time.Now(), 1) {
		g.log.Warn("request head refused", zap.String("caller", sender), zap.Stringer("why", why), zap.Int("read", read), zap.Int("limit", limit))
	}
}
