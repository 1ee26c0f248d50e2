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
	"lynxramp.org/internal/bounded"
	"lynxramp.org/internal/logx"
	"lynxramp.org/internal/wait"
	"lynxramp.org/rpc"
	"lynxramp.org/settings"
)

// Keys are the shared secrets of a box. An empty key disables authentication;
// only package dev uses that.
type Keys struct {
	// Boxes authenticates calls between the system's processes.
	Boxes string
	// Operators authenticates operators' calls.
	Operators string
}

// ReadKeys reads the key files that a box's settings name.
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

// instance distinguishes this process from earlier ones of its box: its start
// time, in nanoseconds.
type instance uint64

// Box is a process with the roles that its settings list.
type Box struct {
	settings settings.Box
	log      *zap.Logger
	entry    *entry.Entry
	callers  *server
	control  *controlRole
}

// New creates a box and opens its data directory and listeners. No request is
// served before Run. c is the initial catalog of a new control group.
func New(s settings.Box, c catalog.Catalog, keys Keys, log *zap.Logger) (*Box, error) {
	container := dig.New()
	providers := []any{
		func() settings.Box { return s },
		func() catalog.Catalog { return c },
		func() Keys { return keys },
		func() *zap.Logger { return log.With(zap.String("box", string(s.ID))) },
		func() instance { return instance(time.Now().UnixNano()) },
		event.NewClock,
		newBoxClient,
		newControl,
		newEntry,
		newBox,
	}
	for _, p := range providers {
		if err := container.Provide(p); err != nil {
			return nil, errors.Wrap(err, "dependency injection")
		}
	}
	var b *Box
	err := container.Invoke(func(built *Box) { b = built })
	return b, dig.RootCause(err)
}

// newBoxClient returns the HTTP client for calls between boxes.
func newBoxClient(keys Keys) *http.Client {
	transport := bounded.NewTransport(&net.Dialer{Timeout: time.Second})
	transport.MaxIdleConnsPerHost = 8
	transport.IdleConnTimeout = time.Minute
	return rpc.NewClient(keys.Boxes, transport)
}

func newEntry(s settings.Box, keys Keys, i instance, client *http.Client, log *zap.Logger) *entry.Entry {
	var schedulers []entry.Scheduler
	for _, p := range s.Control {
		schedulers = append(schedulers, entry.Scheduler{
			Address: p.Address,
			Client:  rpc.NewSchedulerProtobufClient("http://"+p.Address, client),
		})
	}
	return entry.New(entry.Config{
		Box:          s.ID,
		Instance:     uint64(i),
		Key:          keys.Boxes,
		MaxBody:      s.Limits.MaxBodyBytes,
		BodyTimeout:  time.Duration(s.Limits.BodyTimeout),
		MaxRequests:  s.Limits.MaxRequests,
		MaxHeldBytes: s.Limits.MaxHeldBytes,
	}, schedulers, log)
}

func newBox(s settings.Box, e *entry.Entry, c *controlRole, log *zap.Logger) (*Box, error) {
	b := &Box{settings: s, log: log, entry: e, control: c}
	if !s.HasRole(settings.RoleEntry) {
		return b, nil
	}
	var err error
	b.callers, err = listen(s.Listen.Callers, e.Handler(), log)
	return b, err
}

// Run serves until ctx ends, then drains: new requests are refused, those in
// flight finish, and leadership is transferred to another box.
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

// drain stops the entry role before the control role, which its requests in
// flight still need.
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
		b.control.transferLeadership(ctx)
	}
	return err
}
