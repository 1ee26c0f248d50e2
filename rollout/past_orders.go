// SPDX-License-Identifier: MIT

package rollout

import (
	"cmp"
	"slices"

	"lynxramp.org/event"
)

// maxRolledBack bounds the versions of a service that are kept as rolled back. Above it the one
// whose order is the oldest is forgotten, and is used like any version without an order.
const maxRolledBack = 32

// RolledBack is a version that gets no requests, as its last order was not completed.
type RolledBack struct {
	Version string `json:"version"`
	Number  uint64 `json:"number"` // of the order
}

// pastOrders is what the orders of a service leave behind, the newest included once it ended. The
// zero value is empty. Fields with names are replicated.
type pastOrders struct {
	// RolledBack has the versions that get nothing until they are ordered again, sorted by number.
	RolledBack []RolledBack `json:"rolled_back,omitempty"`
	// Completed is the last record of the last order that was completed; nil for none.
	Completed *Record `json:"completed,omitempty"`

	completedStartedAt event.Time
}

// begin adds an order that started at a time: its version is judged anew.
func (p *pastOrders) begin(r Record, startedAt event.Time) {
	p.forget(r.Version)
	if r.Phase.IsFinal() {
		p.end(r, startedAt)
	}
}

// replace ends an order because another one of the service begins. If it is in progress, its version is unproved.
func (p *pastOrders) replace(r Record) {
	if !r.Phase.IsFinal() {
		p.rollBack(r)
	}
}

// end adds the last record of an order.
func (p *pastOrders) end(r Record, startedAt event.Time) {
	if r.Phase == PhaseCompleted {
		p.Completed, p.completedStartedAt = &r, startedAt
		return
	}
	p.rollBack(r)
}

func (p *pastOrders) rollBack(r Record) {
	p.forget(r.Version)
	p.RolledBack = append(p.RolledBack, RolledBack{Version: r.Version, Number: r.Number})
	slices.SortFunc(p.RolledBack, func(b, c RolledBack) int { return cmp.Compare(b.Number, c.Number) })
	if len(p.RolledBack) > maxRolledBack {
		p.RolledBack = slices.Delete(p.RolledBack, 0, 1)
	}
}

// forget removes a version from those that were rolled back.
func (p *pastOrders) forget(version string) {
	p.RolledBack = slices.DeleteFunc(p.RolledBack, func(b RolledBack) bool { return b.Version == version })
}

// rollBackOf returns the order that rolled a version back; false if the version was not rolled back.
func (p *pastOrders) rollBackOf(version string) (number uint64, ok bool) {
	for _, b := range p.RolledBack {
		if b.Version == version {
			return b.Number, true
		}
	}
	return 0, false
}

// hasCompleted reports whether the last order that was completed is for a version.
func (p *pastOrders) hasCompleted(version string) bool {
	return p.Completed != nil && p.Completed.Version == version
}

// clone returns a copy that does not change with the original.
func (p *pastOrders) clone() pastOrders {
	copied := *p
	copied.RolledBack = slices.Clone(p.RolledBack)
	return copied
}
