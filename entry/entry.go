// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lynxramp.org/catalog"
	"lynxramp.org/event"
	"lynxramp.org/machine"
	"lynxramp.org/rpc"
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
	// BodyTime bounds how long a caller may take to send a body.
	BodyTime time.Duration
	// MaxRequests bounds the unfinished requests.
	MaxRequests int
	// MaxHeld bounds the bytes of all bodies held together.
	MaxHeld int64
}

// Entry takes callers' requests.
type Entry struct {
	config  Config
	link    *Link
	slots   *slotClient
	log     *zap.Logger
	index   atomic.Pointer[versioned]
	meters  *meters
	drained atomic.Bool
	taking  sync.Mutex // one catalog at a time

	mu       sync.Mutex
	requests int
	held     int64
	byTeam   map[string]int
}

// versioned is a catalog in force.
type versioned struct {
	*catalog.Index
	version uint64
}

// New returns an entry that finds the owner of the pools among schedulers. It
// serves when it has a catalog.
func New(c Config, schedulers []Scheduler, log *zap.Logger) *Entry {
	e := &Entry{
		config: c,
		slots:  newSlotClient(c.Key, log),
		log:    log,
		byTeam: make(map[string]int),
	}
	e.index.Store(&versioned{Index: catalog.NewIndex(catalog.Catalog{})})
	e.link = NewLink(c.Box, c.Life, schedulers, e, log)
	e.meters = newMeters(e)
	return e
}

// Version implements Catalogs; it is 0 before the first catalog.
func (e *Entry) Version() uint64 { return e.index.Load().version }

// Take implements Catalogs. A version is never replaced by an older one.
func (e *Entry) Take(news *rpc.CatalogNews) error {
	e.taking.Lock()
	defer e.taking.Unlock()
	held := e.index.Load()
	if news.Version <= held.version {
		return nil
	}
	next, err := applyNews(held, news)
	if err != nil {
		return err
	}
	e.index.Store(&versioned{Index: catalog.NewIndex(next), version: news.Version})
	e.log.Info("catalog in force", zap.Uint64("version", news.Version), zap.Bool("whole", news.Since == 0))
	return nil
}

// applyNews returns the catalog that news make of the one that is held.
func applyNews(held *versioned, news *rpc.CatalogNews) (catalog.Catalog, error) {
	var next catalog.Catalog
	if news.Since == 0 {
		err := json.Unmarshal(news.Whole, &next)
		return next, errors.Wrap(err, "catalog")
	}
	if news.Since != held.version {
		return next, errors.Errorf("changes are from version %d, version %d is held", news.Since, held.version)
	}
	var changes []catalog.Change
	if err := json.Unmarshal(news.Changes, &changes); err != nil {
		return next, errors.Wrap(err, "changes")
	}
	next, _ = catalog.Apply(held.Catalog(), changes) // it was sound when it was committed
	if machine.Hash(next) != news.Hash {
		return next, errors.New("the changes do not give the catalog that was committed")
	}
	return next, nil
}

// Run does the entry's work beside requests until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { e.slots.sendAcks(ctx) })
	wait.Go(func() { e.link.Run(ctx) })
	wait.Wait()
}

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
