// SPDX-License-Identifier: MIT

package fleet

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/cluster"
	"lynxramp.org/event"
	"lynxramp.org/gateway"
	"lynxramp.org/internal/random"
	"lynxramp.org/overload"
	"lynxramp.org/settings"
)

func runEntry(ctx context.Context, file string, f settings.Fleet, d Dialect, log *zap.Logger) error {
	instance := random.Uint64()
	run, cancel := context.WithCancel(context.Background())
	defer cancel()
	agent := gateway.NewAgent(gateway.ClientConfig{
		Entry:            f.ID,
		Instance:         instance,
		ControlAddresses: controlAddresses(f),
		Limits:           newLimits(f.Bounds, d.features(f)),
		ConfigValidity:   event.Duration(f.Bounds.ConfigValidity),
		Decode:           d.Decode,
		LinkBytes:        linkBytes(f),
		Log:              log,
	})
	held := heldMemory(f, d)
	listener := overload.NewListener(listenConfig, f.Listen.Callers, log)
	g := gateway.New(gateway.Config{
		Agent: agent, Headers: d.Headers, ParseFeedback: d.ParseFeedback, ParseLoad: d.ParseLoad, Log: log, Entry: f.ID, DataCentre: f.DataCentre, Instance: instance,
		MaxHeldBytes: int64(float64(f.Resources.MemoryMB<<20) * heldBytesFraction), Descriptors: f.Resources.Descriptors, Memory: int64(f.Resources.MemoryMB) << 20,
		AccountBytes: accountBytes(f), MaxHead: f.Endpoints.HeadKB << 10, HeldMemory: held, Listener: listener, Overload: overload.Config{Delay: event.Duration(f.Overload.Delay)},
	})
	go agent.Run(run)
	go g.Run(run)
	ready := newServer(withMetrics(readinessHandler(g, d), d), idleTimeout)
	if _, err := serve(f.Listen.Readiness, ready, g.HeadLimiter()); err != nil {
		return err
	}
	defer ready.Close()
	callerServer, conns := newCallerServer(g, g.IdleTimeout, f.Resources.Descriptors)
	callerServer.ConnContext = g.CallerContext
	callers := g.HeadLimiter().Apply(callerServer, listener)
	if err := listener.Open(); err != nil {
		return err
	}
	go func() { _ = callerServer.Serve(callers) }() // returns when the server is closed
	go watch(run, file, log, func(f settings.Fleet) { agent.AddControlBoxes(controlAddresses(f)) })
	<-ctx.Done()
	stop := drain{gateway: g, listener: listener, callers: callerServer, conns: conns, times: newDrainTimes(time.Duration(f.Bounds.StopTimeout)), log: log}
	stop.run()
	return nil
}

// newCallerServer returns the HTTP server for callers and its connections. idle returns the current idle timeout of
// connections. Their number is bounded by the file descriptor limit; 0 means no bound.
func newCallerServer(h http.Handler, idle func() time.Duration, descriptors int) (*http.Server, *callerConns) {
	server := newServer(h, maxCallerIdle)
	conns := newCallerConns(idle, gateway.MaxConnections(descriptors))
	server.ConnState = conns.observe
	return server, conns
}

// controlAddresses returns the link addresses of the control boxes in f.Seeds.
func controlAddresses(f settings.Fleet) []string {
	var list []string
	for _, seed := range f.Seeds {
		list = append(list, cluster.LinkAddress(seed, f.Listen.Link))
	}
	return list
}

func readinessHandler(g *gateway.Gateway, d Dialect) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+d.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
