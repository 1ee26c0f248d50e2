// SPDX-License-Identifier: MIT

package store

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/consensus"
	"lynxramp.org/internal/logx"
)

// Times of a disk that refuses writes.
const (
	retryEvery = 100 * time.Millisecond
	sayEvery   = 2 * time.Second
)

// Patient is a Disk that asks again and again when the one beneath it refuses a
// write, as a full one does: what has not been saved is not promised, and the
// process goes on. Save returns an error only when the context ends.
type Patient struct {
	Disk    Disk
	Context context.Context
	Log     *zap.Logger
}

// Save implements Disk.
func (p *Patient) Save(r *consensus.Ready) error {
	said := time.Time{}
	began := time.Now()
	for {
		err := p.Disk.Save(r)
		if err == nil {
			if !said.IsZero() {
				p.Log.Info("disk takes writes again", zap.Duration("after", time.Since(began)))
			}
			return nil
		}
		if time.Since(said) > sayEvery {
			said = time.Now()
			p.Log.Warn("disk refuses writes", logx.Err(err))
		}
		select {
		case <-p.Context.Done():
			return err
		case <-time.After(retryEvery):
		}
	}
}
