// SPDX-License-Identifier: MIT

package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"lynxramp.org/event"
)

// maxServices bounds the services of a Ledger. The oldest ended order is removed for a new
// one above it.
const maxServices = 4096

// Ledger is the state of all orders in the replicated log: the newest Record of each service,
// that of the order before it, and what earlier orders left behind. The zero value is empty. It
// is not safe for concurrent use.
type Ledger struct {
	lines map[string]*line
	// keepsPastOrders is set if the lines have past orders. Without it, only the newest order of a
	// service and the one before are known.
	keepsPastOrders bool
}

// line has the records of one service. Fields with names are replicated.
type line struct {
	Newest Record `json:"newest"`
	// Previous is the last record of the order before: it may be sent again.
	Previous   *Record `json:"previous,omitempty"`
	pastOrders         // empty while the Ledger does not keep them

	// startedAt and previousStartedAt are when the orders started at the latest, by the clock
	// of this box and the elapsed times of the records. Records may be applied late.
	startedAt, previousStartedAt event.Time
	isUndated                    bool // the times are not known yet
}

// Apply applies a committed Record at the time when this box received it. Records that are
// older than what the Ledger has change nothing, and an ended order does not change.
func (l *Ledger) Apply(now event.Time, r Record) {
	if l.lines == nil {
		l.lines = make(map[string]*line)
	}
	known, ok := l.lines[r.Service]
	switch {
	case !ok:
		l.evict()
		known = &line{Newest: r, startedAt: now.Add(-r.Elapsed)}
		l.lines[r.Service] = known
	case r.Number > known.Newest.Number:
		previous := known.Newest
		known.Previous, known.previousStartedAt = &previous, known.startedAt
		known.Newest, known.startedAt = r, now.Add(-r.Elapsed)
	case known.Newest.mayBecome(r):
		known.Newest = known.Newest.merge(r)
		known.startedAt = min(known.startedAt, now.Add(-r.Elapsed))
	}
	if l.keepsPastOrders {
		known.updatePastOrders()
	}
}

// KeepPastOrders keeps past orders from now on, beginning with the last two of each service. As they are a part of
// snapshots, all boxes of a group must call it after the same record.
func (l *Ledger) KeepPastOrders() {
	if l.keepsPastOrders {
		return
	}
	l.keepsPastOrders = true
	for _, known := range l.lines {
		known.updatePastOrders()
	}
}

// pastOrdersOf returns the past orders of a service, as far as they are known.
func (l *Ledger) pastOrdersOf(known *line) pastOrders {
	copied := *known
	copied.pastOrders = known.pastOrders.clone()
	copied.updatePastOrders()
	return copied.pastOrders
}

// updatePastOrders adds the previous and the newest order. To add an order again changes nothing.
func (n *line) updatePastOrders() {
	if n.Previous != nil {
		n.begin(*n.Previous, n.previousStartedAt)
		n.replace(*n.Previous)
	}
	n.begin(n.Newest, n.startedAt)
}

// isSameOrder reports whether two records are of one order.
func (r Record) isSameOrder(other Record) bool {
	return r.Number == other.Number && r.Order == other.Order
}

// mayBecome reports whether a later record of the same order changes r.
func (r Record) mayBecome(next Record) bool {
	return r.isSameOrder(next) && !r.Phase.IsFinal() && next.Phase >= r.Phase
}

// merge returns r, changed by a later record. A record may be proposed before an earlier one
// is committed, so the figures may be older.
func (r Record) merge(next Record) Record {
	next.Elapsed = max(next.Elapsed, r.Elapsed)
	next.Ceiling = max(next.Ceiling, r.Ceiling)
	next.Requests = max(next.Requests, r.Requests)
	return next
}

// evict makes room for one more service. Services with versions that were rolled back are kept for longest.
func (l *Ledger) evict() {
	if len(l.lines) < maxServices {
		return
	}
	oldest := ""
	for service, known := range l.lines {
		if known.Newest.Phase.IsFinal() && (oldest == "" || known.isLessUseful(l.lines[oldest])) {
			oldest = service
		}
	}
	delete(l.lines, oldest)
}

// isLessUseful reports whether a line is removed before another.
func (n *line) isLessUseful(other *line) bool {
	if isEmpty := len(n.RolledBack) == 0; isEmpty != (len(other.RolledBack) == 0) {
		return isEmpty
	}
	return n.Newest.Number < other.Newest.Number
}

// MarkReceived sets the receive time of what was loaded from a snapshot.
func (l *Ledger) MarkReceived(now event.Time) {
	for _, known := range l.lines {
		if known.isUndated {
			known.date(now)
		}
	}
}

// date sets the times of what was loaded from a snapshot.
func (n *line) date(now event.Time) {
	n.isUndated = false
	n.startedAt = now.Add(-n.Newest.Elapsed)
	if n.Previous != nil {
		n.previousStartedAt = now.Add(-n.Previous.Elapsed)
	}
	if n.Completed != nil {
		n.completedStartedAt = now.Add(-n.Completed.Elapsed)
	}
}

// Get returns the newest Record of a service.
func (l *Ledger) Get(service string) (Record, bool) {
	known, ok := l.lines[service]
	if !ok {
		return Record{}, false
	}
	return known.Newest, true
}

// Services returns the services with an order, sorted.
func (l *Ledger) Services() []string { return slices.Sorted(maps.Keys(l.lines)) }

// MarshalJSON encodes the Ledger for a snapshot. Equal ledgers have equal encodings.
func (l *Ledger) MarshalJSON() ([]byte, error) {
	list := make([]*line, 0, len(l.lines))
	for _, service := range l.Services() {
		list = append(list, l.lines[service])
	}
	return json.Marshal(list)
}

// UnmarshalJSON decodes what MarshalJSON encoded. MarkReceived must be called after it.
func (l *Ledger) UnmarshalJSON(data []byte) error {
	var list []*line
	if err := json.Unmarshal(data, &list); err != nil {
		return fmt.Errorf("ledger of roll-outs: %w", err)
	}
	lines := make(map[string]*line, len(list))
	for i, known := range list {
		if known == nil {
			return fmt.Errorf("ledger of roll-outs: record %d is null", i)
		}
		known.isUndated = true
		lines[known.Newest.Service] = known
	}
	l.lines = lines
	return nil
}
