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
	"lynxramp.org/settings"
)

// Times of a planned stop of an entry.
const (
	// noticeTime is how long callers still come after the entry said that it is
	// not ready.
	noticeTime = 3 * time.Second
	// stopMargin is how much sooner than it must an entry ends.
	stopMargin = 700 * time.Millisecond
	stopLook   = 50 * time.Millisecond
)

func runEntry(ctx context.Context, file string, f settings.Fleet, d Dialect, log *zap.Logger) error {
	one := life()
	run, end := context.WithCancel(context.Background())
	defer end()
	agent := gateway.NewAgent(gateway.AgentConfig{
		Entry:   f.ID,
		Life:    one,
		Control: controlLinks(f),
		Limits:  limits(f.Bounds),
		Fresh:   event.Span(f.Bounds.Fresh),
		Decode:  d.Decode,
		Log:     log,
	})
	g := gateway.New(gateway.Config{
		Agent: agent, Names: d.Names, Log: log, Entry: f.ID, Life: one,
		HeldBytes: int64(float64(f.Resources.MemoryMB<<20) * heldPart),
	})
	go agent.Run(run)
	go g.Run(run)
	ready, err := serve(f.Listen.Readiness, withMetrics(readiness(g, d), d))
	if err != nil {
		return err
	}
	defer ready.Close()
	callers, err := serve(f.Listen.Callers, g)
	if err != nil {
		return err
	}
	go watch(run, file, log, func(f settings.Fleet) { agent.SetControl(controlLinks(f)) })
	<-ctx.Done()
	return stopEntry(g, callers, time.Duration(f.Bounds.Stop), log)
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

// stopEntry ends an entry without cutting what it holds: it is not ready at once,
// serves on while callers may still come, and ends when all have their answers or
// its time is over.
func stopEntry(g *gateway.Gateway, callers *http.Server, within time.Duration, log *zap.Logger) error {
	log.Info("stops", zap.Int("held", g.Held()))
	began := time.Now()
	g.Stop()
	time.Sleep(min(noticeTime, within/2))
	// From here on each answer closes its connection, and idle ones are closed.
	callers.SetKeepAlivesEnabled(false)
	for g.Held() > 0 && time.Since(began) < within-stopMargin {
		time.Sleep(stopLook)
	}
	log.Info("stopped taking requests", zap.Int("held", g.Held()), zap.Duration("after", time.Since(began)))
	return nil
}
