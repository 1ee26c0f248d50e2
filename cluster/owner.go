// SPDX-License-Identifier: MIT

package cluster

import (
	"maps"
	"slices"

	"lynxramp.org/admission"
	"lynxramp.org/budget"
	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/message"
	"lynxramp.org/poison"
	"lynxramp.org/registry"
)

// entryTimeout is how long an entry may be away before what it had running is
// taken as ended.
const entryTimeout = 4 * event.Second

// owner is what the owner of the pools knows beside the replicated state. It is
// soft, but for the book: a new owner learns it from entries and endpoints.
type owner struct {
	term      consensus.Term
	admission *admission.State
	sessions  map[SessionID]*session
	// unsupported are sessions of entries that do not read what the group writes.
	unsupported  map[SessionID]bool
	entries map[event.BoxID]*entry
	lastHeartbeat   map[string]event.Time // endpoints, by id
	down    map[string]bool
	effects event.Effects
	// expectedEntries is how many entries there were by the word of an entry, which
	// counts for keepTime from began on.
	expectedEntries int
	startedAt    event.Time
	entryRetention event.Span
	budgets     *budget.Book
	recordIndex   consensus.Index           // of the last record of the book in the log
	poison   *poison.Book              // of requests that end endpoints
	changedEndpoints     map[string]bool           // endpoints, by id, of which the entries are not yet told
	pieces   map[uint64]registry.Piece // by what they come after, at the revision piecesAt
	piecesRevision uint64
	packed   map[pieceKey]packedPiece
	budgetsLoggedAt   event.Time // when the log was last told of budgets
	// poisonIndex is the index of the last record of poison in the log.
	poisonIndex consensus.Index
	// poisonLogged says that the log is told of requests that end endpoints.
	poisonLogged bool
	suspects     []poison.Print // as entries were last told, and their revision
	suspectsRevision uint64
	feedback       feedbackTracker // endpoints
}

// maxForgetPerTick is of how many absent entries a tick takes what they had running as ended.
const maxForgetPerTick = 16

// reclaimAfterHeartbeats is how many times its own rhythm an endpoint must be silent before the one
// whose address it took has it back: two beats, and what they vary.
const reclaimAfterHeartbeats = 2.5

// budgetLogInterval is how often the log is told of the budgets that are more than half
// used.
const budgetLogInterval = event.Second

func newOwner(now event.Time, s *State) *owner {
	o := &owner{
		term:     s.node.Term(),
		budgets:     s.newBudgets(now),
		sessions: make(map[SessionID]*session),
		unsupported:   make(map[SessionID]bool),
		entries:  make(map[event.BoxID]*entry),
		lastHeartbeat:    make(map[string]event.Time),
		down:     make(map[string]bool),
		startedAt:    now,
		entryRetention: s.settings.Fresh + s.settings.Limits.QuotaWindow,
		changedEndpoints:     make(map[string]bool),
		pieces:   make(map[uint64]registry.Piece),
		packed:   make(map[pieceKey]packedPiece),
	}
	o.poison = poison.NewBook(now, &s.machine.poison)
	o.suspects, o.suspectsRevision = o.poison.Suspects()
	o.useFormatVersion(s)
	o.admission = admission.New(s.settings.Limits, s.settings.Seed, o.budgets, o.poison)
	o.admission.SetPart(now, 0, &o.effects) // until entries are connected
	if s.config.table != nil {
		o.admission.SetTable(now, s.config.table)
	}
	for _, e := range s.machine.registry.List() {
		o.lastHeartbeat[e.ID] = now
		o.admission.SetEndpoint(now, message.Endpoint{Endpoint: e}, &o.effects)
	}
	return o
}

// newBudgets returns the book of an owner that begins now, with what the log says of the
// owners before.
func (s *State) newBudgets(now event.Time) *budget.Book {
	if s.machine.document.Version == 0 {
		return budget.NewBook(now, s.settings.Fresh) // without a configuration nothing was served
	}
	return budget.InheritLedger(now, s.settings.Fresh, &s.machine.spending)
}

// leaseGracePeriod is how long the lease may lapse before an owner ends: some more than
// consensus.HeartbeatEvery, after which a leader that was only slow has its next answers.
const leaseGracePeriod = 150 * event.Millisecond

// remainsOwner reports whether an owner goes on, perhaps to decide again when the lease does.
func (o *owner) remainsOwner(now event.Time, node *consensus.Node) bool {
	return node.Leads() && !node.HandsOver() && o.term == node.Term() && now < node.LeaseEnd(now).Add(leaseGracePeriod)
}

// sessionIDs returns the sessions in the order in which they began, so that what follows from an
// event does not hang on the order of a map.
func (o *owner) sessionIDs() []SessionID { return slices.Sorted(maps.Keys(o.sessions)) }

// closeSessions closes all sessions: the entries go to the next owner.
func (o *owner) closeSessions(s *State, out *Effects) {
	for _, id := range o.sessionIDs() {
		s.redirect(id, out)
	}
}

// step takes an event while this box owns the pools.
func (o *owner) step(now event.Time, e Event, s *State, out *Effects) {
	switch e := e.(type) {
	case *Tick:
		o.tick(now, s, out)
	case *HeartbeatReceived:
		if told, counts := s.instanceOf(e.Endpoint); counts {
			o.recordHeartbeat(now, told.ID, s, out)
		}
	case *HeartbeatsForwarded:
		for _, id := range e.IDs {
			o.recordHeartbeat(now, id, s, out)
		}
	case *SessionOpened:
		o.openSession(now, e, s, out)
	case *PingReceived:
		o.receivePing(now, e, s, out)
	case *BatchReceived:
		o.receiveBatch(now, e, s, out)
	case *NodesRequested:
		o.sendNodes(e, s, out)
	case *SessionClosed:
		o.closeSession(now, e.Session)
	}
	o.recordBudgets(now, s, out)
	o.recordPoison(now, s, out)
	o.sendDecisions(now, s, out)
}

// recordBudgets puts a record of the book into the log when one is due.
func (o *owner) recordBudgets(now event.Time, s *State, out *Effects) {
	if !o.budgets.Due() || !s.owns(now) {
		return
	}
	index, err := s.node.Propose(now, encodeSpending(o.budgets.MakeRecord(now)), &out.Ready)
	if err != nil {
		// It does not lead any more, and will find out: nothing is spent until then that
		// the record before does not cover.
		out.logInfo("budgets not recorded", Field{"error", err.Error()})
		return
	}
	o.recordIndex = index
}

// recordCommitted takes note that an entry of this term is committed: if it is the last record of
// the book, more may be spent.
func (o *owner) recordCommitted(now event.Time, index consensus.Index, s *State, out *Effects) {
	if index == o.poisonIndex {
		o.poisonCommitted(now, s, out)
		return
	}
	if index != o.recordIndex {
		return
	}
	o.budgets.Committed()
	o.admission.Unpark(now, &o.effects)
	o.sendDecisions(now, s, out)
}

func (o *owner) tick(now event.Time, s *State, out *Effects) {
	o.forgetAbsentEntries(now)
	o.budgets.Tick(now)
	limit := downAfterHeartbeats * s.settings.BeatEvery
	fallen := make(map[event.EndpointID]event.Time)
	for id, at := range o.lastHeartbeat {
		if down := now.Sub(at) > limit; down != o.down[id] {
			o.setDown(now, id, down, s, out)
			if down {
				fallen[event.EndpointID(id)] = at
			}
		}
	}
	if len(fallen) > 0 {
		o.admission.Fallen(now, fallen, &o.effects)
	}
	o.updateLimitShare(now)
	o.admission.Tick(now, &o.effects)
	o.sendEndpointChanges(s, out)
	o.sendFeedback(now, out)
	o.sendSuspects(out)
	o.logBudgets(now, out)
	o.raiseFormatVersion(now, s, out)
}

// forgetAbsentEntries takes what entries had running as ended that are away for long, of some in
// each tick: 130 of them at once, each looked for in 20,000 requests, were a step of 58 ms.
func (o *owner) forgetAbsentEntries(now event.Time) {
	var gone []event.BoxID
	for name, e := range o.entries {
		if e.session != 0 {
			continue
		}
		if away := now.Sub(e.disconnectedAt); away > entryTimeout && !e.isForgotten {
			gone = append(gone, name)
		} else if away > o.entryRetention {
			delete(o.entries, name)
		}
	}
	slices.Sort(gone)
	for _, name := range gone[:min(len(gone), maxForgetPerTick)] {
		o.entries[name].isForgotten = true
		o.admission.EntryGone(now, name, &o.effects)
		o.admission.EntryDied(now, name, &o.effects)
	}
}

// logBudgets tells the log how the budgets stand that are more than half used.
func (o *owner) logBudgets(now event.Time, out *Effects) {
	if now.Sub(o.budgetsLoggedAt) < budgetLogInterval {
		return
	}
	o.budgetsLoggedAt = now
	for _, u := range o.budgets.High(now) {
		out.logInfo("budget", Field{"account", string(u.Account)}, Field{"spent", u.Spent}, Field{"lent", u.Lent},
			Field{"inherited", u.Inherited}, Field{"limit", u.Most}, Field{"owner_ms", now.Sub(o.startedAt).Milliseconds()})
	}
}

// entryCount returns how many entries share the endpoints, those that are away included: they
// may send to them alone until their configuration is too old.
func (o *owner) entryCount(now event.Time) int {
	if now.Sub(o.startedAt) > o.entryRetention {
		return max(1, len(o.entries))
	}
	return max(1, o.expectedEntries, len(o.entries))
}

// isAddressTaken reports whether a message comes from an endpoint whose address another one took
// that is heard: the message was long on its way, and its sender is dead. Where the other is
// silent the message counts. An endpoint whose address was taken by a late message of a dead
// one would else get no requests for the rest of its life.
func (o *owner) isAddressTaken(now event.Time, e registry.Endpoint, s *State) bool {
	other := s.machine.registry.Contests(e)
	return other != "" && other != e.ID && now.Sub(o.lastHeartbeat[other]) < event.Span(reclaimAfterHeartbeats*float64(s.settings.BeatEvery))
}

func (o *owner) recordHeartbeat(now event.Time, id string, s *State, out *Effects) {
	if _, ok := s.machine.registry.Endpoints[id]; !ok {
		return
	}
	o.lastHeartbeat[id] = now
	if o.down[id] {
		o.setDown(now, id, false, s, out)
	}
}

// setDown changes what is believed of an endpoint's life.
func (o *owner) setDown(now event.Time, id string, down bool, s *State, out *Effects) {
	e, ok := s.machine.registry.Endpoints[id]
	if !ok {
		delete(o.lastHeartbeat, id)
		delete(o.down, id)
		return
	}
	o.down[id] = down
	out.logInfo("endpoint silent", Field{"endpoint", id}, Field{"down", down}, Field{"heard_ms_ago", now.Sub(o.lastHeartbeat[id]).Milliseconds()})
	o.publishEndpoint(now, e)
}

// applyChange takes what a command changed.
func (o *owner) applyChange(now event.Time, c change, s *State, out *Effects) {
	for _, id := range c.removed {
		if len(c.updated) > 0 { // another one has its address: it has ended without a word
			o.admission.Fallen(now, map[event.EndpointID]event.Time{event.EndpointID(id): o.lastHeartbeat[id]}, &o.effects)
		}
		delete(o.lastHeartbeat, id)
		delete(o.down, id)
		o.admission.RemoveEndpoint(now, event.EndpointID(id), &o.effects)
		o.feedback.remove(event.EndpointID(id))
		out.logInfo("endpoint gone", Field{"endpoint", id})
		o.changedEndpoints[id] = true
	}
	for _, e := range c.updated {
		o.lastHeartbeat[e.ID] = now
		out.logInfo("endpoint", Field{"endpoint", e.ID}, Field{"service", e.Service}, Field{"address", e.Address}, Field{"leaving", e.Leaving}, Field{"sequence", e.Sequence})
		o.publishEndpoint(now, e)
	}
}

// applyConfig takes a new configuration and tells all entries of it.
func (o *owner) applyConfig(now event.Time, s *State, out *Effects) {
	o.admission.SetTable(now, s.config.table)
	for _, id := range o.sessionIDs() {
		o.sendConfig(id, o.sessions[id], s, out)
	}
}

// sendDecisions sends the decisions that were made to their entries. While the lease has lapsed
// they are held back: nobody else decides until this term is over, and with it this owner.
func (o *owner) sendDecisions(now event.Time, s *State, out *Effects) {
	if !s.owns(now) {
		return
	}
	defer o.effects.Reset()
	if len(o.effects.Grants)+len(o.effects.Refusals) == 0 {
		return
	}
	byEntry := make(map[event.BoxID]*message.Decisions)
	at := func(name event.BoxID) *message.Decisions {
		d, ok := byEntry[name]
		if !ok {
			d = &message.Decisions{}
			byEntry[name] = d
		}
		return d
	}
	for _, g := range o.effects.Grants {
		d := at(g.Entry)
		d.Grants = append(d.Grants, g)
	}
	for _, r := range o.effects.Refusals {
		d := at(r.Entry)
		d.Refusals = append(d.Refusals, r)
	}
	for name, d := range byEntry {
		if e := o.entries[name]; e != nil && e.session != 0 {
			out.Sends = append(out.Sends, Send{e.session, &message.Envelope{Decisions: d}})
		}
	}
}
