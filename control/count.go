// SPDX-License-Identifier: MIT

package control

import (
	"context"

	"github.com/twitchtv/twirp"

	"lynxramp.org/event"
	"lynxramp.org/rpc"
	"lynxramp.org/sched"
)

// groupCounts maps a request's What to the scheduler's counts.
var groupCounts = map[string]func(*sched.State) map[sched.Group]int{
	"waiting": (*sched.State).WaitingGroups,
	"running": (*sched.State).RunningGroups,
	"refused": (*sched.State).RefusedGroups,
}

// Count implements rpc.Operator.
func (s *Service) Count(ctx context.Context, r *rpc.CountRequest) (*rpc.CountResponse, error) {
	groups, ok := groupCounts[r.What]
	if !ok {
		return nil, twirp.InvalidArgumentError("what", "must be waiting, running or refused")
	}
	answer := &rpc.CountResponse{}
	err := s.loop.Inspect(ctx, func(now event.Time, state *State) {
		answer.Leads = state.isOwner(now)
		answer.Rows = state.count(groups)
	})
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return answer, nil
}

// count returns a row for each group of requests in each pool.
func (s *State) count(groups func(*sched.State) map[sched.Group]int) []*rpc.CountRow {
	c, _ := s.machine.Catalog()
	tiers := make(map[int]string)
	for _, t := range c.Tiers {
		tiers[t.Rank] = t.Name
	}
	var rows []*rpc.CountRow
	for _, pool := range s.poolNames {
		for g, n := range groups(s.pools[pool]) {
			row := &rpc.CountRow{Team: g.Team, Tier: tiers[g.Rank], Pool: pool, Endpoint: string(g.Endpoint), Count: uint32(n)}
			if g.Reason != event.ReasonNone {
				row.Reason = g.Reason.String()
			}
			rows = append(rows, row)
		}
	}
	return rows
}
