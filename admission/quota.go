// SPDX-License-Identifier: MIT

package admission

import (
	"lynxramp.org/budget"
	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/routing"
)

// Budget is what a State spends quotas and repeats out of: an owner's Book, or what an
// entry was lent.
type Budget interface {
	// Spend counts an amount for an entry and reports whether it fits.
	Spend(now event.Time, entry event.BoxID, a budget.Account, amount int) bool
	// GiveBack takes back what was spent at a moment and that no endpoint had.
	GiveBack(now event.Time, a budget.Account, at event.Time, amount int)
	SetLimit(now event.Time, a budget.Account, l budget.Limit)
	// DropLimit says that an account is bounded no more and will not be spent from.
	DropLimit(a budget.Account)
	// Room returns how long it takes until an amount may fit.
	Room(now event.Time, a budget.Account, amount int) event.Span
	// IsLent reports whether all that may be spent was lent by an owner that is lost: another
	// may have room at any moment.
	IsLent() bool
	// State returns what was spent of an account and may be, for the log.
	State(now event.Time, a budget.Account) (spent, limit int)
}

// requestsPart is the part of a retry window whose requests a service's repeats are bounded
// by. The rule counts the requests of the window itself, of the one before or of one half a
// window earlier, and each span of half a window lies in one of them; it is a little less,
// since a Window forgets late.
const requestsPart = 0.48

// limitTeam bounds a team's account by the rule for quotas, overshoot and slack included.
func (s *State) limitTeam(now event.Time, team *routing.Team) {
	quota := team.Rate*s.limits.QuotaWindow.Seconds() + team.Burst
	most := int(quota*(1+s.limits.QuotaOvershoot) + s.limits.QuotaSlack)
	s.budget.SetLimit(now, budget.Team(team.Name), budget.Limit{Window: s.limits.QuotaWindow, Most: most, Base: most})
}

// dropLimits drops the limits of a table's teams and services that are not in force any more:
// an owner would else keep each that it ever had.
func (s *State) dropLimits(old *routing.Table) {
	for i := range old.Teams {
		if name := old.Teams[i].Name; s.quotaOf(name) == nil {
			s.budget.DropLimit(budget.Team(name))
		}
	}
	for i := range old.Services {
		if name := old.Services[i].Name; s.table.Service(name) == nil {
			s.budget.DropLimit(budget.Repeats(name))
		}
	}
}

// limitRepeats bounds a service's repeats by the requests that it had lately. What counts
// may arrive later by message.RepeatLife, so it counts for that much longer.
func (s *State) limitRepeats(now event.Time, name string, v *service) {
	most := s.limits.RetryMin + int(s.limits.RetryRatio*float64(v.requests.Total(now)))
	s.budget.SetLimit(now, budget.Repeats(name), budget.Limit{
		Window: s.limits.RetryWindow + message.RepeatLife, Most: most, Base: s.limits.RetryMin,
	})
}

// mayRepeat counts a repeat and reports whether the service may have it.
func (s *State) mayRepeat(now event.Time, entry event.BoxID, name string) bool {
	s.limitRepeats(now, name, s.service(now, name))
	return s.budget.Spend(now, entry, budget.Repeats(name), 1)
}

// spend counts an amount against a team's quota and reports whether it fits. A team that
// is not known, or has no quota, may spend all it likes.
func (s *State) spend(now event.Time, entry event.BoxID, name string, amount int) bool {
	if team := s.quotaOf(name); team == nil {
		return true
	}
	return s.budget.Spend(now, entry, budget.Team(name), amount)
}

// quotaOf returns a team that has a quota; nil for any other.
func (s *State) quotaOf(name string) *routing.Team {
	if s.table == nil {
		return nil
	}
	team := s.table.Team(name)
	if team == nil || team.Rate == 0 {
		return nil
	}
	return team
}
