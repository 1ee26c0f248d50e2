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

// checkOwner asks the owner whether it still is.
func (a *OwnerClient) checkOwner(now event.Time) {
	if now.Sub(a.lastPong) > ownerTimeout {
		a.disconnect(now, "owner does not answer", nil)
		return
	}
	if now.Sub(a.lastPing) >= pingInterval {
		a.ping(now)
	}
}

// AddControlBoxes adds control boxes to those that are asked.
func (a *OwnerClient) AddControlBoxes(control []string) {
	for _, address := range control {
		if !slices.Contains(a.controlBoxes, address) {
			a.controlBoxes = append(a.controlBoxes, address)
		}
	}
}

// dial connects to the leader as last told, or to the next box that is known.
func (a *OwnerClient) dial() {
	address := a.leaderHint
	a.leaderHint = ""
	if address == "" {
		address = a.controlBoxes[a.nextTry%len(a.controlBoxes)]
		a.nextTry++
	}
	a.dialing = true
	a.out.Dial = address
}

// DialFailed takes note that a control box was not reached.
func (a *OwnerClient) DialFailed(now event.Time, address string, err error) {
	a.dialing = false
	a.dialAt = now.Add(redialDelay)
	a.log.Debug("control box not reached", zap.String("address", address), logx.Err(err))
}

// Dialed begins a session on a new connection to a control box.
func (a *OwnerClient) Dialed(now event.Time, link LinkID, address string) {
	a.dialing = false
	a.dialAt = now.Add(redialDelay)
	a.link, a.address, a.ownerLevel = link, address, 0
	if int64(now) >= a.validUntil.Load() {
		// It was out of touch for longer than it may use what it was lent.
		a.leases.Drop()
	}
	a.unreported = slices.Sorted(maps.Keys(a.running))
	hello := &message.Hello{
		Entry: a.config.Entry, Life: a.config.Life, Entries: int(a.entryCount.Load()), Held: a.leases.Greet(),
		Running: a.takeUnreported(), Revision: a.revision,
	}
	hello.More = a.leases.More()
	a.lastPong = now
	a.receivedBytes = 0
	a.send((&message.Envelope{Hello: hello}).Introduced())
	a.ping(now)
	a.batch = message.Batch{}
	a.log.Debug("asks control box", zap.String("address", address), zap.Int("waiting", len(a.waiting)), zap.Int("running", len(a.running)))
}

// Reads takes what the other side of a connection reads.
func (a *OwnerClient) Reads(link LinkID, l level.Level) {
	if link == a.link {
		a.ownerLevel = l
	}
}

// disconnect gives up the connection to the owner.
func (a *OwnerClient) disconnect(now event.Time, why string, err error) {
	a.out.Closes = append(a.out.Closes, a.link)
	a.link = 0
	a.fetch.disconnected()
	lineLevel := zap.DebugLevel
	if a.hasOwner {
		a.ownerLostAt = now
		lineLevel = zap.WarnLevel
	}
	a.hasOwner = false
	a.unsubmitted = nil
	a.dialAt = now
	a.batch = message.Batch{}
	a.log.Log(lineLevel, "owner lost", zap.String("why", why), logx.Err(err), zap.Duration("answered_ago", now.Sub(a.lastPong)),
		zap.Int64("bytes", a.receivedBytes), zap.Uint64("version", a.version()))
}

// SetReceivedBytes takes note of how many bytes have come on a connection, whole messages or not. A line on a
// lost owner tells with it a link that is silent from one that is full.
func (a *OwnerClient) SetReceivedBytes(link LinkID, bytes int64) {
	if link == a.link {
		a.receivedBytes = bytes
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
		a.disconnect(now, "connection ended", err)
	}
}

// Received takes a message of a control box. What comes on a connection that was given
// up counts for nothing.
func (a *OwnerClient) Received(now event.Time, link LinkID, m *message.Envelope) {
	if link != a.link {
		return
	}
	defer a.deliverDecisions(now)
	switch {
	case m.Redirect != nil:
		a.AddControlBoxes(m.Redirect.Members)
		a.leaderHint = m.Redirect.Leader
		a.disconnect(now, "not the owner", nil)
		if a.leaderHint == "" {
			a.dialAt = now.Add(redialDelay)
		}
	case m.View != nil:
		a.receiveView(now, m.View)
	case m.Nodes != nil:
		a.receiveNodes(now, m.Nodes)
	case m.Pong != nil:
		a.receivePong(now, m.Pong)
	case m.Decisions != nil:
		a.applyDecisions(now, m.Decisions.Grants, m.Decisions.Refusals, false)
	}
}

// receivePong takes the owner's word that the configuration is the newest.
func (a *OwnerClient) receivePong(now event.Time, p *message.Pong) {
	a.lastPong = now
	a.entryCount.Store(int64(max(1, p.Entries)))
	a.leases.Take(p.Lent)
	a.dropSavedEnds(p.Ends)
	if !a.hasOwner {
		a.ownerFound(now)
	}
	a.submitWaiting(now)
	a.confirmVersion(now, versionConfirmation{version: p.Version, asked: p.Sent})
}

// ownerFound hands what waits to the owner that was found.
func (a *OwnerClient) ownerFound(now event.Time) {
	a.hasOwner = true
	a.degraded = nil
	a.unsubmitted = a.waitingByArrival()
	a.reportEnds(now)
	a.reportFeedback(now)
	a.log.Info("owner found", zap.String("address", a.address), zap.Int("waiting", len(a.waiting)), zap.Int("entries", int(a.entryCount.Load())))
}

// receiveView takes news of the deployment.
func (a *OwnerClient) receiveView(now event.Time, v *message.View) {
	a.AddControlBoxes(v.Members)
	endpoints, err := v.List()
	if err != nil {
		// The rest of the view is of no use without them: the next session asks for all.
		a.log.Error("endpoints not read", logx.Err(err))
		a.revision = 0
		a.disconnect(now, "endpoints not read", err)
		return
	}
	if v.Whole {
		a.listed = make(map[event.EndpointID]bool)
	}
	for _, e := range endpoints {
		a.updateEndpoint(e)
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
		a.markAllUp()
	}
	a.markDown(v.Silent)
	a.applyFeedbackStates(now, v.Asked)
	if v.More {
		a.ping(now)
	}
	switch {
	case len(v.Document) > 0:
		a.applyDocument(v)
	case v.Version > 0:
		a.setFetchTarget(now, v)
	}
}

// updateEndpoint takes an owner's word on an endpoint.
func (a *OwnerClient) updateEndpoint(e message.Endpoint) {
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

// markAllUp takes that all endpoints give signs of life.
func (a *OwnerClient) markAllUp() {
	for id, e := range a.endpoints {
		if e.Down {
			e.Down = false
			a.endpoints[id] = e
		}
	}
}

// markDown takes which endpoints give none.
func (a *OwnerClient) markDown(silent []event.EndpointID) {
	for _, id := range silent {
		if e, ok := a.endpoints[id]; ok {
			e.Down = true
			a.endpoints[id] = e
		}
	}
}
