// SPDX-License-Identifier: MIT

package gateway

import (
	"go.uber.org/zap"

	"lynxramp.org/event"
	"lynxramp.org/hashtree"
	"lynxramp.org/internal/logx"
	"lynxramp.org/message"
)

// This file fetches the configuration: the client asks the owner for the nodes it lacks of the newest
// version, a limited number of bytes at a time, and keeps received nodes across lost connections and owner
// changes. So a configuration of any size is eventually complete, and the owner's other messages wait for
// at most one window: 26 ms on a link of 10 Mbit/s.

// Limits of the bytes of nodes in flight from an owner.
const (
	maxWindow = 32 << 10
	// minWindow is the size of one node.
	minWindow = 1 << 10
	// windowStep is added to the window with each response, after a lost connection halved it.
	windowStep = 1 << 10
)

// configFetch is the state of fetching a configuration.
type configFetch struct {
	hashtree.Fetcher
	window int
	// isAnnounced is set once the current owner announced the newest version; only then it has the nodes.
	isAnnounced bool
	started     event.Time
}

// disconnected records that the connection to the owner ended. If nodes were in flight, it halves the window,
// as the link may be too slow for it.
func (c *configFetch) disconnected() {
	if c.isAnnounced && c.InFlightBytes() > 0 {
		c.window = max(minWindow, c.window/2)
	}
	c.isAnnounced = false
	c.ConnectionLost()
}

// setFetchTarget starts to fetch an announced configuration. An entry never returns to an older one.
func (a *OwnerClient) setFetchTarget(now event.Time, v *message.View) {
	if v.Version < a.fetch.Version() || v.Version <= a.version() {
		return
	}
	if v.Root == (hashtree.Sum{}) {
		a.log.Error("owner announced a configuration without a root hash; ignoring it", zap.Uint64("version", v.Version))
		return
	}
	a.fetch.isAnnounced = true
	a.announcedVersion.Store(v.Version)
	if v.Version > a.fetch.Version() {
		a.fetch.started = now
	}
	a.fetch.SetTarget(v.Version, v.Root)
	a.continueFetch(now)
}

// applyDocument puts a configuration in force that was sent as one document, by an owner below level.Chunked.
// It is parsed in the agent's loop, as such owners exist only during an upgrade.
func (a *OwnerClient) applyDocument(v *message.View) {
	if v.Version <= a.version() {
		return
	}
	table, err := a.config.Decode(v.Document)
	if err != nil {
		a.log.Error("configuration can't be decoded; keeping the previous one", zap.Uint64("version", v.Version), logx.Err(err))
		return
	}
	a.announcedVersion.Store(v.Version)
	a.table.Store(table)
	a.extendValidity()
	a.log.Info("configuration in force", zap.Uint64("version", table.Version), zap.Int("routes", len(table.Routes)),
		zap.Int("bytes", len(v.Document)))
}

// continueFetch requests more nodes of the configuration, and puts it in force once it is complete.
func (a *OwnerClient) continueFetch(now event.Time) {
	if !a.fetch.isAnnounced {
		return
	}
	if a.fetch.IsIncomplete() {
		if sums := a.fetch.Next(a.fetch.window); len(sums) > 0 {
			a.send(&message.Envelope{Want: &message.Want{Sums: sums}})
		}
		return
	}
	if a.fetch.Version() <= a.version() {
		return
	}
	table := a.fetch.Table()
	a.table.Store(table)
	a.extendValidity()
	nodes, bytes := a.fetch.Received()
	a.log.Info("configuration in force", zap.Uint64("version", table.Version), zap.Int("routes", len(table.Routes)),
		zap.Int("nodes", nodes), zap.Int("bytes", bytes), zap.Duration("after", now.Sub(a.fetch.started)))
}

// receiveNodes applies nodes that were requested.
func (a *OwnerClient) receiveNodes(now event.Time, m *message.Nodes) {
	for _, n := range m.List {
		if err := a.fetch.Receive(n.Sum, n.Packed); err != nil {
			a.log.Error("configuration node can't be decoded; reconnecting to the owner", zap.Uint64("version", a.fetch.Version()), logx.Err(err))
			a.disconnect(now, "invalid configuration node", err)
			return
		}
		a.nodeBytes.Add(int64(len(n.Packed)))
	}
	if len(m.List) > 0 {
		a.fetch.window = min(maxWindow, a.fetch.window+windowStep)
	}
	if a.fetch.markUnavailable(m.Unknown) {
		// The next session starts with the nodes that its owner has.
		a.disconnect(now, "owner lacks nodes of the configuration that it announced", nil)
		return
	}
	a.continueFetch(now)
}

// markUnavailable marks the nodes that the owner lacks and reports whether one of them is still needed. Nodes
// of an earlier version are not, once a newer one was announced.
func (c *configFetch) markUnavailable(unknown []hashtree.Sum) bool {
	isNeeded := false
	for _, sum := range unknown {
		isNeeded = c.NodeUnavailable(sum) || isNeeded
	}
	return isNeeded
}
