// SPDX-License-Identifier: MIT

package box

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lynxramp.org/catalog"
	"lynxramp.org/consensus"
	"lynxramp.org/control"
	"lynxramp.org/event"
	"lynxramp.org/internal/logx"
	"lynxramp.org/internal/random"
	"lynxramp.org/internal/wait"
	"lynxramp.org/member"
	"lynxramp.org/rpc"
	"lynxramp.org/settings"
	"lynxramp.org/store"
)

// Times of a control box's stop.
const (
	handoverBound = 3 * time.Second
	handoverPoll  = 10 * time.Millisecond
)

// Times of the platform's list.
const (
	platformEvery   = time.Second
	platformTimeout = 2 * time.Second
)

// controlPart is what a box does in the control role.
type controlPart struct {
	catalog  catalog.Catalog
	log      *zap.Logger
	keys     Keys
	clock    event.Clock
	platform string // URL of the platform's list; empty if there is none
	disk     *store.Store
	restored consensus.PersistentState
	peers    *control.Peers
	server   *server
	handler  atomic.Pointer[http.Handler]
	loop     atomic.Pointer[control.Loop]
}

// newControl opens the data folder and the address of a control box; nil if the
// box is none.
func newControl(s settings.Box, c catalog.Catalog, keys Keys, client *http.Client, clock event.Clock, log *zap.Logger) (*controlPart, error) {
	if !s.HasRole(settings.RoleControl) {
		return nil, nil
	}
	disk, identity, restored, err := store.Open(s.DataDir, s.ID, event.Incarnation(random.Uint64()))
	if err != nil {
		return nil, err
	}
	addresses := make(map[event.BoxID]string)
	for _, p := range s.Control {
		addresses[p.ID] = p.Address
	}
	part := &controlPart{
		catalog: c, log: log, keys: keys, clock: clock, platform: s.Platform, disk: disk, restored: restored,
		peers: control.NewPeers(identity, addresses, client, log),
	}
	part.setHandler(nil)
	part.server, err = listen(s.Listen.Boxes, http.HandlerFunc(part.serve), log)
	return part, err
}

// serve answers by the handler of the moment.
func (p *controlPart) serve(w http.ResponseWriter, r *http.Request) {
	(*p.handler.Load()).ServeHTTP(w, r)
}

// setHandler serves what can be served: service is nil until the box belongs to
// a group.
func (p *controlPart) setHandler(service *control.Service) {
	mux := http.NewServeMux()
	mux.Handle(rpc.ControlPathPrefix, rpc.RequireKey(p.keys.Boxes, rpc.NewControlServer(p.peers)))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	if service != nil {
		mux.Handle(rpc.SchedulerPathPrefix, rpc.RequireKey(p.keys.Boxes, rpc.NewSchedulerServer(service)))
		mux.Handle(rpc.OperatorPathPrefix, rpc.RequireKey(p.keys.Operators, rpc.NewOperatorServer(service)))
	}
	var h http.Handler = mux
	p.handler.Store(&h)
}

// run works in the control role until ctx ends.
func (p *controlPart) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(p.server.serve)
	group.Go(func() error {
		<-ctx.Done()
		return p.server.http.Close()
	})
	group.Go(func() error { return p.belongAndRun(ctx) })
	err := group.Wait()
	if other := p.disk.Close(); err == nil {
		err = other
	}
	return err
}

func (p *controlPart) belongAndRun(ctx context.Context) error {
	restored, err := p.peers.Bootstrap(ctx, p.disk, p.restored)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	self := p.peers.Self()
	state, err := control.NewState(p.clock.Now(), self.ID, restored, p.catalog, rand64())
	if err != nil {
		return err
	}
	keeper := store.NewWriter(p.disk, p.peers)
	boxes := control.NewOutboxes(keeper)
	loop := control.NewLoop(state, p.clock, boxes)
	p.peers.Start(loop, boxes)
	p.loop.Store(loop)
	p.setHandler(control.NewService(loop, boxes))
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { loop.Run(ctx); return nil })
	group.Go(func() error { p.peers.Run(ctx); return nil })
	group.Go(func() error { p.peers.MaintainMembership(ctx, loop); return nil })
	group.Go(func() error { p.watchPlatform(ctx, loop); return nil })
	group.Go(func() error { return keeper.Run(ctx) })
	return group.Wait()
}

// watchPlatform tells loop of the platform's list until ctx ends. A list that
// cannot be read changes nothing.
func (p *controlPart) watchPlatform(ctx context.Context, loop *control.Loop) {
	if p.platform == "" {
		return
	}
	client := &http.Client{Timeout: platformTimeout}
	ticker := time.NewTicker(platformEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		leaving, err := member.Fetch(ctx, client, p.platform)
		if err == nil {
			_, err = loop.Post(ctx, &event.DrainListUpdated{Draining: leaving})
		}
		if err != nil {
			p.log.Warn("platform list not read", logx.Err(err))
		}
		wait.Next(ctx, ticker)
	}
}

// handOver lets another box lead before this one stops.
func (p *controlPart) handOver(ctx context.Context) {
	loop := p.loop.Load()
	if loop == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverBound)
	defer cancel()
	for ctx.Err() == nil {
		leads, alone := false, false
		err := loop.Inspect(ctx, func(_ event.Time, s *control.State) {
			leads = s.Node().Leader() == s.Node().ID()
			alone = len(s.Node().Members().Voters) < 2
		})
		if err != nil || !leads || alone {
			break
		}
		if _, err := loop.Post(ctx, &control.StopRequested{}); err != nil {
			break
		}
		wait.For(ctx, handoverPoll)
	}
	p.log.Info("leadership handed over", logx.Err(ctx.Err()))
}

// rand64 returns a seed.
func rand64() uint64 { return uint64(time.Now().UnixNano()) }
