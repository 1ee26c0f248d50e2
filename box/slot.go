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

// Slot is the process beside one endpoint.
type Slot struct {
	settings   settings.Slot
	log        *zap.Logger
	slot       *slot.Slot
	schedulers []slot.Scheduler
	server     *server
}

// NewSlot puts a slot together and opens its address. Nothing is served before
// Run.
func NewSlot(s settings.Slot, key string, log *zap.Logger) (*Slot, error) {
	log = log.With(zap.String("slot", string(s.Endpoint)))
	guard := slot.New(slot.Config{
		Endpoint:    s.Endpoint,
		Pool:        s.Pool,
		EndpointURL: "http://" + s.EndpointAddress,
		Address:     s.Address,
		Model:       s.Kind == catalog.KindModel,
		MaxBody:     s.MaxBodyBytes,
	}, event.Incarnation(time.Now().UnixNano()), log)
	l, err := listen(s.Listen, guard.Handler(key), log)
	if err != nil {
		return nil, err
	}
	made := &Slot{settings: s, log: log, slot: guard, server: l}
	client := newBoxClient(Keys{Boxes: key})
	for _, p := range s.Control {
		made.schedulers = append(made.schedulers, slot.Scheduler{
			Address: p.Address,
			Client:  rpc.NewSchedulerProtobufClient("http://"+p.Address, client),
		})
	}
	return made, nil
}

// Run serves until ctx ends, then drains: new work is denied, what runs is
// finished and fetched.
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
	bound, cancel := context.WithTimeout(context.Background(), time.Duration(s.settings.Drain.Timeout))
	defer cancel()
	err := s.slot.Drain(bound)
	if other := s.server.drain(bound); err == nil {
		err = other
	}
	stop()
	if other := group.Wait(); err == nil {
		err = other
	}
	s.log.Info("stopped", logx.Err(err))
	return err
}
