// SPDX-License-Identifier: MIT

package gateway

import (
	"go.uber.org/zap"

	"lynxramp.org/event"
	"lynxramp.org/hashtree"
	"lynxramp.org/internal/logx"
	"lynxramp.org/message"
)

// This file is how a client comes by the configuration: it asks the owner for what it lacks of the
// newest one, a bounded number of bytes at a time, and keeps what came over lost connections and
// changes of the owner. So a configuration of any size comes in force, sooner or later, and what the
// owner says beside it waits for the window at the most: 26 ms on a link of 10 Mbit/s.

// Bounds of what an owner may have on its way to an entry, in bytes of nodes.
const (
	maxWindow = 32 << 10
	// minWindow is one node at a time.
	minWindow = 1 << 10
	// windowStep is what the window grows by with each answer, after a loss had halved it.
	windowStep = 1 << 10
)

// configFetch is what is under way of a configuration.
type configFetch struct {
	hashtree.Fetch
	window int
	// hasOffer says that the present owner told which version is the newest: it has its nodes.
	hasOffer bool
	started  event.Time
}

// disconnected takes note that the connection to the owner has ended. If nodes were on their way, the
// link may be too full for as many of them beside all else.
func (c *configFetch) disconnected() {
	if c.hasOffer && c.Waiting() > 0 {
		c.window = max(minWindow, c.window/2)
	}
	c.hasOffer = false
	c.Restart()
}

// setFetchTarget begins to gather a configuration. An entry never goes back to an older one.
func (a *OwnerClient) setFetchTarget(now event.Time, v *message.View) {
	if v.Version < a.fetch.Version() || v.Version <= a.version() {
		return
	}
	if v.Root == (hashtree.Sum{}) {
		a.log.Error("configuration told of without its tree", zap.Uint64("version", v.Version))
		return
	}
	a.fetch.hasOffer = true
	a.announcedVersion.Store(v.Version)
	if v.Version > a.fetch.Version() {
		a.fetch.started = now
	}
	a.fetch.Aim(v.Version, v.Root)
	a.continueFetch(now)
}

// applyDocument puts a configuration in force that came whole, from an owner below level.Parts. It is
// read in the client's loop: owners that send it so are there only while boxes are replaced.
func (a *OwnerClient) applyDocument(v *message.View) {
	if v.Version <= a.version() {
		return
	}
	table, err := a.config.Decode(v.Document)
	if err != nil {
		a.log.Error("configuration not read", zap.Uint64("version", v.Version), logx.Err(err))
		return
	}
	a.announcedVersion.Store(v.Version)
	a.table.Store(table)
	a.extendValidity()
	a.log.Info("configuration in force", zap.Uint64("version", table.Version), zap.Int("routes", len(table.Routes)),
		zap.Int("bytes", len(v.Document)))
}

// continueFetch asks for more of the configuration, and puts it in force once it is whole.
func (a *OwnerClient) continueFetch(now event.Time) {
	if !a.fetch.hasOffer {
		return
	}
	if a.fetch.Busy() {
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
	nodes, bytes := a.fetch.Came()
	a.log.Info("configuration in force", zap.Uint64("version", table.Version), zap.Int("routes", len(table.Routes)),
		zap.Int("nodes", nodes), zap.Int("bytes", bytes), zap.Duration("after", now.Sub(a.fetch.started)))
}

// receiveNodes takes nodes that were asked for.
func (a *OwnerClient) receiveNodes(now event.Time, m *message.Nodes) {
	for _, n := range m.List {
		if err := a.fetch.Take(n.Sum, n.Packed); err != nil {
			a.log.Error("node of the configuration not read", zap.Uint64("version", a.fetch.Version()), logx.Err(err))
			a.disconnect(now, "node not read", err)
			return
		}
		a.nodeBytes.Add(int64(len(n.Packed)))
	}
	if len(m.List) > 0 {
		a.fetch.window = min(maxWindow, a.fetch.window+windowStep)
	}
	if a.fetch.markUnavailable(m.Unknown) {
		// The next session begins with what its owner has.
		a.disconnect(now, "the owner lacks nodes of the configuration that it told of", nil)
		return
	}
	a.continueFetch(now)
}

// markUnavailable reports whether one of the nodes that the owner does not have is still asked for. Those of
// an earlier version are not, once a newer one was told of.
func (c *configFetch) markUnavailable(unknown []hashtree.Sum) bool {
	lacks := false
	for _, sum := range unknown {
		lacks = c.Lost(sum) || lacks
	}
	return lacks
}
