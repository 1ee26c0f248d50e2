// SPDX-License-Identifier: MIT

package replay

import (
	"fmt"
	"slices"

	"lynxramp.org/trace"
)

// RankResult counts the requests of one tier (one rank) by outcome.
type RankResult struct {
	Offered  int
	InTime   int // answered completely before the deadline
	TimedOut int // disconnected at the deadline
	Refused  int
}

// Goodput returns the fraction of requests answered in time; 1 if there were none.
func (r RankResult) Goodput() float64 {
	if r.Offered == 0 {
		return 1
	}
	return float64(r.InTime) / float64(r.Offered)
}

// Result is the outcome of a replay.
type Result struct {
	Trace  string
	Policy string
	Ranks  map[int]*RankResult // by rank of the tier
	// Prefilled counts all prompt tokens computed, Recomputed those that had been computed
	// before, Discarded those of requests cancelled before their end.
	Prefilled, Recomputed, Discarded int
	// TierViolations counts requests shed while one of a lower tier was queued.
	TierViolations int
}

func (r *Result) rankResult(n int) *RankResult {
	if r.Ranks[n] == nil {
		r.Ranks[n] = &RankResult{}
	}
	return r.Ranks[n]
}

// Goodput returns the fraction of all requests answered in time; 1 if there were none.
func (r Result) Goodput() float64 {
	var all RankResult
	for _, one := range r.Ranks {
		all.Offered += one.Offered
		all.InTime += one.InTime
	}
	return all.Goodput()
}

// Wasted returns the number of prompt tokens recomputed or discarded.
func (r Result) Wasted() int { return r.Recomputed + r.Discarded }

// WastedShare returns the fraction of computed prompt tokens that were wasted, from 0 to 1.
func (r Result) WastedShare() float64 {
	return float64(r.Wasted()) / float64(max(1, r.Prefilled))
}

// SortedRanks returns the keys of Ranks, highest first.
func (r Result) SortedRanks() []int {
	ranks := make([]int, 0, len(r.Ranks))
	for n := range r.Ranks {
		ranks = append(ranks, n)
	}
	slices.Sort(ranks)
	slices.Reverse(ranks)
	return ranks
}

// Violations returns the objectives that the result fails to meet, a line each.
func (r Result) Violations(objectives trace.Objectives) []string {
	var violations []string
	for _, n := range r.SortedRanks() {
		if minimum, ok := objectives.Goodput[n]; ok && r.Ranks[n].Goodput() < minimum {
			violations = append(violations, fmt.Sprintf("goodput of rank %d is %.3f, objective is at least %.3f", n, r.Ranks[n].Goodput(), minimum))
		}
	}
	if r.WastedShare() > objectives.WastedPrefill {
		violations = append(violations, fmt.Sprintf("wasted prefill is %.3f, objective is at most %.3f", r.WastedShare(), objectives.WastedPrefill))
	}
	if r.TierViolations > 0 {
		violations = append(violations, fmt.Sprintf("%d requests were shed while one of a lower tier was queued", r.TierViolations))
	}
	return violations
}
