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
	"lynxramp.org/internal/logx"
	"lynxramp.org/internal/random"
	"lynxramp.org/settings"
)

// Times of a planned stop of an entry.
const (
	// noticeTime is how long callers still come after the entry said that it is
	// not ready.
	noticeTime = 2500 * time.Millisecond
	// stopMargin is how much sooner than it must an entry gives up its streams, and
	// callsMargin how long it then waits for other requests.
	stopMargin  = 1000 * time.Millisecond
	callsMargin = 600 * time.Millisecond
	stopLook    = 50 * time.Millisecond
)

func runEntry(ctx context.Context, file string, f settings.Fleet, d Dialect, log *zap.Logger) error {
	one := random.Uint64()
	run, end := context.WithCancel(context.Background())
	defer end()
	agent := gateway.NewAgent(gateway.ClientConfig{
		Entry:            f.ID,
		Instance:         one,
		ControlAddresses: controlLinks(f),
		Limits:           limits(f.Bounds),
		ConfigValidity:   event.Duration(f.Bounds.ConfigValidity),
		Decode:           d.Decode,
		Log:              log,
	})
	g := gateway.New(gateway.Config{
		Agent: agent, Headers: d.Headers, ParseFeedback: d.ParseFeedback, Log: log, Entry: f.ID, DataCentre: f.DataCentre, Instance: one,
		MaxHeldBytes: int64(float64(f.Resources.MemoryMB<<20) * heldPart), Descriptors: f.Resources.Descriptors,
	})
	go agent.Run(run)
	go g.Run(run)
	ready, err := serve(f.Listen.Readiness, newServer(withMetrics(readiness(g, d), d), idleTimeout))
	if err != nil {
		return err
	}
	defer ready.Close()
	callers, err := serve(f.Listen.Callers, callersServer(g, g.IdleTimeout, f.Resources.Descriptors))
	if err != nil {
		return err
	}
	go watch(run, file, log, func(f settings.Fleet) { agent.AddControlBoxes(controlLinks(f)) })
	<-ctx.Done()
	return stopEntry(g, callers, time.Duration(f.Bounds.StopTimeout), log)
}

// callersServer returns the server of callers, who may rest for as long as idle says, on as
// many connections as a process with so many descriptors may have for them; 0 for any number.
func callersServer(h http.Handler, idle func() time.Duration, descriptors int) *http.Server {
	server := newServer(h, callersIdle)
	server.ConnState = newIdleCloser(idle, gateway.MaxConnections(descriptors)).observe
	return server
}

// controlLinks returns the link addresses of the seeds.
func controlLinks(f settings.Fleet) []string {
	var list []string
	for _, seed := range f.Seeds {
		list = append(list, cluster.LinkAddress(seed, f.Listen.Link))
	}
	return list
}

func readiness(g *gateway.Gateway, d Dialect) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+d.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// stopEntry ends an entry without cutting what it holds: it is not ready at once
// and serves on while callers may still come. Then it takes no more streams, and
// when those that it holds have ended it takes nothing more and ends.
func stopEntry(g *gateway.Gateway, callers *http.Server, within time.Duration, log *zap.Logger) error {
	began := time.Now()
	all, streams := g.InFlight()
	log.Info("stops", zap.Int("held", all), zap.Int("streams", streams))
	g.StartDraining()
	time.Sleep(min(noticeTime, within/3))
	g.RefuseStreams()
	for time.Since(began) < within-stopMargin {
		if _, streams := g.InFlight(); streams == 0 {
			break
		}
		time.Sleep(stopLook)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callsMargin)
	defer cancel()
	err := callers.Shutdown(ctx)
	all, streams = g.InFlight()
	log.Info("takes no more requests", zap.Int("held", all), zap.Int("streams", streams), zap.Duration("after", time.Since(began)), logx.Err(err))
	return nil
}
