// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"lynxramp.org/event"
	"lynxramp.org/rpc"
)

// maxWait bounds how long an exchange may wait for a decision.
const maxWait = 2 * time.Second

// Service is the face of a scheduler towards entries and slots. It implements
// rpc.Scheduler.
type Service struct {
	loop  *Loop
	boxes *Outboxes
	epoch event.Epoch
}

// NewService returns the face of the scheduler that loop owns.
func NewService(loop *Loop, boxes *Outboxes, epoch event.Epoch) *Service {
	return &Service{loop: loop, boxes: boxes, epoch: epoch}
}

// Exchange implements rpc.Scheduler.
func (s *Service) Exchange(ctx context.Context, r *rpc.ExchangeRequest) (*rpc.ExchangeResponse, error) {
	entry := event.BoxID(r.Entry)
	if entry == "" {
		return nil, twirp.RequiredArgumentError("entry")
	}
	s.boxes.Begin(entry, r.Incarnation)
	if err := s.loop.Post(ctx, r.Events()...); err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	ack := r.Ack
	if r.Epoch != uint64(s.epoch) {
		ack = 0
	}
	return &rpc.ExchangeResponse{
		Epoch:     uint64(s.epoch),
		Decisions: s.await(ctx, entry, ack, time.Duration(r.WaitMs)*time.Millisecond),
	}, nil
}

// await returns the decisions after ack, if need be after waiting for one.
func (s *Service) await(ctx context.Context, entry event.BoxID, ack uint64, wait time.Duration) []*rpc.Decision {
	decisions, changed := s.boxes.After(entry, ack)
	if len(decisions) > 0 || wait == 0 {
		return decisions
	}
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	decisions, _ = s.boxes.After(entry, ack)
	return decisions
}

// Report implements rpc.Scheduler.
func (s *Service) Report(ctx context.Context, r *rpc.ReportRequest) (*rpc.ReportResponse, error) {
	if r.Endpoint == "" || r.Address == "" {
		return nil, twirp.RequiredArgumentError("endpoint and address")
	}
	if err := s.loop.Post(ctx, r.Event()); err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpc.ReportResponse{Epoch: uint64(s.epoch)}, nil
}
