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
	_ "lynxramp.org/internal/sighup" // until watch handles the signal
	"lynxramp.org/link"
	"lynxramp.org/reqlimit"
	"lynxramp.org/rollout"
	"lynxramp.org/routing"
	"lynxramp.org/settings"
)

// Timing and size limits of a box.
const (
	// reloadInterval is how often the settings file is checked for changes.
	reloadInterval = 2 * time.Second
	// replaceVoterAfter is how long a voter may be unreachable before another control box
	// replaces it.
	replaceVoterAfter = 1800 * event.Millisecond
	// memoryLimitFraction is the fraction of the box's memory that is set as the Go runtime's
	// soft memory limit.
	memoryLimitFraction = 0.75
	readHeaderTimeout   = 10 * time.Second
	// idleTimeout is the idle timeout of connections to the operators' and readiness
	// addresses. maxCallerIdle is the upper bound for callers' connections; the
	// configuration may set a shorter one.
	idleTimeout   = 15 * time.Second
	maxCallerIdle = 10 * time.Minute
	// heldBytesFraction is the fraction of an entry's memory that request bodies may take.
	heldBytesFraction = 0.2
)

// Dialect is the HTTP interface of a deployment: header names, paths and the
// formats of its configuration and responses.
type Dialect struct {
	Headers gateway.HeaderNames
	// Decode parses a configuration; its error lists all problems.
	Decode func([]byte) (*routing.Table, error)
	// ParseFeedback parses the feedback of an endpoint in response headers; its error names the
	// last malformed header.
	ParseFeedback func(status int, h http.Header) (backpressure.Feedback, error)
	// ParseLoad parses the load report of an endpoint in response headers; false means none.
	ParseLoad func(h http.Header) (backpressure.Load, bool, error)
	// Features decodes the platform's contracts in force; nil means no features.
	Features func(contracts []string) Features
	// OperatorHandler returns a control box's handler for operators and endpoints.
	OperatorHandler func(*cluster.Server) http.Handler
	// ReadyPath is the path of an entry's readiness check.
	ReadyPath string
	// MetricsPath is the path of the metrics in Prometheus format.
	MetricsPath string
}

// Features are the parts of the product that a deployment turns on.
type Features struct {
	// Rollouts turns on the operators' roll-outs of versions.
	Rollouts bool
	// HeldMemory turns on the account of the memory that an entry holds for slow readers.
	HeldMemory bool
	// Contention says that callers compete for less capacity than they ask for at times.
	Contention bool
}

// features returns the features of a deployment.
func (d Dialect) features(f settings.Fleet) Features {
	if d.Features == nil {
		return Features{}
	}
	return d.Features(f.Contracts)
}

// Run runs a box with the given settings file until SIGTERM or SIGINT.
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
	log.Info("box starting", zap.String("role", string(f.Role)), zap.Strings("seeds", f.Seeds), zap.Bool("found", f.Bootstrap),
		zap.Bool("links_without_keys", f.Unprotected))
	if f.Role == settings.RoleControl {
		err = runControl(ctx, file, f, d, log)
	} else {
		err = runEntry(ctx, file, f, d, log)
	}
	log.Info("box stopped", logx.Err(err), zap.Uint64("log_lines_left_out", out.Dropped()))
	return err
}

func limitMemory(r settings.FleetResources) {
	if r.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(r.MemoryMB<<20) * memoryLimitFraction))
	}
}

func newLimits(b settings.FleetBounds, features Features) admission.Limits {
	return admission.Limits{
		QuotaWindow: event.Duration(b.QuotaWindow), QuotaOvershoot: b.QuotaOvershoot, QuotaSlack: b.QuotaSlack,
		RetryWindow: event.Duration(b.RetryWindow),
		RetryRatio:  b.RetryRatio,
		RetryMin:    b.RetryMin,

		LeastOutstanding: b.Placement == settings.PlacementLeastOutstanding,
		ExpectedWork:     b.QueueOrder == settings.QueueExpectedWork || b.QueueOrder == settings.QueueAuto && features.Contention,

		ExpectedWorkIfSlowed: b.QueueOrder == settings.QueueAuto,
	}
}

// newRolloutLimits returns the bounds of roll-outs; nil if the deployment has none.
func newRolloutLimits(f settings.Fleet, d Dialect) *rollout.Limits {
	if !d.features(f).Rollouts {
		return nil
	}
	return &rollout.Limits{Share: f.Bounds.ExposeShare, Slack: f.Bounds.ExposeSlack}
}

// watch calls reload with the new settings whenever the file changes, until ctx ends.
// It polls the file and checks it on SIGHUP. Invalid settings are logged and ignored.
func watch(ctx context.Context, file string, log *zap.Logger, reload func(settings.Fleet)) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // for good: without a handler the signal ends the process, also while it stops
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	previous, _ := os.ReadFile(file) // the error is ignored, as LoadFleet has just read the file
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			log.Info("received SIGHUP; checking settings for changes")
		case <-ticker.C:
		}
		current, err := os.ReadFile(file)
		if err != nil || string(current) == string(previous) {
			continue
		}
		previous = current
		f, err := settings.LoadFleet(file)
		if err != nil {
			log.Error("new settings are invalid; keeping the current ones", logx.Err(err))
			continue
		}
		log.Info("settings reloaded", zap.Strings("seeds", f.Seeds))
		reload(f)
	}
}

func runControl(ctx context.Context, file string, f settings.Fleet, d Dialect, log *zap.Logger) error {
	stopTimeout := time.Duration(f.Bounds.StopTimeout)
	requests := newControlLimiter(f, log)
	server, err := cluster.Open(cluster.Config{
		Requests:          requests,
		LinkBytes:         linkBytes(f),
		LinkAddress:       f.Listen.Link,
		LinkListenAddress: f.Listen.LinkBind,
		OperatorAddress:   f.Listen.Operators,
		Seeds:             f.Seeds,
		Bootstrap:         f.Bootstrap,
		DataDir:           f.DataDir,
		Settings: cluster.Settings{
			Limits:            newLimits(f.Bounds, d.features(f)),
			MembershipLimits:  consensus.MembershipLimits{MaxVoters: 2*f.Bounds.ToleratedFailures + 1, ReplaceAfter: replaceVoterAfter},
			HeartbeatInterval: event.Duration(f.Bounds.HeartbeatInterval),
			ConfigValidity:    event.Duration(f.Bounds.ConfigValidity),
			Decode:            d.Decode,
			Rollouts:          newRolloutLimits(f, d),
		},
		StopTimeout: stopTimeout,
		Log:         log,
	})
	if err != nil {
		return err
	}
	handler := withMetrics(d.OperatorHandler(server), d)
	operators, err := serveOperators(f.Listen.Operators, handler, requests, log)
	if err != nil {
		return err
	}
	defer operators.Close()
	go watch(ctx, file, log, func(f settings.Fleet) { server.AddSeeds(f.Seeds) })
	return server.Run(ctx, func() { operators.drain(newDrainTimes(stopTimeout).giveUp - cluster.TransferTime(stopTimeout)) })
}

// withMetrics adds the metrics path to a handler.
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
		ErrorLog: zap.NewStdLog(zap.NewNop()),
	}
}

// listenConfig is that of all listeners.
var listenConfig = net.ListenConfig{KeepAliveConfig: link.KeepAlive}

// serve listens at an address and serves on a goroutine until s or the listener, which it returns, is closed. Its requests'
// heads are limited.
func serve(address string, s *http.Server, limiter *reqlimit.Limiter) (net.Listener, error) {
	l, err := listenConfig.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	limited := limiter.Apply(s, l)
	go func() { _ = s.Serve(limited) }() // returns when the server or the listener is closed
	return l, nil
}
