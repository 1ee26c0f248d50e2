// SPDX-License-Identifier: MIT

package box

import (
	"context"
	"net"
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
	"lynxramp.org/internal/bounded"
	"lynxramp.org/internal/logx"
	"lynxramp.org/internal/random"
	"lynxramp.org/internal/wait"
	"lynxramp.org/member"
	"lynxramp.org/rpc"
	"lynxramp.org/settings"
	"lynxramp.org/store"
)

// Timeout and poll interval of the leadership transfer at shutdown.
const (
	transferTimeout = 3 * time.Second
	transferPoll    = 10 * time.Millisecond
)

// Poll interval and request timeout of the platform's list of boxes.
const (
	platformInterval = time.Second
	platformTimeout  = 2 * time.Second
)

// controlRole is the control role of a box.
type controlRole struct {
	catalog  catalog.Catalog
	log      *zap.Logger
	keys     Keys
	clock    event.Clock
	platform string // URL of the platform's list of boxes; empty if there is none
	disk     *store.Store
	restored consensus.PersistentState // read from disk at the start
	peers    *control.Peers
	server   *server
	handler  atomic.Pointer[http.Handler]
	loop     atomic.Pointer[control.Loop]
}

// newControl opens the data directory and the listener of a control box; it
// returns nil for a box without the control role.
func newControl(s settings.Box, c catalog.Catalog, keys Keys, client *http.Client, clock event.Clock, log *zap.Logger) (*controlRole, error) {
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
	role := &controlRole{
		catalog: c, log: log, keys: keys, clock: clock, platform: s.Platform, disk: disk, restored: restored,
		peers: control.NewPeers(identity, addresses, client, log),
	}
	role.setHandler(nil)
	role.server, err = listen(s.Listen.Boxes, http.HandlerFunc(role.serve), log)
	return role, err
}

// serve forwards a request to the current handler.
func (r *controlRole) serve(w http.ResponseWriter, request *http.Request) {
	(*r.handler.Load()).ServeHTTP(w, request)
}

// setHandler replaces the current handler. service is nil until the box has
// joined a control group; until then its calls are not served.
func (r *controlRole) setHandler(service *control.Service) {
	mux := http.NewServeMux()
	mux.Handle(rpc.ControlPathPrefix, rpc.RequireKey(r.keys.Boxes, rpc.NewControlServer(r.peers)))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	if service != nil {
		mux.Handle(rpc.SchedulerPathPrefix, rpc.RequireKey(r.keys.Boxes, rpc.NewSchedulerServer(service)))
		mux.Handle(rpc.OperatorPathPrefix, rpc.RequireKey(r.keys.Operators, rpc.NewOperatorServer(service)))
	}
	var h http.Handler = mux
	r.handler.Store(&h)
}

// run runs the control role until ctx ends.
func (r *controlRole) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(r.server.serve)
	group.Go(func() error {
		<-ctx.Done()
		return r.server.http.Close()
	})
	group.Go(func() error { return r.bootstrapAndRun(ctx) })
	err := group.Wait()
	if closeErr := r.disk.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (r *controlRole) bootstrapAndRun(ctx context.Context) error {
	restored, err := r.peers.Bootstrap(ctx, r.disk, r.restored)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	self := r.peers.Self()
	state, err := control.NewState(r.clock.Now(), self.ID, restored, r.catalog, randomSeed())
	if err != nil {
		return err
	}
	writer := store.NewWriter(r.disk, r.peers)
	outboxes := control.NewOutboxes(writer)
	loop := control.NewLoop(state, r.clock, outboxes)
	r.peers.Start(loop, outboxes)
	r.loop.Store(loop)
	r.setHandler(control.NewService(loop, outboxes))
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { loop.Run(ctx); return nil })
	group.Go(func() error { r.peers.Run(ctx); return nil })
	group.Go(func() error { r.peers.MaintainMembership(ctx, loop); return nil })
	group.Go(func() error { r.watchPlatform(ctx, loop); return nil })
	group.Go(func() error { return writer.Run(ctx) })
	return group.Wait()
}

// watchPlatform polls the platform's list of boxes and posts the draining ones to loop until
// ctx ends. After a failed poll the last list stays in effect.
func (r *controlRole) watchPlatform(ctx context.Context, loop *control.Loop) {
	if r.platform == "" {
		return
	}
	client := &http.Client{Timeout: platformTimeout, Transport: bounded.NewTransport(&net.Dialer{})}
	ticker := time.NewTicker(platformInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		draining, err := member.Fetch(ctx, client, r.platform)
		if err == nil {
			_, err = loop.Post(ctx, &event.DrainListUpdated{Draining: draining})
		}
		if err != nil {
			r.log.Warn("reading the platform's list of boxes failed; keeping the last one", logx.Err(err))
		}
		wait.Next(ctx, ticker)
	}
}

// transferLeadership transfers leadership to another voter if this box leads, and
// waits for it for at most transferTimeout.
func (r *controlRole) transferLeadership(ctx context.Context) {
	loop := r.loop.Load()
	if loop == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	for ctx.Err() == nil {
		leads, soleVoter := false, false
		err := loop.Inspect(ctx, func(_ event.Time, s *control.State) {
			leads = s.Node().Leader() == s.Node().ID()
			soleVoter = len(s.Node().Members().Voters) < 2
		})
		if err != nil || !leads || soleVoter {
			break
		}
		if _, err := loop.Post(ctx, &control.StopRequested{}); err != nil {
			break
		}
		wait.For(ctx, transferPoll)
	}
	r.log.Info("leadership transfer finished", logx.Err(ctx.Err()))
}

// randomSeed returns a seed from the current time.
func randomSeed() uint64 { return uint64(time.Now().UnixNano()) }
