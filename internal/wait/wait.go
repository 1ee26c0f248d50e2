// SPDX-License-Identifier: MIT

// Package wait waits for a duration or a tick, and returns early when a context ends.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Next waits for the next tick or until ctx ends.
func Next(ctx context.Context, t *time.Ticker) {
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
