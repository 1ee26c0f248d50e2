// SPDX-License-Identifier: MIT

package admission

import (
	"lynxramp.org/budget"
	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/routing"
)

// Budget is what a State spends quotas and retries from: an owner's Allocator, or the Leases of an
// entry.
type Budget interface {
	// Spend spends an amount for an entry and reports whether it was available.
	Spend(now event.Time, entry event.BoxID, a budget.Account, amount int) bool
	// Refund refunds an amount that was spent at a given time and that no endpoint received.
	Refund(now event.Time, a budget.Account, at event.Time, amount int)
	SetLimit(now event.Time, a budget.Account, l budget.Limit)
	// DropLimit removes the limit of an account, which will not be spent from again.
	DropLimit(a budget.Account)
	// AvailableIn returns how long it takes until an amount may be available.
	AvailableIn(now event.Time, a budget.Account, amount int) event.Duration
	// IsLeased reports whether the budget was leased by an owner that is lost: a new owner may have more
	// available at any time.
	IsLeased() bool
	// Usage returns the amount spent from an account and its limit, for the log.
	Usage(now event.Time, a budget.Account) (spent, limit int)
}

// requestWindowRatio is the part of a retry window whose requests bound a service's retries. The rule
// counts the requests of the current window, the previous one, or one shifted by half a window; each
// span of half a window lies within one of them. It is below 0.5 since a Window expires late.
const requestWindowRatio = 0.48

// setQuotaLimit sets the limit of a team's account: its quota with overshoot and slack.
func (s *State) setQuotaLimit(now event.Time, team *routing.Team) {
	quota := team.Rate*s.limits.QuotaWindow.Seconds() + team.Burst
	most := int(quota*(1+s.limits.QuotaOvershoot) + s.limits.QuotaSlack)
	s.budget.SetLimit(now, budget.Team(team.Name), budget.Limit{Window: s.limits.QuotaWindow, Max: most, Base: most})
}

// dropLimits drops the limits of teams and services that are in the old table but not in the new one,
// so that an owner does not accumulate them.
func (s *State) dropLimits(old *routing.Table) {
	for i := range old.Teams {
		if name := old.Teams[i].Name; s.quotaOf(name) == nil {
			s.budget.DropLimit(budget.Team(name))
		}
	}
	for i := range old.Services {
		if name := old.Services[i].Name; s.table.Service(name) == nil {
			s.budget.DropLimit(budget.Retries(name))
		}
	}
}

// setRetryLimit limits a service's retries by its recent requests. A retry may arrive up to
// message.MaxRetryAge after its decision, so the window is extended by that.
func (s *State) setRetryLimit(now event.Time, name string, v *service) {
	most := s.limits.RetryMin + int(s.limits.RetryRatio*float64(v.requests.Total(now)))
	s.budget.SetLimit(now, budget.Retries(name), budget.Limit{
		Window: s.limits.RetryWindow + message.MaxRetryAge, Max: most, Base: s.limits.RetryMin,
	})
}

// spendRetry spends one retry of a service and reports whether it was available.
func (s *State) spendRetry(now event.Time, entry event.BoxID, name string) bool {
	s.setRetryLimit(now, name, s.service(now, name))
	return s.budget.Spend(now, entry, budget.Retries(name), 1)
}

// spendQuota spends an amount of a team's quota and reports whether it was available. A team that is
// unknown or has no quota is not limited.
func (s *State) spendQuota(now event.Time, entry event.BoxID, name string, amount int) bool {
	if team := s.quotaOf(name); team == nil {
		return true
	}
	return s.budget.Spend(now, entry, budget.Team(name), amount)
}

// quotaOf returns the team if it has a quota, else nil.
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
