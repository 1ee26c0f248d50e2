// SPDX-License-Identifier: MIT

package slot

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lynxramp.org/event"
	"lynxramp.org/internal/logx"
	"lynxramp.org/meter"
)

// Times of the slot's housekeeping.
const (
	sweepEvery = 200 * time.Millisecond
	// ResumeBound is how long a run without a reader goes on. Then its entry is
	// taken as gone and the run is cancelled, unless it may not be repeated.
	ResumeBound = 10 * event.Second
	// keepBound is how long a finished answer waits to be fetched.
	keepBound = 60 * event.Second
	// cancelTimeout bounds a cancel call to the engine.
	cancelTimeout = 2 * time.Second
)

// Config says which endpoint the slot guards.
type Config struct {
	Endpoint    event.EndpointID
	Pool        string
	EndpointURL string // http://IP:port
	Address     string // of this slot for entries, as IP:port
	Model       bool   // the endpoint is a model engine, not a plain service
	MaxBody     int64  // of a request, in bytes
}

// Slot guards one endpoint.
type Slot struct {
	config Config
	life   event.Incarnation
	clock  event.Clock
	log    *zap.Logger
	client *http.Client
	load   loadWatch

	mu    sync.Mutex
	meter meter.Meter
	guard *Guard
	runs  map[event.DispatchID]*run
}

// New returns a slot in its first moment; life must differ from that of any
// earlier slot of the endpoint.
func New(c Config, life event.Incarnation, log *zap.Logger) *Slot {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	return &Slot{
		config: c,
		life:   life,
		clock:  event.NewClock(),
		log:    log,
		client: &http.Client{Transport: transport, CheckRedirect: keepRedirect},
		guard:  NewGuard(life),
		runs:   make(map[event.DispatchID]*run),
	}
}

// keepRedirect hands a redirect to the caller instead of following it.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// offer takes or denies a request; a taken one is dispatched.
func (s *Slot) offer(o Offer, c call) (*run, Denial) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.guard.Offer(now, o); d != DenialNone {
		return nil, d
	}
	ctx, cancel := context.WithCancel(context.Background())
	u := &run{call: c, answer: NewAnswer(c.keep), cancel: cancel, idle: now}
	s.runs[c.id] = u
	go func() {
		err := s.dispatch(ctx, u)
		cancel()
		s.end(u, err)
	}()
	return u, DenialNone
}

// measure takes note of tokens that came.
func (s *Slot) measure(now event.Time, tokens int, span event.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meter.Add(now, tokens, span)
}

// end closes a run. What never reached the endpoint is void before anybody can
// read so.
func (s *Slot) end(u *run, err error) {
	s.mu.Lock()
	if errors.Is(err, errNotSent) {
		s.load.fail()
		s.guard.Unstart(s.clock.Now(), u.call.id)
	} else {
		s.guard.End(s.clock.Now(), u.call.id)
	}
	s.mu.Unlock()
	u.answer.End(err)
}

// void makes sure that id does not start in this life.
func (s *Slot) void(id event.DispatchID, life event.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.guard.Void(s.clock.Now(), id, life)
}

func (s *Slot) find(id event.DispatchID) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// abandon ends a run that nobody wants, unless it may not be repeated.
func (s *Slot) abandon(u *run) {
	if u.call.noRepeat {
		return
	}
	u.cancel()
	if !s.config.Model {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	if err := s.cancelAtEngine(ctx, u.call.id); err != nil {
		s.log.Warn("cancel at the engine failed", zap.String("request", string(u.call.id)), logx.Err(err))
	}
}

// Leave denies new offers from now on; reports tell of it.
func (s *Slot) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.guard.Leave()
}

// Held returns how many requests run or wait to be fetched.
func (s *Slot) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := 0
	for _, u := range s.runs {
		if !u.answer.Ended() || !u.isTaken() {
			held++
		}
	}
	return held
}

// Drain denies new offers and returns when every answer was fetched or ctx
// ended.
func (s *Slot) Drain(ctx context.Context) error {
	s.Leave()
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for s.Held() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Sweep cancels and forgets what nobody came for, until ctx ends.
func (s *Slot) Sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
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
	var lost []*run
	s.mu.Lock()
	s.guard.Sweep(now)
	for id, u := range s.runs {
		ended := u.answer.Ended()
		idle, taken := u.idleFor(now)
		switch {
		case ended && (taken && !u.call.keep || idle > keepBound):
			delete(s.runs, id)
		case !ended && idle > ResumeBound:
			lost = append(lost, u)
		}
	}
	s.mu.Unlock()
	for _, u := range lost {
		s.abandon(u)
	}
}

// report returns what the slot says about its endpoint now.
func (s *Slot) report() event.Report {
	r := event.Report{
		Endpoint:    s.config.Endpoint,
		Pool:        s.config.Pool,
		Address:     s.config.Address,
		Incarnation: s.life,
	}
	r.QueueLength, r.LoadAge, r.Down = s.load.read(s.clock.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	r.TokenGap = s.meter.Gap(s.clock.Now())
	r.Draining = s.guard.Leaving()
	for id, u := range s.runs {
		if !u.answer.Ended() {
			r.Running = append(r.Running, id)
		}
	}
	slices.Sort(r.Running)
	return r
}

func (u *run) enter() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.readers++
}

func (u *run) leave(now event.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.readers--
	u.idle = now
}

func (u *run) take() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.taken = true
}

func (u *run) isTaken() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.taken
}

// idleFor returns how long nobody has read the answer, and whether the entry
// has all of it.
func (u *run) idleFor(now event.Time) (event.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.readers > 0 {
		return 0, u.taken
	}
	return now.Sub(u.idle), u.taken
}
