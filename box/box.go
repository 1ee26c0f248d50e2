// SPDX-License-Identifier: MIT

package box

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/dig"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lynxramp.org/catalog"
	"lynxramp.org/entry"
	"lynxramp.org/event"
	"lynxramp.org/internal/logx"
	"lynxramp.org/internal/wait"
	"lynxramp.org/rpc"
	"lynxramp.org/settings"
)

// Keys are the secrets of a box. An empty one lets every call through and is
// for package dev alone.
type Keys struct {
	// Boxes is shared by the system's processes.
	Boxes string
	// Operators is needed for operators' commands.
	Operators string
}

// ReadKeys reads the keys that a box's settings name.
func ReadKeys(s settings.Box) (Keys, error) {
	var k Keys
	var err error
	if k.Boxes, err = settings.ReadKey(s.KeyFile); err != nil {
		return k, err
	}
	if s.HasRole(settings.RoleControl) {
		k.Operators, err = settings.ReadKey(s.OperatorKeyFile)
	}
	return k, err
}

// life tells this process from earlier ones of its box: the time of its start,
// in nanoseconds.
type life uint64

// Box is a process with the roles of its settings.
type Box struct {
	settings settings.Box
	log      *zap.Logger
	entry    *entry.Entry
	callers  *server
	control  *controlPart
}

// New puts a box together and opens its data folder and addresses. Nothing is
// served before Run. c is the catalog that a new control group begins with.
func New(s settings.Box, c catalog.Catalog, keys Keys, log *zap.Logger) (*Box, error) {
	container := dig.New()
	providers := []any{
		func() settings.Box { return s },
		func() catalog.Catalog { return c },
		func() Keys { return keys },
		func() *zap.Logger { return log.With(zap.String("box", string(s.ID))) },
		func() life { return life(time.Now().UnixNano()) },
		event.NewClock,
		newBoxClient,
		newControl,
		newEntry,
		newBox,
	}
	for _, p := range providers {
		if err := container.Provide(p); err != nil {
			return nil, errors.Wrap(err, "wiring")
		}
	}
	var b *Box
	err := container.Invoke(func(made *Box) { b = made })
	return b, dig.RootCause(err)
}

// newBoxClient returns the HTTP client for calls between boxes.
func newBoxClient(keys Keys) *http.Client {
	return &http.Client{Transport: rpc.WithKey(keys.Boxes, &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	})}
}

func newEntry(s settings.Box, keys Keys, l life, client *http.Client, log *zap.Logger) *entry.Entry {
	var schedulers []entry.Scheduler
	for _, p := range s.Control {
		schedulers = append(schedulers, entry.Scheduler{
			Address: p.Address,
			Client:  rpc.NewSchedulerProtobufClient("http://"+p.Address, client),
		})
	}
	return entry.New(entry.Config{
		Box:          s.ID,
		Instance:     uint64(l),
		Key:          keys.Boxes,
		MaxBody:      s.Limits.MaxBodyBytes,
		BodyTimeout:  time.Duration(s.Limits.BodyTimeout),
		MaxRequests:  s.Limits.MaxRequests,
		MaxHeldBytes: s.Limits.MaxHeldBytes,
	}, schedulers, log)
}

func newBox(s settings.Box, e *entry.Entry, c *controlPart, log *zap.Logger) (*Box, error) {
	b := &Box{settings: s, log: log, entry: e, control: c}
	if !s.HasRole(settings.RoleEntry) {
		return b, nil
	}
	var err error
	b.callers, err = listen(s.Listen.Callers, e.Handler(), log)
	return b, err
}

// Run serves until ctx ends, then drains: new requests go elsewhere, those in
// flight are finished, another box takes the lead.
func (b *Box) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	group, work := errgroup.WithContext(work)
	if b.control != nil {
		group.Go(func() error { return b.control.run(work) })
	}
	if b.callers != nil {
		group.Go(func() error { b.entry.Run(work); return nil })
		group.Go(b.callers.serve)
	}
	b.log.Info("serving", zap.Any("roles", b.settings.Roles), zap.String("data_centre", b.settings.DataCentre))
	select {
	case <-ctx.Done():
	case <-work.Done():
		return group.Wait()
	}
	err := b.drain()
	stop()
	if waitErr := group.Wait(); err == nil {
		err = waitErr
	}
	b.log.Info("stopped", logx.Err(err))
	return err
}

// drain stops the callers' side first: its requests need the other side.
func (b *Box) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(b.settings.Drain.Timeout))
	defer cancel()
	b.log.Info("draining", zap.Int("requests", b.entry.InFlight()))
	var err error
	if b.callers != nil {
		b.entry.StartDraining()
		wait.For(ctx, time.Duration(b.settings.Drain.ShutdownDelay))
		err = b.callers.drain(ctx)
	}
	if b.control != nil {
		b.control.handOver(ctx)
	}
	return err
}
