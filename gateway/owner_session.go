// SPDX-License-Identifier: MIT

package gateway

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"lynxramp.org/event"
	"lynxramp.org/internal/logx"
	"lynxramp.org/level"
	"lynxramp.org/message"
)

// This file is a client's way to the owner: finding it, keeping it, and what it
// tells of the deployment.

// keepOwner asks the owner whether it still is.
func (a *OwnerClient) keepOwner(now event.Time) {
	if now.Sub(a.ponged) > ownerSilence {
		a.lose(now, "owner does not answer", nil)
		return
	}
	if now.Sub(a.pinged) >= pingEvery {
		a.ask(now)
	}
}

// Know adds control boxes to those that are asked.
func (a *OwnerClient) Know(control []string) {
	for _, address := range control {
		if !slices.Contains(a.members, address) {
			a.members = append(a.members, address)
		}
	}
}

// dial connects to the leader as last told, or to the next box that is known.
func (a *OwnerClient) dial() {
	address := a.hint
	a.hint = ""
	if address == "" {
		address = a.members[a.nextTry%len(a.members)]
		a.nextTry++
	}
	a.dialing = true
	a.out.Dial = address
}

// DialFailed takes note that a control box was not reached.
func (a *OwnerClient) DialFailed(now event.Time, address string, err error) {
	a.dialing = false
	a.dialAt = now.Add(redialWait)
	a.log.Debug("control box not reached", zap.String("address", address), logx.Err(err))
}

// Dialed begins a session on a new connection to a control box.
func (a *OwnerClient) Dialed(now event.Time, link LinkID, address string) {
	a.dialing = false
	a.dialAt = now.Add(redialWait)
	a.link, a.address, a.reads = link, address, 0
	if int64(now) >= a.fresh.Load() {
		// It was out of touch for longer than it may use what it was lent.
		a.lent.Expire()
	}
	a.untold = slices.Sorted(maps.Keys(a.running))
	hello := &message.Hello{
		Entry: a.config.Entry, Life: a.config.Life, Entries: int(a.pace.Load()), Held: a.lent.BeginSession(),
		Running: a.tellRunning(), Revision: a.revision,
	}
	hello.More = a.lent.HasMore()
	a.ponged = now
	a.came = 0
	a.send((&message.Envelope{Hello: hello}).WithLevel())
	a.ask(now)
	a.batch = message.Batch{}
	a.log.Debug("asks control box", zap.String("address", address), zap.Int("waiting", len(a.waiting)), zap.Int("running", len(a.running)))
}

// Reads takes what the other side of a connection reads.
func (a *OwnerClient) Reads(link LinkID, l level.Level) {
	if link == a.link {
		a.reads = l
	}
}

// lose gives up the connection to the owner.
func (a *OwnerClient) lose(now event.Time, why string, err error) {
	a.out.Closes = append(a.out.Closes, a.link)
	a.link = 0
	a.fetch.linkLost()
	lineLevel := zap.DebugLevel
	if a.owned {
		a.lostAt = now
		lineLevel = zap.WarnLevel
	}
	a.owned = false
	a.unasked = nil
	a.dialAt = now
	a.batch = message.Batch{}
	a.log.Log(lineLevel, "owner lost", zap.String("why", why), logx.Err(err), zap.Duration("answered_ago", now.Sub(a.ponged)),
		zap.Int64("bytes", a.came), zap.Uint64("version", a.version()))
}

// Came takes note of how many bytes have come on a connection, whole messages or not. A line on a
// lost owner tells with it a link that is silent from one that is full.
func (a *OwnerClient) Came(link LinkID, bytes int64) {
	if link == a.link {
		a.came = bytes
	}
}

// version returns the version that is in force; 0 if none is.
func (a *OwnerClient) version() uint64 {
	if t := a.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Lost takes note that a connection has ended.
func (a *OwnerClient) Lost(now event.Time, link LinkID, err error) {
	if link == a.link {
		a.lose(now, "connection ended", err)
	}
}

// Received takes a message of a control box. What comes on a connection that was given
// up counts for nothing.
func (a *OwnerClient) Received(now event.Time, link LinkID, m *message.Envelope) {
	if link != a.link {
		return
	}
	defer a.settle(now)
	switch {
	case m.Redirect != nil:
		a.Know(m.Redirect.Members)
		a.hint = m.Redirect.Leader
		a.lose(now, "not the owner", nil)
		if a.hint == "" {
			a.dialAt = now.Add(redialWait)
		}
	case m.View != nil:
		a.see(now, m.View)
	case m.Nodes != nil:
		a.takeNodes(now, m.Nodes)
	case m.Pong != nil:
		a.pong(now, m.Pong)
	case m.Decisions != nil:
		a.decided(now, m.Decisions.Grants, m.Decisions.Refusals, false)
	}
}

// pong takes the owner's word that the configuration is the newest.
func (a *OwnerClient) pong(now event.Time, p *message.Pong) {
	a.ponged = now
	a.pace.Store(int64(max(1, p.Entries)))
	a.lent.Apply(p.Lent)
	a.endsSaved(p.Ends)
	if !a.owned {
		a.beginOwned(now)
	}
	a.submitWaiting(now)
	a.hearNewest(now, newestWord{version: p.Version, asked: p.Sent})
}

// beginOwned hands what waits to the owner that was found.
func (a *OwnerClient) beginOwned(now event.Time) {
	a.owned = true
	a.alone = nil
	a.unasked = a.inOrder()
	a.tellEnds(now)
	a.tellAsked(now)
	a.log.Info("owner found", zap.String("address", a.address), zap.Int("waiting", len(a.waiting)), zap.Int("entries", int(a.pace.Load())))
}

// see takes news of the deployment.
func (a *OwnerClient) see(now event.Time, v *message.View) {
	a.Know(v.Members)
	endpoints, err := v.DecodeEndpoints()
	if err != nil {
		// The rest of the view is of no use without them: the next session asks for all.
		a.log.Error("endpoints not read", logx.Err(err))
		a.revision = 0
		a.lose(now, "endpoints not read", err)
		return
	}
	if v.Whole {
		a.listed = make(map[event.EndpointID]bool)
	}
	for _, e := range endpoints {
		a.list(e)
	}
	for _, id := range v.Gone {
		delete(a.endpoints, id)
	}
	if (v.Whole || v.Revision > 0) && !v.More {
		a.dropUnlisted()
	}
	a.revision = max(a.revision, v.Revision)
	if v.Whole {
		a.revision = v.Revision // of another log, perhaps
	}
	if v.Suspects != nil {
		a.suspects = v.Suspects.List
	}
	if v.Signs {
		a.seeSigns()
	}
	a.seeSilent(v.Silent)
	a.seeAsked(now, v.Asked)
	if v.More {
		a.ask(now)
	}
	switch {
	case len(v.Document) > 0:
		a.takeDocument(v)
	case v.Version > 0:
		a.aim(now, v)
	}
}

// list takes an owner's word on an endpoint.
func (a *OwnerClient) list(e message.Endpoint) {
	id := event.EndpointID(e.ID)
	a.endpoints[id] = e
	if a.listed != nil {
		a.listed[id] = true
	}
}

// dropUnlisted drops the endpoints that an owner did not list of all, when it has listed all.
// Until then an entry that loses it has those that it knew.
func (a *OwnerClient) dropUnlisted() {
	if a.listed == nil {
		return
	}
	for id := range a.endpoints {
		if !a.listed[id] {
			delete(a.endpoints, id)
		}
	}
	a.listed = nil
}

// seeSigns takes that all endpoints give signs of life.
func (a *OwnerClient) seeSigns() {
	for id, e := range a.endpoints {
		if e.Down {
			e.Down = false
			a.endpoints[id] = e
		}
	}
}

// seeSilent takes which endpoints give none.
func (a *OwnerClient) seeSilent(silent []event.EndpointID) {
	for _, id := range silent {
		if e, ok := a.endpoints[id]; ok {
			e.Down = true
			a.endpoints[id] = e
		}
	}
}
