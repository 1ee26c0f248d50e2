// SPDX-License-Identifier: MIT

package cluster

import (
	"slices"

	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/message"
)

// This file is what an owner does with the connections of entries: what they say, and what they are told of
// the configuration. What they are told of endpoints is in view.go.

// session is a connection of an entry.
type session struct {
	entry event.BoxID
	formatVersion level.Level
	build string
	sentVersion  uint64 // version of the configuration that it was told of
	view  viewProgress
	pendingFeedback []event.EndpointID // that asked for something when it began, of which it is not told yet
}

// entry is what is known of an entry over its connections.
type entry struct {
	instance    uint64
	formatVersion   level.Level
	build   string
	session SessionID // 0 while it is away
	disconnectedAt    event.Time
	deferredAt  event.Time // when it last said that it leaves decisions to this owner; 0 for never in its session
	// isForgotten says that what it had running was taken as ended since it left.
	isForgotten bool
	terminations        terminationProgress
}

// sendConfig tells an entry which configuration is the newest. The entry asks for what it lacks of
// it, a little at a time: a document sent whole held up the owner's signs of life for longer than
// entries wait for them, and began anew with each connection.
func (o *owner) sendConfig(id SessionID, one *session, s *State, out *Effects) {
	if s.config.tree == nil || one.sentVersion == s.config.version {
		return
	}
	one.sentVersion = s.config.version
	if one.formatVersion < level.Parts {
		out.Sends = append(out.Sends, Send{id, &message.Envelope{View: &message.View{
			Version: one.sentVersion, Document: s.config.document,
		}}})
		return
	}
	out.Sends = append(out.Sends, Send{id, &message.Envelope{View: &message.View{
		Version: one.sentVersion, Root: s.config.tree.Root(),
	}}})
}

// sendNodes gives an entry nodes of the configuration.
func (o *owner) sendNodes(w *NodesRequested, s *State, out *Effects) {
	if _, ok := o.sessions[w.Session]; !ok {
		s.redirect(w.Session, out)
		return
	}
	nodes := &message.Nodes{}
	for _, sum := range w.Request.Sums {
		packed, ok := s.config.node(sum)
		if !ok {
			nodes.Unknown = append(nodes.Unknown, sum)
			continue
		}
		nodes.List = append(nodes.List, message.Node{Sum: sum, Packed: packed})
	}
	out.Sends = append(out.Sends, Send{w.Session, &message.Envelope{Nodes: nodes}})
}

// openSession takes an entry in: what it says is running, and what it spent.
func (o *owner) openSession(now event.Time, b *SessionOpened, s *State, out *Effects) {
	name := b.Hello.Entry
	if !s.canServe(b, out) {
		o.unsupported[b.Session] = true
		return
	}
	e, ok := o.entries[name]
	newLife := ok && e.instance != b.Hello.Life
	if !ok {
		e = &entry{}
		o.entries[name] = e
		o.expectedEntries = max(o.expectedEntries, b.Hello.Entries)
	}
	o.budgets.Greet(now, name, b.Hello.Life, b.Hello.Held)
	if b.FormatVersion < level.Parts {
		o.budgets.Remembers(name)
	}
	if b.Hello.More {
		o.budgets.Await(name)
	}
	if e.session != 0 {
		delete(o.sessions, e.session)
		out.Closes = append(out.Closes, e.session)
	}
	e.session, e.isForgotten, e.deferredAt = b.Session, false, 0
	if newLife {
		e.terminations = terminationProgress{}
		o.admission.EntryDied(now, name, &o.effects)
	}
	e.instance, e.formatVersion, e.build = b.Hello.Life, b.FormatVersion, b.Build
	// What it had here is as it now says; what was decided during a lapse goes for nothing.
	o.effects.Grants = slices.DeleteFunc(o.effects.Grants, func(g event.Granted) bool { return g.Entry == name })
	o.effects.Refusals = slices.DeleteFunc(o.effects.Refusals, func(r event.Refused) bool { return r.Entry == name })
	o.admission.EntryGone(now, name, &o.effects)
	one := &session{entry: name, formatVersion: b.FormatVersion, build: b.Build}
	o.sessions[b.Session] = one
	for _, r := range b.Hello.Running {
		o.admission.Adopt(now, name, r, &o.effects)
	}
	view := o.firstView(one, b.Hello.Revision, s)
	view.Suspects = &message.Suspects{List: o.suspects}
	out.Sends = append(out.Sends, Send{b.Session, &message.Envelope{View: view}})
	o.sendConfig(b.Session, one, s, out)
	if b.FormatVersion >= level.Asked {
		one.pendingFeedback = o.feedback.list()
		o.sendInitialFeedback(b.Session, one, out)
	}
	out.logInfo("entry connected", Field{"entry", string(name)}, Field{"running", len(b.Hello.Running)},
		Field{"known", ok}, Field{"new_life", newLife}, Field{"held", len(b.Hello.Held)}, Field{"level", uint8(b.FormatVersion)}, Field{"build", b.Build})
}

// receivePing tells an entry that this box still owns the pools. It has no answer while the lease
// has lapsed; the entry asks again.
func (o *owner) receivePing(now event.Time, p *PingReceived, s *State, out *Effects) {
	one, ok := o.sessions[p.Session]
	if o.unsupported[p.Session] {
		return
	}
	if !ok {
		s.redirect(p.Session, out)
		return
	}
	o.applyPing(now, one.entry, &p.Ping)
	o.entries[one.entry].receiveOwned(now, &p.Ping)
	if !s.owns(now) {
		return
	}
	o.admission.EntrySeen(now, one.entry, &o.effects)
	out.Sends = append(out.Sends, Send{p.Session, &message.Envelope{Pong: &message.Pong{
		Sent: p.Ping.Sent, Version: s.machine.document.Version, Entries: o.entryCount(now),
		Lent: o.budgets.Lend(now, one.entry, len(o.entries)), Ends: o.savedTerminations(o.entries[one.entry]),
	}}})
	o.sendView(p, one, s, out)
	o.sendInitialFeedback(p.Session, one, out)
}

// applyPing takes what an entry tells with a question, which it does not tell again: also while
// the lease has lapsed.
func (o *owner) applyPing(now event.Time, entry event.BoxID, p *message.Ping) {
	o.budgets.Hear(now, entry, p.Has, p.Spent)
	if !p.More {
		o.budgets.Complete(entry)
	}
	for _, r := range p.Running {
		o.admission.Adopt(now, entry, r, &o.effects)
	}
}

func (o *owner) receiveBatch(now event.Time, t *BatchReceived, s *State, out *Effects) {
	one, ok := o.sessions[t.Session]
	if !ok {
		s.redirect(t.Session, out)
		return
	}
	o.receiveTerminations(now, o.entries[one.entry], t.Batch)
	o.receiveFeedback(now, one.entry, t.Batch.Heard)
	for i := range t.Batch.Begun {
		o.admission.Begin(now, &t.Batch.Begun[i], &o.effects)
	}
	for i := range t.Batch.Finish {
		o.admission.Finish(now, &t.Batch.Finish[i], &o.effects)
	}
	for _, w := range t.Batch.Withdraw {
		o.admission.Withdraw(now, one.entry, w, &o.effects)
	}
	for i := range t.Batch.Submit {
		o.admission.Submit(now, one.entry, &t.Batch.Submit[i], &o.effects)
	}
}

func (o *owner) closeSession(now event.Time, id SessionID) {
	delete(o.unsupported, id)
	one, ok := o.sessions[id]
	if !ok {
		return
	}
	delete(o.sessions, id)
	if e := o.entries[one.entry]; e != nil && e.session == id {
		e.session = 0
		e.disconnectedAt = now
	}
}
