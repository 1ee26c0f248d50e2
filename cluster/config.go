// SPDX-License-Identifier: MIT

package cluster

import (
	"lynxramp.org/event"
	"lynxramp.org/hashtree"
	"lynxramp.org/routing"
)

// This file is what a control box makes of the configuration's document. It is decoded beside the
// loop: a document of 14,000 routes takes 0.1 s, and what the loop does in one step must end long
// before a lease does.

// decodedConfig is the newest configuration that is decoded.
type decodedConfig struct {
	version uint64
	table   *routing.Table
	tree    *hashtree.Tree
	// document is the configuration as its operator sent it, for entries that read no trees.
	document []byte
	requestedVersion    uint64 // version that was last given to be decoded
	attemptedVersion  uint64 // version of the last answer, sound or not
	requiredVersion   uint64 // version that must be decoded before this box owns the pools
}

// requestDecode gives the newest document to be decoded, once.
func (s *State) requestDecode(out *Effects) {
	d := s.machine.document
	if d.Version <= s.config.requestedVersion {
		return
	}
	s.config.requestedVersion = d.Version
	out.Decode = d
}

// isConfigReady takes note that this box is about to own the pools: it must have decoded the configuration
// that is committed by now. By an older one, or none, it would not know of quotas and keys that
// entries and the owner before went by. A newer one that comes meanwhile is not waited for: changes
// that follow each other must not leave the pools without an owner.
func (s *State) isConfigReady() bool {
	if s.config.requiredVersion == 0 {
		s.config.requiredVersion = s.machine.document.Version
	}
	return s.config.attemptedVersion >= s.config.requiredVersion
}

// applyDecoded takes a configuration that was decoded.
func (s *State) applyDecoded(now event.Time, d *DocumentDecoded, out *Effects) {
	s.config.attemptedVersion = max(s.config.attemptedVersion, d.Version)
	if d.Err != nil {
		// It was sound when it was proposed: another version of this program wrote it.
		out.logInfo("configuration not read", Field{"version", d.Version}, Field{"error", d.Err.Error()})
		return
	}
	if d.Version <= s.config.version {
		return
	}
	s.config.version, s.config.table, s.config.tree, s.config.document = d.Version, d.Table, d.Tree, d.Document
	out.logInfo("configuration decoded", Field{"version", d.Version}, Field{"routes", len(d.Table.Routes)},
		Field{"nodes", d.Tree.Len()}, Field{"bytes", d.Tree.Bytes()})
	if s.owner != nil {
		s.owner.applyConfig(now, s, out)
	}
}

// node returns a node of the newest tree.
func (c *decodedConfig) node(sum hashtree.Sum) (hashtree.Packed, bool) {
	if c.tree == nil {
		return nil, false
	}
	return c.tree.Node(sum)
}
