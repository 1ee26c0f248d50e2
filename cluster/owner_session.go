// SPDX-License-Identifier: MIT

package cluster

import (
	"slices"

	"lynxramp.org/event"
	"lynxramp.org/level"
	"lynxramp.org/message"
)

// This file serves the connections of entries: the messages they send, and the configuration they are
// sent. Endpoints are sent in view.go.

// session is a connection of an entry.
type session struct {
	entry         event.BoxID
	formatVersion level.Level
	build         string
	sentVersion   uint64 // version of the configuration that was last announced
	view          viewProgress
	// versionsRevision is that of the newest message.Versions that the entry confirmed.
	versionsRevision uint64
	pendingFeedback  []event.EndpointID // endpoints with feedback in force when the session began, still to be sent
}

// entry is the state of an entry across its connections.
type entry struct {
	instance       uint64
	formatVersion  level.Level
	build          string
	session        SessionID // 0 while disconnected
	disconnectedAt event.Time
	deferredAt     event.Time // when it last said that it leaves decisions to this owner; 0 if not yet in this session
	// isExpired reports whether its requests were treated as terminated since it disconnected.
	isExpired    bool
	terminations terminationProgress
}

// sendConfig announces the newest configuration to an entry. The entry requests the nodes it lacks
// in small steps: a large document in one message would delay the owner's pongs beyond the entry's
// timeout, and be sent again on each connection.
func (o *owner) sendConfig(id SessionID, sess *session, s *State, out *Effects) {
	if s.config.tree == nil || sess.sentVersion == s.config.version {
		return
	}
	sess.sentVersion = s.config.version
	if sess.formatVersion < level.Chunked {
		out.Sends = append(out.Sends, Send{id, &message.Envelope{View: &message.View{
			Version: sess.sentVersion, Document: s.config.document,
		}}})
		return
	}
	out.Sends = append(out.Sends, Send{id, &message.Envelope{View: &message.View{
		Version: sess.sentVersion, Root: s.config.tree.Root(),
	}}})
}

// sendNodes sends an entry the requested nodes of the configuration tree.
func (o *owner) sendNodes(w *NodesRequested, s *State, out *Effects) {
	if _, ok := o.sessions[w.Session]; !ok {
		s.redirect(w.Session, out)
		return
	}
	nodes := &message.Nodes{}
	for _, sum := range w.Want.Sums {
		packed, ok := s.config.node(sum)
		if !ok {
			nodes.Unknown = append(nodes.Unknown, sum)
			continue
		}
		nodes.List = append(nodes.List, message.Node{Sum: sum, Packed: packed})
	}
	out.Sends = append(out.Sends, Send{w.Session, &message.Envelope{Nodes: nodes}})
}

// openSession registers an entry with its running requests and its spending.
func (o *owner) openSession(now event.Time, b *SessionOpened, s *State, out *Effects) {
	name := b.Hello.Entry
	if !s.canServe(b, out) {
		o.unsupported[b.Session] = true
		return
	}
	e, ok := o.entries[name]
	newInstance := ok && e.instance != b.Hello.Life
	if !ok {
		e = &entry{}
		o.entries[name] = e
		o.expectedEntries = max(o.expectedEntries, b.Hello.Entries)
	}
	o.budgets.BeginSession(now, name, b.Hello.Life, b.Hello.Held)
	if b.FormatVersion < level.Chunked {
		o.budgets.KeepAllLeases(name)
	}
	if b.Hello.More {
		o.budgets.AwaitReport(name)
	}
	if e.session != 0 {
		delete(o.sessions, e.session)
		out.Closes = append(out.Closes, e.session)
	}
	e.session, e.isExpired, e.deferredAt = b.Session, false, 0
	if newInstance {
		e.terminations = terminationProgress{}
		o.admission.EntryTerminated(now, name, &o.effects)
	}
	e.instance, e.formatVersion, e.build = b.Hello.Life, b.FormatVersion, b.Build
	// The entry's own report replaces what is known of its requests. Decisions made during a lapse
	// of the lease are dropped.
	o.effects.Grants = slices.DeleteFunc(o.effects.Grants, func(g event.Granted) bool { return g.Entry == name })
	o.effects.Refusals = slices.DeleteFunc(o.effects.Refusals, func(r event.Refused) bool { return r.Entry == name })
	o.admission.EntryRemoved(now, name, &o.effects)
	sess := &session{entry: name, formatVersion: b.FormatVersion, build: b.Build}
	o.sessions[b.Session] = sess
	for _, r := range b.Hello.Running {
		o.admission.Adopt(now, name, r, &o.effects)
	}
	o.refreshVersions(now, s, out)
	view := o.firstView(sess, b.Hello.Revision, s)
	view.Suspects = &message.Suspects{List: o.suspects}
	out.Sends = append(out.Sends, Send{b.Session, &message.Envelope{View: view}})
	o.sendConfig(b.Session, sess, s, out)
	if b.FormatVersion >= level.Feedback {
		sess.pendingFeedback = o.feedback.list()
		o.sendInitialFeedback(b.Session, sess, out)
	}
	out.logInfo("entry connected", Field{"entry", string(name)}, Field{"running", len(b.Hello.Running)},
		Field{"known", ok}, Field{"new_life", newInstance}, Field{"held", len(b.Hello.Held)}, Field{"level", uint8(b.FormatVersion)}, Field{"build", b.Build})
}

// receivePing replies to a ping, which confirms that this box still owns the pools. While the lease has
// lapsed there is no pong; the entry retries.
func (o *owner) receivePing(now event.Time, p *PingReceived, s *State, out *Effects) {
	sess, ok := o.sessions[p.Session]
	if o.unsupported[p.Session] {
		return
	}
	if !ok {
		s.redirect(p.Session, out)
		return
	}
	o.applyPing(now, sess.entry, &p.Ping)
	o.entries[sess.entry].recordDeferral(now, &p.Ping)
	sess.versionsRevision = max(sess.versionsRevision, p.Ping.Versions)
	if !s.owns(now) {
		return
	}
	o.admission.EntryHeartbeat(now, sess.entry, &o.effects)
	out.Sends = append(out.Sends, Send{p.Session, &message.Envelope{Pong: &message.Pong{
		Sent: p.Ping.Sent, Version: s.machine.document.Version, Entries: o.entryCount(now),
		Lent: o.budgets.UpdateLeases(now, sess.entry, len(o.entries)), Ends: o.savedTerminations(o.entries[sess.entry]), Versions: o.versionsRevision(sess),
	}}})
	o.sendView(p, sess, s, out)
	o.sendInitialFeedback(p.Session, sess, out)
}

// applyPing applies what an entry reports in a ping. Reports are not repeated, so they are applied
// even while the lease has lapsed.
func (o *owner) applyPing(now event.Time, entry event.BoxID, p *message.Ping) {
	o.budgets.ApplyReport(now, entry, p.Has, p.Spent)
	if !p.More {
		o.budgets.CompleteReport(entry)
	}
	for _, r := range p.Running {
		o.admission.Adopt(now, entry, r, &o.effects)
	}
}

func (o *owner) receiveBatch(now event.Time, t *BatchReceived, s *State, out *Effects) {
	sess, ok := o.sessions[t.Session]
	if !ok {
		s.redirect(t.Session, out)
		return
	}
	o.receiveTerminations(now, o.entries[sess.entry], t.Batch)
	o.receiveFeedback(now, sess.entry, t.Batch.Heard)
	o.admission.ReportStreams(now, t.Batch.Streams)
	for i := range t.Batch.Begun {
		o.admission.Begin(now, &t.Batch.Begun[i], &o.effects)
	}
	for i := range t.Batch.Finish {
		o.admission.Finish(now, &t.Batch.Finish[i], &o.effects)
	}
	for _, w := range t.Batch.Withdraw {
		o.admission.Withdraw(now, sess.entry, w, &o.effects)
	}
	for i := range t.Batch.Submit {
		if sess.formatVersion < level.Rollouts {
			t.Batch.Submit[i].Ticket.ProvedOnly = true // it doesn't check restrictions before it sends
		}
		o.admission.Submit(now, sess.entry, &t.Batch.Submit[i], &o.effects)
	}
}

func (o *owner) closeSession(now event.Time, id SessionID) {
	delete(o.unsupported, id)
	sess, ok := o.sessions[id]
	if !ok {
		return
	}
	delete(o.sessions, id)
	if e := o.entries[sess.entry]; e != nil && e.session == id {
		e.session = 0
		e.disconnectedAt = now
	}
}
