// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lynxramp.org/rpc"
)

// scriptedScheduler answers with response, or with err if it is set.
type scriptedScheduler struct {
	rpc.Scheduler
	response *rpc.ExchangeResponse
	err      error
}

func (s *scriptedScheduler) Exchange(context.Context, *rpc.ExchangeRequest) (*rpc.ExchangeResponse, error) {
	return s.response, s.err
}

// scriptedCatalogs is a store of which ApplyCatalog returns err.
type scriptedCatalogs struct {
	version uint64
	err     error
}

func (s *scriptedCatalogs) CatalogVersion() uint64 { return s.version }

func (s *scriptedCatalogs) ApplyCatalog(*rpc.CatalogNews) error { return s.err }

// TestFullCatalogIsRequestedAfterFailedCall guards against an entry that keeps a catalog to which an update could not be applied:
// the call that requested the full one failed, and the next one did not request it again.
func TestFullCatalogIsRequestedAfterFailedCall(t *testing.T) {
	scheduler := &scriptedScheduler{response: &rpc.ExchangeResponse{Owner: true, Catalog: &rpc.CatalogNews{}}}
	catalogs := &scriptedCatalogs{version: 3, err: errors.New("an update to another version")}
	c := NewOwnerClient("entry", 1, []Scheduler{{Address: "box", Client: scheduler}}, catalogs, zap.NewNop())
	requested := func() uint64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.newExchange().Version
	}
	exchange := func() { c.exchange(context.Background(), &rpc.ExchangeRequest{Version: requested()}, time.Second) }
	if v := requested(); v != 3 {
		t.Fatalf("updates since version %d are requested, want 3", v)
	}
	exchange() // the update is not applied
	scheduler.err = errors.New("connection refused")
	exchange()
	if v := requested(); v != 0 {
		t.Errorf("updates since version %d are requested after a failed call, want the full catalog", v)
	}
	scheduler.err, catalogs.err = nil, nil
	exchange()
	if v := requested(); v != 3 {
		t.Errorf("updates since version %d are requested after the full catalog was applied, want 3", v)
	}
}
