// SPDX-License-Identifier: MIT

package slot

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lynxramp.org/event"
	"lynxramp.org/internal/bounded"
	"lynxramp.org/internal/logx"
	"lynxramp.org/meter"
)

// Intervals and timeouts of the slot's housekeeping.
const (
	sweepInterval = 200 * time.Millisecond
	// ResumeTimeout is how long a run continues without a reader. Then its entry counts
	// as terminated and the run is cancelled, unless it may not be repeated.
	ResumeTimeout = 10 * event.Second
	// responseRetention is how long a finished response is kept for its entry.
	responseRetention = 60 * event.Second
	// cancelTimeout limits a cancel call to the engine.
	cancelTimeout = 2 * time.Second
	// engineReceiveBuffer is the receive buffer of a connection to the engine, in bytes. Without a limit, the kernel takes
	// up to tcp_rmem of a response that is not read.
	engineReceiveBuffer = 256 << 10
)

// Config has the settings of a slot.
type Config struct {
	Endpoint    event.EndpointID
	Pool        string
	EndpointURL string // http://IP:port
	Address     string // at which entries reach this slot, as IP:port
	IsModel     bool   // whether the endpoint is a model engine, not a plain service
	MaxBody     int64  // maximum size of a request body, in bytes
}

// Slot dispatches requests to one endpoint.
type Slot struct {
	config      Config
	incarnation event.Incarnation
	clock       event.Clock
	log         *zap.Logger
	client      *http.Client
	load        loadMonitor

	mu    sync.Mutex
	meter meter.Meter
	guard *Guard
	runs  map[event.DispatchID]*run
}

// boundReceiveBuffer bounds the receive buffer of a connection before it is made.
func boundReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// With the kernel's own size, more of a response is taken.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, engineReceiveBuffer)
	})
}

// New returns a slot. The incarnation must differ from that of every earlier slot of
// the endpoint.
func New(c Config, incarnation event.Incarnation, log *zap.Logger) *Slot {
	transport := bounded.NewTransport(&net.Dialer{Timeout: 2 * time.Second, Control: boundReceiveBuffer})
	transport.MaxIdleConnsPerHost = 64
	transport.IdleConnTimeout = 30 * time.Second
	return &Slot{
		config:      c,
		incarnation: incarnation,
		clock:       event.NewClock(),
		log:         log,
		client:      &http.Client{Transport: transport, CheckRedirect: returnRedirect},
		guard:       NewGuard(incarnation),
		runs:        make(map[event.DispatchID]*run),
	}
}

// returnRedirect returns a redirect to the caller instead of following it.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// offer accepts or denies a request and dispatches an accepted one.
func (s *Slot) offer(o Offer, c call) (*run, Denial) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.guard.Offer(now, o); d != DenialNone {
		return nil, d
	}
	ctx, cancel := context.WithCancel(context.Background())
	u := &run{call: c, buffer: NewResponseBuffer(c.retain), cancel: cancel, idleSince: now}
	s.runs[c.id] = u
	go func() {
		err := s.dispatch(ctx, u)
		cancel()
		s.endRun(u, err)
	}()
	return u, DenialNone
}

// recordTokens records that tokens arrived, span after the previous ones.
func (s *Slot) recordTokens(now event.Time, tokens int, span event.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meter.Observe(now, tokens, span)
}

// endRun ends a run. The id of a request that never reached the endpoint is made void
// before readers of the response see its end.
func (s *Slot) endRun(u *run, err error) {
	s.mu.Lock()
	if errors.Is(err, errNotSent) {
		s.load.markUnreachable()
		s.guard.RevertStart(s.clock.Now(), u.call.id)
	} else {
		s.guard.End(s.clock.Now(), u.call.id)
	}
	s.mu.Unlock()
	u.buffer.End(err)
}

// void ensures that id never starts in this incarnation.
func (s *Slot) void(id event.DispatchID, incarnation event.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.guard.Void(s.clock.Now(), id, incarnation)
}

func (s *Slot) findRun(id event.DispatchID) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// cancelRun cancels a run whose response is no longer wanted, unless it may not be
// repeated.
func (s *Slot) cancelRun(u *run) {
	if u.call.noRepeat {
		return
	}
	u.cancel()
	if !s.config.IsModel {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	if err := s.cancelAtEngine(ctx, u.call.id); err != nil {
		s.log.Warn("failed to cancel request at engine", zap.String("request", string(u.call.id)), logx.Err(err))
	}
}

// StartDraining denies new offers from now on, and the slot's reports say so.
func (s *Slot) StartDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.guard.StartDraining()
}

// InFlight returns the number of requests that are running or whose response has not
// been delivered.
func (s *Slot) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	inFlight := 0
	for _, u := range s.runs {
		if !u.buffer.Ended() || !u.isDelivered() {
			inFlight++
		}
	}
	return inFlight
}

// Drain denies new offers and returns when every response has been delivered or ctx
// has ended.
func (s *Slot) Drain(ctx context.Context) error {
	s.StartDraining()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for s.InFlight() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Sweep cancels runs without a reader and deletes finished ones, until ctx ends.
func (s *Slot) Sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.sweepOnce()
		case <-ctx.Done():
			return
		}
	}
}

func (s *Slot) sweepOnce() {
	now := s.clock.Now()
	var orphaned []*run
	s.mu.Lock()
	s.guard.Sweep(now)
	for id, u := range s.runs {
		ended := u.buffer.Ended()
		idle, delivered := u.idleFor(now)
		switch {
		case ended && (delivered && !u.call.retain || idle > responseRetention):
			delete(s.runs, id)
		case !ended && idle > ResumeTimeout:
			orphaned = append(orphaned, u)
		}
	}
	s.mu.Unlock()
	for _, u := range orphaned {
		s.cancelRun(u)
	}
}

// currentReport returns the state of the endpoint for a report to the owner.
func (s *Slot) currentReport() event.Report {
	r := event.Report{
		Endpoint:    s.config.Endpoint,
		Pool:        s.config.Pool,
		Address:     s.config.Address,
		Incarnation: s.incarnation,
	}
	r.QueueLength, r.LoadAge, r.Down = s.load.read(s.clock.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	r.TokenGap = s.meter.TokenGap(s.clock.Now())
	r.Draining = s.guard.IsDraining()
	for id, u := range s.runs {
		if !u.buffer.Ended() {
			r.Running = append(r.Running, id)
		}
	}
	slices.Sort(r.Running)
	return r
}

func (u *run) addReader() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.readers++
}

func (u *run) removeReader(now event.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.readers--
	u.idleSince = now
}

func (u *run) markDelivered() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.delivered = true
}

func (u *run) isDelivered() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.delivered
}

// idleFor returns how long nobody has read the response, and whether the entry has
// the complete response.
func (u *run) idleFor(now event.Time) (event.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.readers > 0 {
		return 0, u.delivered
	}
	return now.Sub(u.idleSince), u.delivered
}
