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
	windowMost = 32 << 10
	// windowLeast is one node at a time.
	windowLeast = 1 << 10
	// windowStep is what the window grows by with each answer, after a loss had halved it.
	windowStep = 1 << 10
)

// configFetch is what is under way of a configuration.
type configFetch struct {
	hashtree.Fetcher
	window int
	// offered says that the present owner told which version is the newest: it has its nodes.
	offered bool
	began   event.Time
}

// linkLost takes note that the connection to the owner has ended. If nodes were on their way, the
// link may be too full for as many of them beside all else.
func (c *configFetch) linkLost() {
	if c.offered && c.InFlightBytes() > 0 {
		c.window = max(windowLeast, c.window/2)
	}
	c.offered = false
	c.ConnectionLost()
}

// aim begins to gather a configuration. An entry never goes back to an older one.
func (a *OwnerClient) aim(now event.Time, v *message.View) {
	if v.Version < a.fetch.Version() || v.Version <= a.version() {
		return
	}
	if v.Root == (hashtree.Sum{}) {
		a.log.Error("configuration told of without its tree", zap.Uint64("version", v.Version))
		return
	}
	a.fetch.offered = true
	a.told.Store(v.Version)
	if v.Version > a.fetch.Version() {
		a.fetch.began = now
	}
	a.fetch.SetTarget(v.Version, v.Root)
	a.gather(now)
}

// takeDocument puts a configuration in force that came whole, from an owner below level.Chunked. It is
// read in the client's loop: owners that send it so are there only while boxes are replaced.
func (a *OwnerClient) takeDocument(v *message.View) {
	if v.Version <= a.version() {
		return
	}
	table, err := a.config.Decode(v.Document)
	if err != nil {
		a.log.Error("configuration not read", zap.Uint64("version", v.Version), logx.Err(err))
		return
	}
	a.told.Store(v.Version)
	a.table.Store(table)
	a.refresh()
	a.log.Info("configuration in force", zap.Uint64("version", table.Version), zap.Int("routes", len(table.Routes)),
		zap.Int("bytes", len(v.Document)))
}

// gather asks for more of the configuration, and puts it in force once it is whole.
func (a *OwnerClient) gather(now event.Time) {
	if !a.fetch.offered {
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
	a.refresh()
	nodes, bytes := a.fetch.Received()
	a.log.Info("configuration in force", zap.Uint64("version", table.Version), zap.Int("routes", len(table.Routes)),
		zap.Int("nodes", nodes), zap.Int("bytes", bytes), zap.Duration("after", now.Sub(a.fetch.began)))
}

// takeNodes takes nodes that were asked for.
func (a *OwnerClient) takeNodes(now event.Time, m *message.Nodes) {
	for _, n := range m.List {
		if err := a.fetch.Receive(n.Sum, n.Packed); err != nil {
			a.log.Error("node of the configuration not read", zap.Uint64("version", a.fetch.Version()), logx.Err(err))
			a.lose(now, "node not read", err)
			return
		}
		a.nodes.Add(int64(len(n.Packed)))
	}
	if len(m.List) > 0 {
		a.fetch.window = min(windowMost, a.fetch.window+windowStep)
	}
	if a.fetch.lacks(m.Unknown) {
		// The next session begins with what its owner has.
		a.lose(now, "the owner lacks nodes of the configuration that it told of", nil)
		return
	}
	a.gather(now)
}

// lacks reports whether one of the nodes that the owner does not have is still asked for. Those of
// an earlier version are not, once a newer one was told of.
func (c *configFetch) lacks(unknown []hashtree.Sum) bool {
	lacks := false
	for _, sum := range unknown {
		lacks = c.NodeUnavailable(sum) || lacks
	}
	return lacks
}
