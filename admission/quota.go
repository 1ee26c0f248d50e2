// SPDX-License-Identifier: MIT

package admission

import (
	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/routing"
)

// ownerPart is the part of what quotas may be overrun by that an owner uses. The
// rest is for entries that decide without one.
const ownerPart = 0.75

// spend counts an amount against a team's quota and reports whether it fits.
func (s *State) spend(now event.Time, name string, amount int) bool {
	var team *routing.Team
	if s.table != nil {
		team = s.table.Team(name)
	}
	if team == nil || amount == 0 {
		return true
	}
	w := s.window(name)
	if team.Rate > 0 && !s.fits(now, team, w, amount) {
		return false
	}
	w.add(now, amount)
	return true
}

func (s *State) fits(now event.Time, team *routing.Team, w *window, amount int) bool {
	if float64(w.total(now)+amount) > s.limitOf(team) {
		return false
	}
	return s.share == 1 || s.take(now, team, amount)
}

// limitOf returns what a team may spend here in a window.
func (s *State) limitOf(team *routing.Team) float64 {
	limit := team.Rate*s.limits.QuotaWindow.Seconds() + team.Burst
	limit += (limit*s.limits.QuotaOvershoot + s.limits.QuotaSlack) * ownerPart
	return limit * s.share * (1 - s.reserve)
}

// giveBack takes back what was spent of a team's quota at a moment.
func (s *State) giveBack(now event.Time, team string, at event.Time, amount int) {
	if w, ok := s.spent[team]; ok && amount > 0 {
		w.remove(now, at, amount)
		if b := s.buckets[team]; b != nil {
			b.tokens += float64(amount)
		}
	}
}

// Spent returns what a team has spent and may spend here in a window, for the log.
func (s *State) Spent(now event.Time, team string) (spent, limit int) {
	in := s.quotaInputs(now, team)
	return in.Spent, in.Limit
}

func (s *State) window(team string) *window {
	w, ok := s.spent[team]
	if !ok {
		w = newWindow(s.limits.QuotaWindow)
		s.spent[team] = w
	}
	return w
}

// Report returns what was spent and sent here lately.
func (s *State) Report(now event.Time) message.Ledger {
	var l message.Ledger
	for name, w := range s.spent {
		l.Teams = append(l.Teams, spendings(now, name, w)...)
	}
	for name, v := range s.services {
		l.Requests = append(l.Requests, spendings(now, name, v.requests)...)
		l.Repeats = append(l.Repeats, spendings(now, name, v.repeats)...)
	}
	return l
}

func spendings(now event.Time, name string, w *window) []message.Spending {
	var list []message.Spending
	w.each(now, func(age event.Span, amount int) {
		list = append(list, message.Spending{Name: name, Age: age, Amount: amount})
	})
	return list
}

// Take counts what was spent elsewhere within the last span.
func (s *State) Take(now event.Time, l message.Ledger, within event.Span) {
	take := func(list []message.Spending, window func(string) *window) {
		for _, p := range list {
			if p.Age <= within {
				window(p.Name).addAt(now, now.Add(-p.Age), p.Amount)
			}
		}
	}
	take(l.Teams, s.window)
	take(l.Requests, func(name string) *window { return s.service(now, name).requests })
	take(l.Repeats, func(name string) *window { return s.service(now, name).repeats })
}

// Assume counts a part of each team's quota as spent evenly over the part of the
// window that is older than age: what was spent then is not known.
func (s *State) Assume(now event.Time, age event.Span, part float64) {
	if s.table == nil {
		return
	}
	for i := range s.table.Teams {
		team := &s.table.Teams[i]
		w := s.window(team.Name)
		amount := team.Rate * w.bin.Seconds() * part
		if team.Rate > 0 && age < s.limits.QuotaWindow {
			w.addAt(now, now.Add(-age), int(team.Burst*part))
		}
		for back := age; back < s.limits.QuotaWindow; back += w.bin {
			w.addAt(now, now.Add(-back), int(amount))
		}
	}
}

// Note counts here what another State granted, so that Report tells of it.
func (s *State) Note(now event.Time, m *message.Submission) {
	s.window(m.Ticket.Team).add(now, m.Quota)
	v := s.service(now, m.Ticket.Service)
	if m.Repeat {
		v.repeats.add(now, 1)
		return
	}
	v.requests.add(now, 1)
}
