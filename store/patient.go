// SPDX-License-Identifier: MIT

package store

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/consensus"
	"lynxramp.org/internal/logx"
)

const (
	retryInterval = 100 * time.Millisecond
	logInterval   = 2 * time.Second
)

// RetryingDisk retries failed saves, as on a full disk, so that the process continues; nothing counts
// as saved meanwhile. Save returns an error only when the context is done.
type RetryingDisk struct {
	Disk    Disk
	Context context.Context
	Log     *zap.Logger
}

// Save implements Disk.
func (d *RetryingDisk) Save(r *consensus.Ready) error {
	lastLogged := time.Time{}
	began := time.Now()
	for {
		err := d.Disk.Save(r)
		if err == nil {
			if !lastLogged.IsZero() {
				d.Log.Info("saving to disk succeeded again", zap.Duration("after", time.Since(began)))
			}
			return nil
		}
		if time.Since(lastLogged) > logInterval {
			lastLogged = time.Now()
			d.Log.Warn("saving to disk failed; retrying", logx.Err(err))
		}
		select {
		case <-d.Context.Done():
			return err
		case <-time.After(retryInterval):
		}
	}
}
