// SPDX-License-Identifier: MIT

package admission

import (
	"fmt"
	"testing"
	"time"

	"lynxramp.org/budget"
	"lynxramp.org/event"
	"lynxramp.org/routing"
)

// manyTable returns a table with n teams and routes.
func manyTable(n int, generation string) *routing.Table {
	t := &routing.Table{Services: []routing.Service{{Name: "s"}}}
	for i := range n {
		name := fmt.Sprintf("team-%s-%05d", generation, i)
		t.Teams = append(t.Teams, routing.Team{Name: name, Keys: []string{"key-" + name}, Rate: 1000, Burst: 1000})
		t.Routes = append(t.Routes, routing.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Split: []routing.WeightedService{{Service: "s", Weight: 1}}})
	}
	t.Index()
	return t
}

// inheritedState returns the State of an owner that replaces another one.
func inheritedState() *State {
	var past budget.Ledger
	past.Apply(budget.Record{})
	past.MarkReceived(0)
	return New(testLimits, 1, committingAllocator{budget.RestoreAllocator(0, 5*event.Second, &past)}, emptyPoisonTracker())
}

// maxTableTime is the longest that an owner may take to apply a new configuration, which blocks its
// loop: an eighth of the minimum election timeout.
const maxTableTime = 50 * time.Millisecond

// TestLargeTableIsAppliedInTime: an owner applies a new table, and drops the limits of removed teams, in
// one step that must not cost it its leadership. The fastest of several runs counts, since the machine
// may be busy.
func TestLargeTableIsAppliedInTime(t *testing.T) {
	const teams = 14000
	old, next := manyTable(teams, "a"), manyTable(teams, "b")
	first, change := time.Hour, time.Hour
	for range 5 {
		s := inheritedState()
		start := time.Now()
		s.SetTable(0, old)
		first = min(first, time.Since(start))
		start = time.Now()
		s.SetTable(0, next)
		change = min(change, time.Since(start))
	}
	if first > maxTableTime || change > maxTableTime {
		t.Errorf("%d teams and routes are applied in %v and replaced in %v, want at most %v", teams, first, change, maxTableTime)
	}
}

// BenchmarkSetTable measures applying a table to a new State, again, and in place of another one.
func BenchmarkSetTable(b *testing.B) {
	for _, n := range []int{16, 1200, 14000} {
		one, other := manyTable(n, "a"), manyTable(n, "b")
		b.Run(fmt.Sprintf("%d teams, new", n), func(b *testing.B) {
			for b.Loop() {
				inheritedState().SetTable(0, one)
			}
		})
		b.Run(fmt.Sprintf("%d teams, the same", n), func(b *testing.B) {
			s := inheritedState()
			for b.Loop() {
				s.SetTable(0, one)
			}
		})
		b.Run(fmt.Sprintf("%d teams, all replaced", n), func(b *testing.B) {
			s := inheritedState()
			for i := 0; b.Loop(); i++ {
				s.SetTable(0, []*routing.Table{one, other}[i%2])
			}
		})
	}
}

// TestRemovedTeamHasNoLimit: the limit of a team that was removed, or has no quota any more, must not be kept.
func TestRemovedTeamHasNoLimit(t *testing.T) {
	s := newTestState(0)
	removed, unlimited := budget.Team("t"), budget.Team("u")
	table := testTable()
	table.Teams = append(table.Teams, routing.Team{Name: "u", Rate: 10, Burst: 10})
	table.Index()
	s.SetTable(0, table)
	next := &routing.Table{Services: table.Services, Teams: []routing.Team{{Name: "u"}, {Name: "v", Rate: 10, Burst: 10}}}
	next.Index()
	s.SetTable(0, next)
	for account, want := range map[budget.Account]bool{removed: false, unlimited: false, budget.Team("v"): true} {
		if _, limit := s.budget.Usage(0, account); (limit > 0) != want {
			t.Errorf("%s has a limit of %d, want one: %v", account, limit, want)
		}
	}
}

// TestRemovedServiceHasNoRetryBudget: the limit on retries of a removed service must not be kept.
func TestRemovedServiceHasNoRetryBudget(t *testing.T) {
	s := newTestState(0)
	next := &routing.Table{Services: []routing.Service{{Name: "other"}}}
	next.Index()
	s.SetTable(0, next)
	if _, limit := s.budget.Usage(0, budget.Retries("s")); limit > 0 {
		t.Errorf("a limit of %d for the retries of a removed service", limit)
	}
}
