// SPDX-License-Identifier: MIT

package box

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lynxramp.org/catalog"
	"lynxramp.org/event"
	"lynxramp.org/internal/logx"
	"lynxramp.org/rpc"
	"lynxramp.org/settings"
	"lynxramp.org/slot"
)

// Slot is the sidecar process of one endpoint.
type Slot struct {
	settings   settings.Slot
	log        *zap.Logger
	slot       *slot.Slot
	schedulers []slot.Scheduler
	server     *server
}

// NewSlot creates a slot and opens its listener. No request is served before Run.
func NewSlot(s settings.Slot, key string, log *zap.Logger) (*Slot, error) {
	log = log.With(zap.String("slot", string(s.Endpoint)))
	core := slot.New(slot.Config{
		Endpoint:    s.Endpoint,
		Pool:        s.Pool,
		EndpointURL: "http://" + s.EndpointAddress,
		Address:     s.Address,
		IsModel:     s.Kind == catalog.KindModel,
		MaxBody:     s.MaxBodyBytes,
	}, event.Incarnation(time.Now().UnixNano()), log)
	l, err := listen(s.Listen, core.Handler(key), log)
	if err != nil {
		return nil, err
	}
	created := &Slot{settings: s, log: log, slot: core, server: l}
	client := newBoxClient(Keys{Boxes: key})
	for _, p := range s.Control {
		created.schedulers = append(created.schedulers, slot.Scheduler{
			Address: p.Address,
			Client:  rpc.NewSchedulerProtobufClient("http://"+p.Address, client),
		})
	}
	return created, nil
}

// Run serves until ctx ends, then drains: new requests are denied, and those in
// flight finish and their results are fetched.
func (s *Slot) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	group, work := errgroup.WithContext(work)
	group.Go(s.server.serve)
	group.Go(func() error { s.slot.Report(work, s.schedulers); return nil })
	group.Go(func() error { s.slot.Sweep(work); return nil })
	s.log.Info("serving", zap.String("pool", s.settings.Pool), zap.String("data_centre", s.settings.DataCentre))
	select {
	case <-ctx.Done():
	case <-work.Done():
		return group.Wait()
	}
	s.log.Info("draining", zap.Int("held", s.slot.InFlight()))
	drainCtx, cancel := context.WithTimeout(context.Background(), time.Duration(s.settings.Drain.Timeout))
	defer cancel()
	err := s.slot.Drain(drainCtx)
	if shutdownErr := s.server.drain(drainCtx); err == nil {
		err = shutdownErr
	}
	stop()
	if shutdownErr := group.Wait(); err == nil {
		err = shutdownErr
	}
	s.log.Info("stopped", logx.Err(err))
	return err
}
