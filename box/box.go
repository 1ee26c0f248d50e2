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
	"lynxramp.org/control"
	"lynxramp.org/entry"
	"lynxramp.org/event"
	"lynxramp.org/internal/logx"
	"lynxramp.org/rpc"
	"lynxramp.org/settings"
)

// Key is the key that the system's processes share.
type Key string

// life tells this process from earlier ones of its box: the time of its start,
// in nanoseconds.
type life uint64

// Box is a process with the roles of its settings.
type Box struct {
	settings settings.Box
	log      *zap.Logger
	entry    *entry.Entry
	links    *links
	loop     *control.Loop
	service  *control.Service
	catalog  catalog.Catalog
	callers  *server
	boxes    *server
}

// New puts a box together and opens its addresses. Nothing is served before
// Run.
func New(s settings.Box, c catalog.Catalog, key Key, log *zap.Logger) (*Box, error) {
	container := dig.New()
	providers := []any{
		func() settings.Box { return s },
		func() catalog.Catalog { return c },
		func() Key { return key },
		func() *zap.Logger { return log.With(zap.String("box", string(s.ID))) },
		func() life { return life(time.Now().UnixNano()) },
		event.NewClock,
		catalog.NewIndex,
		newState,
		control.NewOutboxes,
		func(o *control.Outboxes) control.Carrier { return o },
		control.NewLoop,
		newService,
		newBoxClient,
		newLinks,
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

func newState(l life) *control.State { return control.NewState(uint64(l)) }

func newService(loop *control.Loop, o *control.Outboxes, l life) *control.Service {
	return control.NewService(loop, o, event.Epoch(l))
}

// newBoxClient returns the HTTP client for calls between boxes.
func newBoxClient(key Key) *http.Client {
	return &http.Client{Transport: rpc.WithKey(string(key), &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	})}
}

func newEntry(s settings.Box, key Key, l life, r *links, x *catalog.Index, log *zap.Logger) *entry.Entry {
	return entry.New(entry.Config{
		Box:         s.ID,
		Life:        uint64(l),
		Key:         string(key),
		MaxBody:     s.Limits.BodyBytes,
		MaxRequests: s.Limits.Requests,
		MaxHeld:     s.Limits.HeldBytes,
	}, r, x, log)
}

// parts are what newBox puts together.
type parts struct {
	dig.In

	Settings settings.Box
	Catalog  catalog.Catalog
	Key      Key
	Log      *zap.Logger
	Entry    *entry.Entry
	Links    *links
	Loop     *control.Loop
	Service  *control.Service
}

func newBox(p parts) (*Box, error) {
	b := &Box{
		settings: p.Settings,
		catalog:  p.Catalog,
		log:      p.Log,
		entry:    p.Entry,
		links:    p.Links,
		loop:     p.Loop,
		service:  p.Service,
	}
	var err error
	if p.Settings.Has(settings.RoleControl) {
		h := rpc.RequireKey(string(p.Key), rpc.NewSchedulerServer(p.Service))
		if b.boxes, err = listen(p.Settings.Listen.Boxes, h, p.Log); err != nil {
			return nil, err
		}
	}
	if p.Settings.Has(settings.RoleEntry) {
		if b.callers, err = listen(p.Settings.Listen.Callers, p.Entry.Handler(), p.Log); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// Run serves until ctx ends, then drains: new requests go elsewhere, those in
// flight are finished.
func (b *Box) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	group, work := errgroup.WithContext(work)
	background := func(f func(context.Context)) {
		group.Go(func() error { f(work); return nil })
	}
	if b.boxes != nil {
		background(b.loop.Run)
		for _, p := range b.catalog.Pools {
			if err := b.loop.Post(work, &event.PoolChanged{Pool: p.SchedulerPool()}); err != nil {
				return err
			}
		}
		group.Go(b.boxes.serve)
	}
	if b.callers != nil {
		background(b.links.run)
		background(b.entry.Run)
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
	bound := time.Duration(b.settings.Drain.Bound)
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	b.log.Info("draining", zap.Int("requests", b.entry.Requests()))
	var err error
	if b.callers != nil {
		b.entry.StartDrain()
		pause(ctx, time.Duration(b.settings.Drain.Notice))
		err = b.callers.drain(ctx)
	}
	if b.boxes != nil {
		if other := b.boxes.http.Close(); err == nil {
			err = other
		}
	}
	return err
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
