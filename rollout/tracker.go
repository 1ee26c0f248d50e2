// SPDX-License-Identifier: MIT

package rollout

import (
	"cmp"
	"slices"

	"lynxramp.org/event"
)

const (
	// resendTime is how long after its start an order that ended is recognized when it is
	// sent again. Orders are sent again for 5 s at most.
	resendTime = 10 * event.Second
	// proposalTimeout is the time after which a proposal that is not committed is lost: an
	// owner that commits nothing for this long has no lease.
	proposalTimeout = 10 * event.Second
	// oldStopTime is how long after an order's deadline the endpoints of the versions before it get nothing if it was
	// completed. They stop at once, without draining.
	oldStopTime = 30 * event.Second
)

// Tracker is the owner's state of all orders. It is a reducer and not safe for concurrent use.
type Tracker struct {
	limits     Limits
	services   map[string]*service
	lastNumber uint64
}

// service is the state of one service.
type service struct {
	name string
	// capacity and running are by version: slots of its endpoints, and requests on them.
	capacity, running map[string]int
	// oldStopped is set once the endpoints of other versions have had the time to stop after the last
	// order that was completed.
	oldStopped bool

	newest, previous *order // committed; nil for none
	proposed         *order // not committed yet; nil for none
	pastOrders
}

// order is an order with the time of its start.
type order struct {
	record    Record // the last committed one
	startedAt event.Time
	progress  *progress // nil once the order ended
	// final has the figures at the end, if this owner decided it.
	final    Evidence
	hasFinal bool
}

func (o *order) elapsed(now event.Time) event.Duration { return now.Sub(o.startedAt) }

// isResent reports whether an order is o, sent again.
func (o *order) isResent(now event.Time, sent Order) bool {
	return o != nil && o.record.Order == sent && (o.progress != nil || o.elapsed(now) < resendTime)
}

// NewTracker returns the Tracker of a new owner. The Ledger must have all records that were
// committed before, and every earlier owner must have stopped.
func NewTracker(now event.Time, l *Ledger, limits Limits) *Tracker {
	t := &Tracker{limits: limits, services: make(map[string]*service)}
	l.MarkReceived(now)
	for name, known := range l.lines {
		s := t.service(name)
		s.newest = t.inherit(known.Newest, known.startedAt)
		if known.Previous != nil {
			s.previous = &order{record: *known.Previous, startedAt: known.previousStartedAt}
		}
		s.pastOrders = l.pastOrdersOf(known)
		s.updateStopped(now)
		t.lastNumber = max(t.lastNumber, known.Newest.Number)
	}
	return t
}

// inherit returns an order of an earlier owner.
func (t *Tracker) inherit(r Record, startedAt event.Time) *order {
	o := &order{record: r, startedAt: startedAt}
	if !r.Phase.IsFinal() {
		o.progress = newProgress(t.limits, o)
	}
	return o
}

// service returns the state of a service, and creates it on first use.
func (t *Tracker) service(name string) *service {
	s, ok := t.services[name]
	if !ok {
		s = &service{name: name, capacity: make(map[string]int), running: make(map[string]int)}
		t.services[name] = s
	}
	return s
}

// Submit submits an order. With ResultPropose the record is to be proposed, and the order
// acknowledged once it is committed; proposing it more than once does no harm.
func (t *Tracker) Submit(now event.Time, sent Order) (Record, Result) {
	s := t.service(sent.Service)
	switch {
	case s.newest.isResent(now, sent):
		return s.newest.record, ResultKnown
	case s.previous.isResent(now, sent):
		return s.previous.record, ResultKnown
	case s.newest != nil && s.newest.progress != nil:
		return s.newest.record, ResultConflict
	case s.isProposed(now) && s.proposed.record.Order == sent:
		return s.proposed.record, ResultPropose
	case s.isProposed(now):
		return s.proposed.record, ResultConflict
	}
	t.lastNumber++
	r := Record{Order: sent, Number: t.lastNumber, Phase: s.firstPhase(sent.Version)}
	if r.Phase == PhaseCanary {
		r.Ceiling = t.limits.ceiling(0, sent.canaryTime(), 0)
	}
	s.proposed = &order{record: r, startedAt: now}
	return r, ResultPropose
}

// isProposed reports whether an order is proposed and may still be committed.
func (s *service) isProposed(now event.Time) bool {
	return s.proposed != nil && s.proposed.elapsed(now) < proposalTimeout
}

// firstPhase returns the phase in which an order begins. A version that was rolled back is unproved. The one
// that the last completed order was for is proved. One that has the only endpoints in use serves all requests
// already, and would get the exposure of an unproved version only.
func (s *service) firstPhase(version string) Phase {
	_, wasRolledBack := s.rollBackOf(version)
	switch {
	case wasRolledBack:
		return PhaseCanary
	case s.hasCompleted(version), s.capacity[version] > 0 && s.otherCapacity(version) == 0:
		return PhaseCompleted
	default:
		return PhaseCanary
	}
}

// Withdraw reports that the record of a submitted order was not appended to the log, and
// never will be.
func (t *Tracker) Withdraw(r Record) {
	s, ok := t.services[r.Service]
	if ok && s.proposed != nil && s.proposed.record.isSameOrder(r) {
		s.proposed = nil
	}
}

// Committed must be called for each committed record, also for those of earlier owners.
func (t *Tracker) Committed(now event.Time, r Record) {
	s := t.service(r.Service)
	t.lastNumber = max(t.lastNumber, r.Number)
	switch {
	case s.newest == nil || r.Number > s.newest.record.Number:
		s.start(t, now, r)
	case s.newest.record.mayBecome(r):
		s.newest.record = s.newest.record.merge(r)
		s.newest.committed(s.newest.record)
		if r.Phase.IsFinal() {
			s.end(s.newest.record, s.newest.startedAt)
		}
	}
	s.updateStopped(now)
}

// updateStopped determines whether the endpoints that the last completed order replaced have had the time to stop.
func (s *service) updateStopped(now event.Time) {
	s.oldStopped = s.Completed != nil && now.Sub(s.completedStartedAt) >= s.Completed.Duration+oldStopTime
}

// start starts a committed order.
func (s *service) start(t *Tracker, now event.Time, r Record) {
	begun := t.inherit(r, now.Add(-r.Elapsed))
	if s.proposed != nil && s.proposed.record.isSameOrder(r) {
		begun.startedAt = s.proposed.startedAt
		begun.beginOwn()
		s.proposed = nil
	}
	if s.newest != nil {
		s.replace(s.newest.record)
	}
	s.previous, s.newest = s.newest, begun
	s.begin(r, begun.startedAt)
}

// beginOwn is called for an order that this owner proposed: none of its ceiling is spent, and
// all of its evidence will be known.
func (o *order) beginOwn() {
	if o.progress != nil {
		o.progress.spent, o.progress.isInherited = 0, false
	}
}

// committed updates the state of an order from a record.
func (o *order) committed(r Record) {
	if r.Phase.IsFinal() {
		o.final, o.hasFinal = o.progress.figures(), true
		o.progress = nil
		return
	}
	o.progress.committed(r)
}

// active returns the state of a service and of its order in progress; nil if there is none.
func (t *Tracker) active(name string) (*service, *progress) {
	s, ok := t.services[name]
	if !ok || s.newest == nil {
		return s, nil
	}
	return s, s.newest.progress
}

// SetCapacity sets the slots of the endpoints of a version that can serve.
func (t *Tracker) SetCapacity(name, version string, slots int) {
	setCount(t.service(name).capacity, version, slots)
}

// SetRunning sets the number of requests that run on endpoints of a version.
func (t *Tracker) SetRunning(name, version string, n int) {
	setCount(t.service(name).running, version, n)
}

func setCount(counts map[string]int, version string, n int) {
	if n <= 0 {
		delete(counts, version)
		return
	}
	counts[version] = n
}

// otherRunning returns the number of requests that run on all versions but one. Those that run on versions that are no
// longer used count, too: all others are stopped once the order is completed.
func (s *service) otherRunning(version string) int {
	sum := 0
	for v, n := range s.running {
		if v != version {
			sum += n
		}
	}
	return sum
}

// Granted counts a request that was granted to an endpoint of a version.
func (t *Tracker) Granted(name, version string) {
	s, p := t.active(name)
	if p == nil {
		return
	}
	p.requests++
	if version == s.newest.record.Version {
		p.spent++
		p.granted++
	}
}

// Allowance returns how many requests may be granted to the unproved version now.
func (t *Tracker) Allowance(name string) int {
	_, p := t.active(name)
	if p == nil || p.phase != PhaseCanary || p.isBad {
		return 0
	}
	return max(0, p.ceiling-p.spent)
}

// Cancel rolls back the order in progress of a service that the configuration removed.
func (t *Tracker) Cancel(name string) {
	if _, p := t.active(name); p != nil {
		p.condemn(ReasonRemoved)
	}
}

// Tick advances all orders, and returns the records to propose.
func (t *Tracker) Tick(now event.Time) []Record {
	var records []Record
	for _, s := range t.services {
		if s.newest == nil {
			continue
		}
		s.updateStopped(now)
		if s.newest.progress == nil {
			continue
		}
		if r, ok := s.tick(now, s.newest); ok {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(r, q Record) int { return cmp.Compare(r.Number, q.Number) })
	return records
}
