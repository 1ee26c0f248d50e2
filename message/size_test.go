// SPDX-License-Identifier: MIT

package message

import (
	"testing"

	"lynxramp.org/consensus"
	"lynxramp.org/hashtree"
)

// TestSizeCountsVariableParts: links bound a peer's send queue in bytes, so Size must count all
// parts that grow with a deployment.
func TestSizeCountsVariableParts(t *testing.T) {
	data := make([]byte, 1000)
	for name, m := range map[string]*Envelope{
		"entries":  {Consensus: &consensus.Message{Entries: []consensus.Entry{{Data: data[:400]}, {Data: data[:600]}}}},
		"snapshot": {Consensus: &consensus.Message{Snapshot: &consensus.Snapshot{Data: data}}},
		"view":     {View: &View{Endpoints: Packed(data)}},
		"nodes":    {Nodes: &Nodes{List: []Node{{Packed: hashtree.Packed(data[:1])}, {Packed: hashtree.Packed(data[:999])}}}},
	} {
		if got := m.Size(); got != 1000 {
			t.Errorf("%s: %d bytes, want 1000", name, got)
		}
	}
}
