// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lynxramp.org/catalog"
	"lynxramp.org/event"
)

// Config is what an entry needs to know of its box.
type Config struct {
	Box event.BoxID
	// Life tells this process from earlier ones of the box.
	Life uint64
	// Key is the shared key of the system's processes.
	Key string
	// MaxBody bounds a request's body, in bytes.
	MaxBody int64
	// MaxRequests bounds the unfinished requests.
	MaxRequests int
	// MaxHeld bounds the bytes of all bodies held together.
	MaxHeld int64
}

// Router finds the scheduler of a pool.
type Router interface {
	// Link returns the link to a pool's scheduler; nil while none is known.
	Link(pool string) *Link
}

// Entry takes callers' requests.
type Entry struct {
	config  Config
	router  Router
	slots   *slotClient
	log     *zap.Logger
	index   atomic.Pointer[catalog.Index]
	meters  *meters
	drained atomic.Bool

	mu       sync.Mutex
	requests int
	held     int64
	byTeam   map[string]int
}

// New returns an entry that serves by index.
func New(c Config, router Router, index *catalog.Index, log *zap.Logger) *Entry {
	e := &Entry{
		config: c,
		router: router,
		slots:  newSlotClient(c.Key, log),
		log:    log,
		byTeam: make(map[string]int),
	}
	e.index.Store(index)
	e.meters = newMeters(e)
	return e
}

// SetIndex serves new requests by another catalog from now on.
func (e *Entry) SetIndex(x *catalog.Index) { e.index.Store(x) }

// Run does the entry's work beside requests until ctx ends.
func (e *Entry) Run(ctx context.Context) { e.slots.sendAcks(ctx) }

// StartDrain makes /readyz say no, so that the balancer sends nobody else.
func (e *Entry) StartDrain() { e.drained.Store(true) }

// Requests returns how many requests are unfinished.
func (e *Entry) Requests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests
}

// localRetryAfter is what callers are told whom this box has no room for.
const localRetryAfter = time.Second

// enter counts a request in, or says why there is no room for it.
func (e *Entry) enter(t *catalog.Team, bytes int64) *Failure {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t.MaxWaiting > 0 && e.byTeam[t.Name] >= t.MaxWaiting {
		return &Failure{
			Status:     http.StatusTooManyRequests,
			Code:       "team_limit",
			Message:    "the team has too many unfinished requests",
			RetryAfter: localRetryAfter,
		}
	}
	if e.requests >= e.config.MaxRequests || e.held+bytes > e.config.MaxHeld {
		return &Failure{
			Status:     http.StatusServiceUnavailable,
			Code:       "box_full",
			Message:    "this box holds as many requests as it can",
			RetryAfter: localRetryAfter,
		}
	}
	e.requests++
	e.held += bytes
	e.byTeam[t.Name]++
	return nil
}

// leave counts a request out.
func (e *Entry) leave(t *catalog.Team, bytes int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests--
	e.held -= bytes
	e.byTeam[t.Name]--
	if e.byTeam[t.Name] == 0 {
		delete(e.byTeam, t.Name)
	}
}
