// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"lynxramp.org/event"
	"lynxramp.org/machine"
	"lynxramp.org/rpc"
)

// maxExchangeWait bounds how long an Exchange may wait for a decision.
const maxExchangeWait = 3 * time.Second

// Service is the API of a control box for entries, slots and operators. It
// implements rpc.Scheduler and rpc.Operator.
type Service struct {
	loop     *Loop
	outboxes *Outboxes

	mu         sync.Mutex
	lastUpdate *rpc.CatalogNews // the last built
}

// NewService returns the service of the box whose state loop owns.
func NewService(loop *Loop, outboxes *Outboxes) *Service {
	return &Service{loop: loop, outboxes: outboxes}
}

// Exchange implements rpc.Scheduler.
func (s *Service) Exchange(ctx context.Context, r *rpc.ExchangeRequest) (*rpc.ExchangeResponse, error) {
	entry := event.BoxID(r.Entry)
	if entry == "" {
		return nil, twirp.RequiredArgumentError("entry")
	}
	s.outboxes.SetInstance(entry, r.Incarnation)
	status, err := s.loop.Post(ctx, r.Events()...)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	answer := &rpc.ExchangeResponse{Epoch: uint64(status.Epoch), Owner: status.IsOwner, Leader: status.Leader}
	if !status.IsOwner {
		return answer, nil
	}
	ack := r.Ack
	if r.Epoch != answer.Epoch {
		ack = 0
	}
	wait := time.Duration(r.WaitMs) * time.Millisecond
	if r.Version != status.Version {
		wait = 0
	}
	answer.Decisions = s.await(ctx, entry, ack, wait)
	if r.WaitMs > 0 {
		answer.Catalog, err = s.catalogUpdate(ctx, r.Version)
	}
	return answer, err
}

// await returns the decisions after ack; if there are none, it waits for the next one.
func (s *Service) await(ctx context.Context, entry event.BoxID, ack uint64, wait time.Duration) []*rpc.Decision {
	decisions, changed := s.outboxes.Fetch(entry, ack)
	if len(decisions) > 0 || wait == 0 {
		return decisions
	}
	timer := time.NewTimer(min(wait, maxExchangeWait))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	decisions, _ = s.outboxes.Fetch(entry, ack)
	return decisions
}

// catalogUpdate returns the update from a version to the current one; nil if there is
// none.
func (s *Service) catalogUpdate(ctx context.Context, since uint64) (*rpc.CatalogNews, error) {
	var update *rpc.CatalogNews
	err := s.loop.Inspect(ctx, func(now event.Time, state *State) {
		if state.Status(now).IsOwner {
			update = s.makeUpdate(state.Machine(), since)
		}
	})
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return update, nil
}

// makeUpdate builds an update of the catalog, or reuses the last one if it matches.
func (s *Service) makeUpdate(m *machine.State, since uint64) *rpc.CatalogNews {
	c, version := m.Catalog()
	if version == since {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.lastUpdate; n != nil && n.Version == version && n.Since == since {
		return n
	}
	n := &rpc.CatalogNews{Version: version, Since: since, Hash: machine.Hash(c)}
	if changes, ok := m.ChangesSince(since); ok && since > 0 {
		n.Changes = mustJSON(changes)
	} else {
		n.Since = 0
		n.Whole = mustJSON(c)
	}
	s.lastUpdate = n
	return n
}

// mustJSON encodes a value of the catalog's types, which can't fail.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Report implements rpc.Scheduler.
func (s *Service) Report(ctx context.Context, r *rpc.ReportRequest) (*rpc.ReportResponse, error) {
	if r.Endpoint == "" || r.Address == "" {
		return nil, twirp.RequiredArgumentError("endpoint and address")
	}
	status, err := s.loop.Post(ctx, r.Event())
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpc.ReportResponse{Epoch: uint64(status.Epoch), Owner: status.IsOwner, Leader: status.Leader}, nil
}
