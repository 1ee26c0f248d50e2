// SPDX-License-Identifier: MIT

package replay

import (
	"fmt"
	"slices"

	"lynxramp.org/trace"
)

// RankResult is what came of the requests of one tier.
type RankResult struct {
	Offered  int
	InTime   int // answered whole before the caller's deadline
	TimedOut int // the caller hung up
	Refused  int
}

// Goodput returns the share of requests answered in time.
func (r RankResult) Goodput() float64 {
	if r.Offered == 0 {
		return 1
	}
	return float64(r.InTime) / float64(r.Offered)
}

// Result is what came of a replay.
type Result struct {
	Trace  string
	Policy string
	Ranks  map[int]*RankResult
	// Prefilled is all prompt tokens computed, Repeated those of them that had
	// been computed before, Thrown those of requests cancelled before their end.
	Prefilled, Repeated, Thrown int
	// TierViolations counts requests shed while one of a lower tier waited.
	TierViolations int
}

func (r *Result) rank(n int) *RankResult {
	if r.Ranks[n] == nil {
		r.Ranks[n] = &RankResult{}
	}
	return r.Ranks[n]
}

// Goodput returns the share of all requests answered in time.
func (r Result) Goodput() float64 {
	var all RankResult
	for _, one := range r.Ranks {
		all.Offered += one.Offered
		all.InTime += one.InTime
	}
	return all.Goodput()
}

// Wasted returns the prompt tokens that were repeated or thrown away.
func (r Result) Wasted() int { return r.Repeated + r.Thrown }

// WastedShare returns the share of wasted prompt tokens among all computed.
func (r Result) WastedShare() float64 {
	return float64(r.Wasted()) / float64(max(1, r.Prefilled))
}

// SortedRanks returns the tiers, highest first.
func (r Result) SortedRanks() []int {
	ranks := make([]int, 0, len(r.Ranks))
	for n := range r.Ranks {
		ranks = append(ranks, n)
	}
	slices.Sort(ranks)
	slices.Reverse(ranks)
	return ranks
}

// Violations returns what falls short of the stated outcomes, a line each.
func (r Result) Violations(want trace.Outcomes) []string {
	var misses []string
	for _, n := range r.SortedRanks() {
		if least, ok := want.Goodput[n]; ok && r.Ranks[n].Goodput() < least {
			misses = append(misses, fmt.Sprintf("goodput of rank %d is %.3f, at least %.3f is stated", n, r.Ranks[n].Goodput(), least))
		}
	}
	if r.WastedShare() > want.WastedPrefill {
		misses = append(misses, fmt.Sprintf("wasted prefill is %.3f, at most %.3f is stated", r.WastedShare(), want.WastedPrefill))
	}
	if r.TierViolations > 0 {
		misses = append(misses, fmt.Sprintf("%d requests were shed while one of a lower tier waited", r.TierViolations))
	}
	return misses
}
