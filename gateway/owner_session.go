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

// This file finds the owner, keeps the session with it, and applies the state that it sends.

// checkOwner disconnects from an owner that timed out and sends pings to any other.
func (a *OwnerClient) checkOwner(now event.Time) {
	if now.Sub(a.lastPong) > ownerTimeout {
		a.disconnect(now, "owner does not answer", nil)
		return
	}
	interval := pingInterval
	if a.pingOften.Load() {
		interval = shortPingInterval
	}
	if now.Sub(a.lastPing) >= interval {
		a.sendPing(now)
	}
}

// AddControlBoxes adds link addresses of control boxes.
func (a *OwnerClient) AddControlBoxes(control []string) {
	for _, address := range control {
		if !slices.Contains(a.controlBoxes, address) {
			a.controlBoxes = append(a.controlBoxes, address)
		}
	}
}

// otherControlBox returns the address of a control box, if possible of one without a session.
func (a *OwnerClient) otherControlBox() string {
	for range a.controlBoxes {
		a.nextProbe++
		if address := a.controlBoxes[a.nextProbe%len(a.controlBoxes)]; address != a.address {
			return address
		}
	}
	return a.address
}

// dial requests a connection to the leader of the last redirect, or else to the next known control box.
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

// DialFailed records that a control box could not be reached.
func (a *OwnerClient) DialFailed(now event.Time, address string, err error) {
	a.dialing = false
	a.dialAt = now.Add(redialDelay)
	a.log.Debug("can't connect to control box; trying the next one", zap.String("address", address), logx.Err(err))
}

// Connected starts a session on a new connection to a control box.
func (a *OwnerClient) Connected(now event.Time, link LinkID, address string) {
	a.dialing = false
	a.dialAt = now.Add(redialDelay)
	a.link, a.address, a.ownerFormatVersion = link, address, 0
	a.versions.revision, a.versions.unreported = 0, nil
	if int64(now) >= a.validUntil.Load() {
		// The entry was without contact for longer than leases are valid.
		a.leases.Expire()
	}
	a.unreported = slices.Sorted(maps.Keys(a.running))
	hello := &message.Hello{
		Entry: a.config.Entry, Life: a.config.Instance, Entries: int(a.entryCount.Load()), Held: a.leases.BeginSession(),
		Running: a.takeUnreported(), Revision: a.revision,
	}
	hello.More = a.leases.HasMore()
	a.lastPong = now
	a.receivedBytes = 0
	a.send((&message.Envelope{Hello: hello}).WithFormatVersion())
	a.sendPing(now)
	a.batch = message.Batch{}
	a.log.Debug("connected to control box", zap.String("address", address), zap.Int("waiting", len(a.waiting)), zap.Int("running", len(a.running)))
}

// SetPeerFormatVersion sets the format version that the peer of a connection supports.
func (a *OwnerClient) SetPeerFormatVersion(link LinkID, l level.Level) {
	if link == a.link {
		a.ownerFormatVersion = l
	}
}

// disconnect closes the connection to the control box.
func (a *OwnerClient) disconnect(now event.Time, why string, err error) {
	a.out.Closes = append(a.out.Closes, a.link)
	a.link = 0
	a.fetch.disconnected()
	logLevel := zap.DebugLevel
	if a.hasOwner {
		a.ownerLostAt = now
		logLevel = zap.WarnLevel
	}
	a.hasOwner = false
	a.roundTrip.reset()
	a.unsubmitted = nil
	a.dialAt = now
	a.batch = message.Batch{}
	a.log.Log(logLevel, "owner lost", zap.String("why", why), logx.Err(err), zap.Duration("answered_ago", now.Sub(a.lastPong)),
		zap.Int64("bytes", a.receivedBytes), zap.Uint64("version", a.version()))
}

// SetReceivedBytes sets the bytes received on a connection, including incomplete messages. The log line of a
// lost owner has them, to distinguish a dead link from an overloaded one.
func (a *OwnerClient) SetReceivedBytes(link LinkID, bytes int64) {
	if link == a.link {
		a.receivedBytes = bytes
	}
}

// version returns the version in force, or 0 if there is none.
func (a *OwnerClient) version() uint64 {
	if t := a.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Disconnected records that a connection ended.
func (a *OwnerClient) Disconnected(now event.Time, link LinkID, err error) {
	if link == a.link {
		a.disconnect(now, "connection closed", err)
	}
}

// Received applies a message from a control box. Messages on a connection that is no longer used are
// ignored.
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

// receivePong applies the owner's reply to a ping, which confirms its version as the newest.
func (a *OwnerClient) receivePong(now event.Time, p *message.Pong) {
	a.lastPong = now
	a.roundTrip.pongReceived(now, p.Sent)
	a.entryCount.Store(int64(max(1, p.Entries)))
	a.leases.Apply(p.Lent)
	a.dropSavedTerminations(p.Ends)
	a.confirmVersions(now, p)
	if !a.hasOwner {
		a.ownerFound(now)
	}
	a.submitWaiting(now)
	a.confirmVersion(now, versionConfirmation{version: p.Version, pingSentAt: p.Sent})
}

// OwnerRoundTrip returns how long the last ping to the owner took to be answered, or how long one has been waiting for
// its answer if that is longer. It returns false if there is no session with a control box.
func (a *OwnerClient) OwnerRoundTrip(now event.Time) (event.Duration, bool) {
	return a.roundTrip.value(now)
}

// ownerFound starts the session with a found owner: waiting requests, terminations and feedback are sent to it.
func (a *OwnerClient) ownerFound(now event.Time) {
	a.hasOwner = true
	a.degraded = nil
	a.slowedEndpoints.Store(0)
	a.unsubmitted = a.waitingByArrival()
	a.reportTerminations(now)
	a.reportFeedback(now)
	a.reportStreams(now)
	a.log.Info("owner found", zap.String("address", a.address), zap.Int("waiting", len(a.waiting)), zap.Int("entries", int(a.entryCount.Load())))
}

// receiveView applies the state or changes that the owner sent.
func (a *OwnerClient) receiveView(now event.Time, v *message.View) {
	a.AddControlBoxes(v.Members)
	endpoints, err := v.DecodeEndpoints()
	if err != nil {
		// Without its endpoints the rest of the view is useless. The next session asks for all.
		a.log.Error("endpoints can't be decoded; reconnecting to the owner", logx.Err(err))
		a.revision = 0
		a.disconnect(now, "invalid endpoint list", err)
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
		a.revision = v.Revision // may be lower, if the owner has another log
	}
	if v.Suspects != nil {
		a.suspects = v.Suspects.List
	}
	if v.Signs {
		a.markAllUp()
	}
	a.markDown(v.Silent)
	a.applyRestrictions(v)
	a.applyVersions(now, v.Versions)
	a.applyFeedbackStates(now, v.Asked)
	if v.More {
		a.sendPing(now)
	}
	switch {
	case len(v.Document) > 0:
		a.applyDocument(v)
	case v.Version > 0:
		a.setFetchTarget(now, v)
	}
}

// updateEndpoint adds or updates an endpoint.
func (a *OwnerClient) updateEndpoint(e message.Endpoint) {
	id := event.EndpointID(e.ID)
	a.endpoints[id] = e
	if a.listed != nil {
		a.listed[id] = true
	}
}

// dropUnlisted removes the endpoints missing from a complete list, once all of it was received. Until then
// the old ones are kept, in case the owner is lost.
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

// markAllUp marks all endpoints as up.
func (a *OwnerClient) markAllUp() {
	for id, e := range a.endpoints {
		if e.Down {
			e.Down = false
			a.endpoints[id] = e
		}
	}
}

// markDown marks endpoints without a heartbeat as down.
func (a *OwnerClient) markDown(unreachable []event.EndpointID) {
	for _, id := range unreachable {
		if e, ok := a.endpoints[id]; ok {
			e.Down = true
			a.endpoints[id] = e
		}
	}
}
