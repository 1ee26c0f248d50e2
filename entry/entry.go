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

// Config has the settings of an entry.
type Config struct {
	Box event.BoxID
	// Instance differs between runs of the box's process.
	Instance uint64
	// Key is the key that the system's processes share.
	Key string
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int64
	// BodyTimeout limits how long a caller may take to send a body.
	BodyTimeout time.Duration
	// MaxRequests is the maximum number of requests in flight.
	MaxRequests int
	// MaxHeldBytes is the maximum total size of the bodies in memory, in bytes.
	MaxHeldBytes int64
}

// Entry accepts callers' requests.
type Entry struct {
	config    Config
	owner     *OwnerClient
	slots     *slotClient
	log       *zap.Logger
	index     atomic.Pointer[versionedCatalog]
	metricSet *metricSet
	draining  atomic.Bool
	applyMu   sync.Mutex // serializes catalog updates

	mu        sync.Mutex
	requests  int
	heldBytes int64
	byTeam    map[string]int
}

// versionedCatalog is an indexed catalog and its version.
type versionedCatalog struct {
	*catalog.Index
	version uint64
}

// New returns an entry that looks for the owner of the pools among schedulers. It
// serves requests once it has a catalog.
func New(c Config, schedulers []Scheduler, log *zap.Logger) *Entry {
	e := &Entry{
		config: c,
		slots:  newSlotClient(c.Key, log),
		log:    log,
		byTeam: make(map[string]int),
	}
	e.index.Store(&versionedCatalog{Index: catalog.NewIndex(catalog.Catalog{})})
	e.owner = NewOwnerClient(c.Box, c.Instance, schedulers, e, log)
	e.metricSet = newMetricSet(e)
	return e
}

// CatalogVersion implements CatalogStore. It is 0 before the first catalog.
func (e *Entry) CatalogVersion() uint64 { return e.index.Load().version }

// ApplyCatalog implements CatalogStore. It ignores versions that are not newer than
// the current one.
func (e *Entry) ApplyCatalog(update *rpc.CatalogNews) error {
	e.applyMu.Lock()
	defer e.applyMu.Unlock()
	current := e.index.Load()
	if update.Version <= current.version {
		return nil
	}
	next, err := applyUpdate(current, update)
	if err != nil {
		return err
	}
	e.index.Store(&versionedCatalog{Index: catalog.NewIndex(next), version: update.Version})
	e.log.Info("catalog applied", zap.Uint64("version", update.Version), zap.Bool("whole", update.Since == 0))
	return nil
}

// applyUpdate returns the catalog that results from an update of the current one.
func applyUpdate(current *versionedCatalog, update *rpc.CatalogNews) (catalog.Catalog, error) {
	var next catalog.Catalog
	if update.Since == 0 {
		err := json.Unmarshal(update.Whole, &next)
		return next, errors.Wrap(err, "decode catalog")
	}
	if update.Since != current.version {
		return next, errors.Errorf("catalog changes start at version %d, but the current version is %d", update.Since, current.version)
	}
	var changes []catalog.Change
	if err := json.Unmarshal(update.Changes, &changes); err != nil {
		return next, errors.Wrap(err, "decode catalog changes")
	}
	next, _ = catalog.Apply(current.Catalog(), changes) // validated before it was committed
	if machine.Hash(next) != update.Hash {
		return next, errors.New("catalog after the changes does not match the hash of the committed one")
	}
	return next, nil
}

// Run runs the entry's background tasks until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.slots.sendAcks(ctx) })
	wg.Go(func() { e.owner.Run(ctx) })
	wg.Wait()
}

// StartDraining makes /readyz fail, so that the load balancer sends no new requests.
func (e *Entry) StartDraining() { e.draining.Store(true) }

// InFlight returns the number of unfinished requests.
func (e *Entry) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests
}

// localRetryAfter is the Retry-After of requests that this box itself rejects.
const localRetryAfter = time.Second

// reserve counts a new request against the limits of its team and of the box. It
// returns a failure, and counts nothing, if a limit is reached.
func (e *Entry) reserve(t *catalog.Team, bytes int64) *Failure {
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
	if e.requests >= e.config.MaxRequests || e.heldBytes+bytes > e.config.MaxHeldBytes {
		return &Failure{
			Status:     http.StatusServiceUnavailable,
			Code:       "box_full",
			Message:    "this box has reached its limit of requests or of body bytes in memory",
			RetryAfter: localRetryAfter,
		}
	}
	e.requests++
	e.heldBytes += bytes
	e.byTeam[t.Name]++
	return nil
}

// release undoes reserve when the request is finished.
func (e *Entry) release(t *catalog.Team, bytes int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests--
	e.heldBytes -= bytes
	e.byTeam[t.Name]--
	if e.byTeam[t.Name] == 0 {
		delete(e.byTeam, t.Name)
	}
}
