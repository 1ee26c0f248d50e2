// SPDX-License-Identifier: MIT

package cluster

import (
	"lynxramp.org/event"
	"lynxramp.org/hashtree"
	"lynxramp.org/routing"
)

// This file decodes the configuration document. Decoding runs outside the event loop: a document of
// 14,000 routes takes 0.1 s, and a step of the loop must take far less time than a lease.

// decodedConfig is the newest decoded configuration.
type decodedConfig struct {
	version uint64
	table   *routing.Table
	tree    *hashtree.Tree
	// document is the configuration as submitted, for entries that don't support trees.
	document         []byte
	requestedVersion uint64 // newest version sent to the decoder
	attemptedVersion uint64 // version of the decoder's last result, valid or not
	requiredVersion  uint64 // version that must be decoded before this box owns the pools; 0 if not set
}

// requestDecode sends the newest document to the decoder, once.
func (s *State) requestDecode(out *Effects) {
	d := s.machine.document
	if d.Version <= s.config.requestedVersion {
		return
	}
	s.config.requestedVersion = d.Version
	out.Decode = d
}

// isConfigReady reports whether the decoder is done with the configuration that was committed when this
// box, about to own the pools, first asked. With an older one it would not have the quotas and keys that
// entries and the previous owner used. It does not wait for newer versions, so that a series of changes
// can't leave the pools without an owner.
func (s *State) isConfigReady() bool {
	if s.config.requiredVersion == 0 {
		s.config.requiredVersion = s.machine.document.Version
	}
	return s.config.attemptedVersion >= s.config.requiredVersion
}

// applyDecoded applies a decoded configuration.
func (s *State) applyDecoded(now event.Time, d *DocumentDecoded, out *Effects) {
	s.config.attemptedVersion = max(s.config.attemptedVersion, d.Version)
	if d.Err != nil {
		// It was valid when it was proposed, so another build wrote it.
		out.logInfo("configuration can't be decoded; keeping the previous one", Field{"version", d.Version}, Field{"error", d.Err.Error()})
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
