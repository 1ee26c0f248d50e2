// SPDX-License-Identifier: MIT

package fleet

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"lynxramp.org/heldmem"
	"lynxramp.org/internal/logx"
	"lynxramp.org/reqlimit"
	"lynxramp.org/settings"
)

const (
	// defaultControlBytes is the account of a control box whose memory is not known, in bytes.
	defaultControlBytes = 64 << 20
	// refusedLines is the number of log lines a second about requests that were not read on.
	refusedLines = 20
	// linkShare is the part of a box's memory that long messages on links may take while they are received.
	linkShare = 0.2
)

// linkBytes returns the bytes of long messages that a box may receive at the same time; 0 if its memory is not known.
func linkBytes(f settings.Fleet) int64 {
	return int64(float64(f.Resources.MemoryMB<<20) * linkShare)
}

// newControlLimiter returns the limiter of the requests of operators and endpoints at a control box. They may take three
// quarters of the box's account.
func newControlLimiter(f settings.Fleet, log *zap.Logger) *reqlimit.Limiter {
	total := accountBytes(f)
	if total == 0 {
		total = defaultControlBytes
	}
	account := heldmem.NewAccount(heldmem.Limits{Total: total})
	var counters [len(reqlimit.Reasons)]*metrics.Counter
	for _, why := range reqlimit.Reasons {
		counters[why] = metrics.GetOrCreateCounter(fmt.Sprintf("lynxramp_control_refused_requests_total{why=%q}", why))
	}
	metrics.GetOrCreateGauge("lynxramp_control_held_bytes", func() float64 {
		return float64(account.Held(heldmem.KindBody) + account.Held(heldmem.KindCallerHead))
	})
	lines := logx.NewRateLimiter(refusedLines)
	return &reqlimit.Limiter{
		Account: func() *heldmem.Account { return account },
		Refused: func(sender string, why reqlimit.Reason, read, limit int) {
			counters[why].Inc()
			if lines.Allow(time.Now(), 1) {
				log.Warn("request refused", zap.String("sender", sender), zap.Stringer("why", why), zap.Int("read", read),
					zap.Int("limit", limit), zap.Uint64("lines_left_out", lines.TakeDropped()))
			}
		},
	}
}
