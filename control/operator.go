// SPDX-License-Identifier: MIT

package control

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	"lynxramp.org/catalog"
	"lynxramp.org/event"
	"lynxramp.org/machine"
	"lynxramp.org/rpc"
	"lynxramp.org/sched"
)

// Apply implements rpc.Operator. It returns when the change is committed.
func (s *Service) Apply(ctx context.Context, r *rpc.ApplyRequest) (*rpc.ApplyResponse, error) {
	if r.Id == "" {
		return nil, twirp.RequiredArgumentError("id")
	}
	var changes []catalog.Change
	if err := json.Unmarshal(r.Changes, &changes); err != nil {
		return nil, twirp.InvalidArgumentError("changes", err.Error())
	}
	token, answered := s.outboxes.NewToken()
	defer s.outboxes.DropToken(token)
	status, err := s.loop.Post(ctx, &ChangeRequested{
		Token: token,
		Wall:  time.Now().UnixMilli(),
		Change: machine.CatalogChange{
			ID: r.Id, Operator: r.Operator, Expect: r.Expect, Changes: changes,
		},
	})
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	select {
	case a := <-answered:
		return &rpc.ApplyResponse{
			Leads: a.IsLeader, Leader: status.Leader, Version: a.Result.Version,
			Conflict: a.Result.Conflict, Problems: a.Result.Problems, Again: a.Duplicate,
		}, nil
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.DeadlineExceeded, "the command's result is not known; send it again with the same id")
	}
}

// Show implements rpc.Operator.
func (s *Service) Show(ctx context.Context, _ *rpc.ShowRequest) (*rpc.ShowResponse, error) {
	answer := &rpc.ShowResponse{}
	err := s.loop.Inspect(ctx, func(now event.Time, state *State) { state.show(now, answer) })
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return answer, nil
}

// show fills in the response for operators.
func (s *State) show(now event.Time, r *rpc.ShowResponse) {
	c, version := s.machine.Catalog()
	r.Leads = s.isOwner(now)
	r.Leader = s.leaderAddress()
	r.Version = version
	r.Catalog = mustJSON(c)
	r.Epoch = uint64(s.epoch)
	r.Members = rpc.MembershipMessage(s.node.Members())
	for id, b := range s.entries {
		r.Boxes = append(r.Boxes, &rpc.BoxVersion{
			Box: string(id), Version: b.version, SilentMs: uint32(now.Sub(b.lastHeartbeat).Milliseconds()),
		})
	}
	slices.SortFunc(r.Boxes, func(a, b *rpc.BoxVersion) int { return cmp.Compare(a.Box, b.Box) })
	for _, name := range s.poolNames {
		p := s.pools[name]
		r.Pools = append(r.Pools, &rpc.PoolStatus{
			Name: name, Waiting: uint32(p.Waiting()), Running: uint32(p.Running()), Endpoints: endpointMessages(p.Endpoints(now)),
		})
	}
}

func endpointMessages(list []sched.EndpointStatus) []*rpc.EndpointStatus {
	messages := make([]*rpc.EndpointStatus, 0, len(list))
	for _, e := range list {
		messages = append(messages, &rpc.EndpointStatus{Name: string(e.ID), Running: uint32(e.Running), Serves: e.Available})
	}
	return messages
}
