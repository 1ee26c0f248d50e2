// SPDX-License-Identifier: MIT

package gateway

import (
	"time"

	"go.uber.org/zap"

	"lynxramp.org/event"
)

// slowdownLines is the number of lines a second about slowed endpoints of a degraded entry.
const slowdownLines = 5

// logSlowdowns logs the endpoints that began or ceased to be treated as slowed, while degraded, and updates their
// number.
func (a *OwnerClient) logSlowdowns(now event.Time) {
	a.slowedEndpoints.Store(int64(a.degraded.SlowedEndpoints()))
	changes, _ := a.degraded.TakeSlowdownChanges()
	for _, c := range changes {
		if !a.slowdownLimiter.Allow(time.Unix(0, int64(now)), 1) {
			continue
		}
		a.log.Info("endpoint slowdown changed", zap.String("endpoint", string(c.Endpoint)), zap.Bool("slowed", c.Slowed),
			zap.Float64("reported", c.Reported), zap.Duration("age", c.Age), zap.Float64("expected", c.Expected),
			zap.Float64("agreement", c.Agreement), zap.Bool("alone", true))
	}
}
