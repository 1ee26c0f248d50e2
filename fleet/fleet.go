// SPDX-License-Identifier: MIT

package fleet

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lynxramp.org/admission"
	"lynxramp.org/backpressure"
	"lynxramp.org/cluster"
	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/gateway"
	"lynxramp.org/internal/logx"
	"lynxramp.org/link"
	"lynxramp.org/routing"
	"lynxramp.org/settings"
)

// Times and bounds of a box.
const (
	reloadEvery = 2 * time.Second
	// deadAfter is how long a control box is silent before another takes its vote.
	deadAfter = 1800 * event.Millisecond
	// memoryPart is how much of the memory the runtime may use before it collects
	// harder.
	memoryPart        = 0.75
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long a connection to an operators' or readiness address may
	// rest; callersIdle is the most for callers, whose configuration may say less.
	idleTimeout    = 15 * time.Second
	callersIdle    = 10 * time.Minute
	maxHeaderBytes = 64 << 10
	// heldPart is how much of an entry's memory request bodies may take.
	heldPart = 0.2
)

// Dialect is how a deployment speaks to the boxes of a fleet.
type Dialect struct {
	Headers gateway.HeaderNames
	// Decode reads a configuration; its error has all findings.
	Decode func([]byte) (*routing.Table, error)
	// ParseFeedback reads what an endpoint asks for in an answer; its error names what can't be read.
	ParseFeedback func(status int, h http.Header) (backpressure.Feedback, error)
	// OperatorHandler serves operators and endpoints by a control box.
	OperatorHandler func(*cluster.Server) http.Handler
	// ReadyPath is where an entry is asked whether it is ready.
	ReadyPath string
	// MetricsPath is where figures are told.
	MetricsPath string
}

// Run runs a box by its settings file until it is told to stop.
func Run(file string, d Dialect) error {
	f, err := settings.LoadFleet(file)
	if err != nil {
		return err
	}
	out := logx.NewAsync(os.Stdout)
	log, err := logx.New(out, f.Log.Level)
	if err != nil {
		return err
	}
	defer out.Close()
	log = log.With(zap.String("box", string(f.ID)))
	limitMemory(f.Resources)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log.Info("starts", zap.String("role", string(f.Role)), zap.Strings("seeds", f.Seeds), zap.Bool("found", f.Bootstrap),
		zap.Bool("links_without_keys", f.Unprotected))
	if f.Role == settings.RoleControl {
		err = runControl(ctx, file, f, d, log)
	} else {
		err = runEntry(ctx, file, f, d, log)
	}
	log.Info("ends", logx.Err(err), zap.Uint64("log_lines_left_out", out.Dropped()))
	return err
}

func limitMemory(r settings.FleetResources) {
	if r.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(r.MemoryMB<<20) * memoryPart))
	}
}

func limits(b settings.FleetBounds) admission.Limits {
	return admission.Limits{
		QuotaWindow: event.Duration(b.QuotaWindow), QuotaOvershoot: b.QuotaOvershoot, QuotaSlack: b.QuotaSlack,
		RetryWindow: event.Duration(b.RetryWindow),
		RetryRatio:  b.RetryRatio,
		RetryMin:    b.RetryMin,

		LeastOutstanding: b.Placement == settings.PlacementLeastOutstanding,
	}
}

// watch calls reload with the settings when they change, by a signal or without
// one, until ctx ends. Settings that are not sound are left out of force.
func watch(ctx context.Context, file string, log *zap.Logger, reload func(settings.Fleet)) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	before, _ := os.ReadFile(file) // it was read a moment ago
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			log.Info("told to reload")
		case <-ticker.C:
		}
		now, err := os.ReadFile(file)
		if err != nil || string(now) == string(before) {
			continue
		}
		before = now
		f, err := settings.LoadFleet(file)
		if err != nil {
			log.Error("settings not reloaded", logx.Err(err))
			continue
		}
		log.Info("settings reloaded", zap.Strings("seeds", f.Seeds))
		reload(f)
	}
}

func runControl(ctx context.Context, file string, f settings.Fleet, d Dialect, log *zap.Logger) error {
	server, err := cluster.Open(cluster.Config{
		LinkAddress:       f.Listen.Link,
		LinkListenAddress: f.Listen.LinkBind,
		OperatorAddress:   f.Listen.Operators,
		Seeds:             f.Seeds,
		Bootstrap:         f.Bootstrap,
		DataDir:           f.DataDir,
		Settings: cluster.Settings{
			Limits:            limits(f.Bounds),
			Members:           consensus.MembershipLimits{MaxVoters: 2*f.Bounds.ToleratedFailures + 1, ReplaceAfter: deadAfter},
			HeartbeatInterval: event.Duration(f.Bounds.HeartbeatInterval),
			ConfigValidity:    event.Duration(f.Bounds.ConfigValidity),
			Decode:            d.Decode,
		},
		Log: log,
	})
	if err != nil {
		return err
	}
	handler := withMetrics(d.OperatorHandler(server), d)
	operators, err := serve(f.Listen.Operators, newServer(handler, idleTimeout))
	if err != nil {
		return err
	}
	defer operators.Close()
	go watch(ctx, file, log, func(f settings.Fleet) { server.AddSeeds(f.Seeds) })
	return server.Run(ctx)
}

// withMetrics adds the figures' path to a handler.
func withMetrics(h http.Handler, d Dialect) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", h)
	mux.HandleFunc("GET "+d.MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	return mux
}

func newServer(h http.Handler, idle time.Duration) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idle,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(zap.NewNop()),
	}
}

func serve(address string, s *http.Server) (*http.Server, error) {
	config := net.ListenConfig{KeepAliveConfig: link.KeepAlive}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	go func() { _ = s.Serve(l) }() // it ends when it is closed
	return s, nil
}
