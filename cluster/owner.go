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

// entryPatience is how long an entry may be away before what it had running is
// taken as ended.
const entryPatience = 4 * event.Second

// owner is what the owner of the pools knows beside the replicated state. It is
// soft, but for the book: a new owner learns it from entries and endpoints.
type owner struct {
	term      consensus.Term
	admission *admission.State
	sessions  map[SessionID]*session
	// unread are sessions of entries that do not read what the group writes.
	unread  map[SessionID]bool
	entries map[event.BoxID]*entry
	heard   map[string]event.Time // endpoints, by id
	down    map[string]bool
	effects event.Effects
	// expected is how many entries there were by the word of an entry, which
	// counts for keepTime from began on.
	expected int
	began    event.Time
	keepTime event.Span
	book     *budget.Book
	record   consensus.Index           // of the last record of the book in the log
	poison   *poison.Book              // of requests that end endpoints
	news     map[string]bool           // endpoints, by id, of which the entries are not yet told
	pieces   map[uint64]registry.Piece // by what they come after, at the revision piecesAt
	piecesAt uint64
	packed   map[pieceKey]packedPiece
	toldAt   event.Time // when the log was last told of budgets
	// poisonRecord is the index of the last record of poison in the log.
	poisonRecord consensus.Index
	// poisonLogged says that the log is told of requests that end endpoints.
	poisonLogged bool
	suspects     []poison.Print // as entries were last told, and their revision
	suspectsTold uint64
	asking       asking // endpoints
}

// forgetMost is of how many absent entries a tick takes what they had running as ended.
const forgetMost = 16

// contestBeats is how many times its own rhythm an endpoint must be silent before the one
// whose address it took has it back: two beats, and what they vary.
const contestBeats = 2.5

// tellBudgetsEvery is how often the log is told of the budgets that are more than half
// used.
const tellBudgetsEvery = event.Second

func newOwner(now event.Time, s *State) *owner {
	o := &owner{
		term:     s.node.Term(),
		book:     s.newBook(now),
		sessions: make(map[SessionID]*session),
		unread:   make(map[SessionID]bool),
		entries:  make(map[event.BoxID]*entry),
		heard:    make(map[string]event.Time),
		down:     make(map[string]bool),
		began:    now,
		keepTime: s.settings.Fresh + s.settings.Limits.QuotaWindow,
		news:     make(map[string]bool),
		pieces:   make(map[uint64]registry.Piece),
		packed:   make(map[pieceKey]packedPiece),
	}
	o.poison = poison.NewBook(now, &s.machine.poison)
	o.suspects, o.suspectsTold = o.poison.Suspects()
	o.useForms(s)
	o.admission = admission.New(s.settings.Limits, s.settings.Seed, o.book, o.poison)
	o.admission.SetPart(now, 0, &o.effects) // until entries are connected
	if s.config.table != nil {
		o.admission.SetTable(now, s.config.table)
	}
	for _, e := range s.machine.registry.List() {
		o.heard[e.ID] = now
		o.admission.SetEndpoint(now, message.Endpoint{Endpoint: e}, &o.effects)
	}
	return o
}

// newBook returns the book of an owner that begins now, with what the log says of the
// owners before.
func (s *State) newBook(now event.Time) *budget.Book {
	if s.machine.document.Version == 0 {
		return budget.NewBook(now, s.settings.Fresh) // without a configuration nothing was served
	}
	return budget.InheritLedger(now, s.settings.Fresh, &s.machine.spending)
}

// lapsePatience is how long the lease may lapse before an owner ends: some more than
// consensus.HeartbeatEvery, after which a leader that was only slow has its next answers.
const lapsePatience = 150 * event.Millisecond

// remains reports whether an owner goes on, perhaps to decide again when the lease does.
func (o *owner) remains(now event.Time, node *consensus.Node) bool {
	return node.Leads() && !node.HandsOver() && o.term == node.Term() && now < node.LeaseEnd(now).Add(lapsePatience)
}

// inOrder returns the sessions in the order in which they began, so that what follows from an
// event does not hang on the order of a map.
func (o *owner) inOrder() []SessionID { return slices.Sorted(maps.Keys(o.sessions)) }

// end closes all sessions: the entries go to the next owner.
func (o *owner) end(s *State, out *Effects) {
	for _, id := range o.inOrder() {
		s.redirect(id, out)
	}
}

// step takes an event while this box owns the pools.
func (o *owner) step(now event.Time, e Event, s *State, out *Effects) {
	switch e := e.(type) {
	case *Ticked:
		o.tick(now, s, out)
	case *EndpointTold:
		if told, counts := s.startOf(e.Endpoint); counts {
			o.hear(now, told.ID, s, out)
		}
	case *EndpointsHeard:
		for _, id := range e.IDs {
			o.hear(now, id, s, out)
		}
	case *SessionBegan:
		o.begin(now, e, s, out)
	case *SessionPinged:
		o.ping(now, e, s, out)
	case *SessionTold:
		o.told(now, e, s, out)
	case *SessionWanted:
		o.wanted(e, s, out)
	case *SessionEnded:
		o.ended(now, e.Session)
	}
	o.keepRecord(now, s, out)
	o.keepPoisonRecord(now, s, out)
	o.decide(now, s, out)
}

// keepRecord puts a record of the book into the log when one is due.
func (o *owner) keepRecord(now event.Time, s *State, out *Effects) {
	if !o.book.Due() || !s.owns(now) {
		return
	}
	index, err := s.node.Propose(now, encodeSpending(o.book.MakeRecord(now)), &out.Ready)
	if err != nil {
		// It does not lead any more, and will find out: nothing is spent until then that
		// the record before does not cover.
		out.note("budgets not recorded", Field{"error", err.Error()})
		return
	}
	o.record = index
}

// recorded takes note that an entry of this term is committed: if it is the last record of
// the book, more may be spent.
func (o *owner) recorded(now event.Time, index consensus.Index, s *State, out *Effects) {
	if index == o.poisonRecord {
		o.poisonRecorded(now, s, out)
		return
	}
	if index != o.record {
		return
	}
	o.book.Committed()
	o.admission.Unpark(now, &o.effects)
	o.decide(now, s, out)
}

func (o *owner) tick(now event.Time, s *State, out *Effects) {
	o.forgetAbsent(now)
	o.book.Tick(now)
	limit := downBeats * s.settings.BeatEvery
	fallen := make(map[event.EndpointID]event.Time)
	for id, at := range o.heard {
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
	o.sharePart(now)
	o.admission.Tick(now, &o.effects)
	o.tellNews(s, out)
	o.tellAsked(now, out)
	o.tellSuspects(out)
	o.tellBudgets(now, out)
	o.raiseLevel(now, s, out)
}

// forgetAbsent takes what entries had running as ended that are away for long, of some in
// each tick: 130 of them at once, each looked for in 20,000 requests, were a step of 58 ms.
func (o *owner) forgetAbsent(now event.Time) {
	var gone []event.BoxID
	for name, e := range o.entries {
		if e.session != 0 {
			continue
		}
		if away := now.Sub(e.left); away > entryPatience && !e.isForgotten {
			gone = append(gone, name)
		} else if away > o.keepTime {
			delete(o.entries, name)
		}
	}
	slices.Sort(gone)
	for _, name := range gone[:min(len(gone), forgetMost)] {
		o.entries[name].isForgotten = true
		o.admission.EntryGone(now, name, &o.effects)
		o.admission.EntryDied(now, name, &o.effects)
	}
}

// tellBudgets tells the log how the budgets stand that are more than half used.
func (o *owner) tellBudgets(now event.Time, out *Effects) {
	if now.Sub(o.toldAt) < tellBudgetsEvery {
		return
	}
	o.toldAt = now
	for _, u := range o.book.High(now) {
		out.note("budget", Field{"account", string(u.Account)}, Field{"spent", u.Spent}, Field{"lent", u.Lent},
			Field{"inherited", u.Inherited}, Field{"limit", u.Most}, Field{"owner_ms", now.Sub(o.began).Milliseconds()})
	}
}

// count returns how many entries share the endpoints, those that are away included: they
// may send to them alone until their configuration is too old.
func (o *owner) count(now event.Time) int {
	if now.Sub(o.began) > o.keepTime {
		return max(1, len(o.entries))
	}
	return max(1, o.expected, len(o.entries))
}

// hearsOther reports whether a message comes from an endpoint whose address another one took
// that is heard: the message was long on its way, and its sender is dead. Where the other is
// silent the message counts. An endpoint whose address was taken by a late message of a dead
// one would else get no requests for the rest of its life.
func (o *owner) hearsOther(now event.Time, e registry.Endpoint, s *State) bool {
	other := s.machine.registry.Contests(e)
	return other != "" && other != e.ID && now.Sub(o.heard[other]) < event.Span(contestBeats*float64(s.settings.BeatEvery))
}

func (o *owner) hear(now event.Time, id string, s *State, out *Effects) {
	if _, ok := s.machine.registry.Endpoints[id]; !ok {
		return
	}
	o.heard[id] = now
	if o.down[id] {
		o.setDown(now, id, false, s, out)
	}
}

// setDown changes what is believed of an endpoint's life.
func (o *owner) setDown(now event.Time, id string, down bool, s *State, out *Effects) {
	e, ok := s.machine.registry.Endpoints[id]
	if !ok {
		delete(o.heard, id)
		delete(o.down, id)
		return
	}
	o.down[id] = down
	out.note("endpoint silent", Field{"endpoint", id}, Field{"down", down}, Field{"heard_ms_ago", now.Sub(o.heard[id]).Milliseconds()})
	o.show(now, e)
}

// applied takes what a command changed.
func (o *owner) applied(now event.Time, c change, s *State, out *Effects) {
	for _, id := range c.gone {
		if len(c.seen) > 0 { // another one has its address: it has ended without a word
			o.admission.Fallen(now, map[event.EndpointID]event.Time{event.EndpointID(id): o.heard[id]}, &o.effects)
		}
		delete(o.heard, id)
		delete(o.down, id)
		o.admission.RemoveEndpoint(now, event.EndpointID(id), &o.effects)
		o.asking.gone(event.EndpointID(id))
		out.note("endpoint gone", Field{"endpoint", id})
		o.news[id] = true
	}
	for _, e := range c.seen {
		o.heard[e.ID] = now
		out.note("endpoint", Field{"endpoint", e.ID}, Field{"service", e.Service}, Field{"address", e.Address}, Field{"leaving", e.Leaving}, Field{"sequence", e.Sequence})
		o.show(now, e)
	}
}

// takeConfig takes a new configuration and tells all entries of it.
func (o *owner) takeConfig(now event.Time, s *State, out *Effects) {
	o.admission.SetTable(now, s.config.table)
	for _, id := range o.inOrder() {
		o.tellConfig(id, o.sessions[id], s, out)
	}
}

// decide sends the decisions that were made to their entries. While the lease has lapsed
// they are held back: nobody else decides until this term is over, and with it this owner.
func (o *owner) decide(now event.Time, s *State, out *Effects) {
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
