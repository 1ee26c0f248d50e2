// SPDX-License-Identifier: MIT

package hashtree

import "testing"

// Nodes of versions that never become complete must be evicted: large changes may follow each other
// faster than a slow link carries them.
func TestUnfinishedVersionsAreEvicted(t *testing.T) {
	const routes, versions = 4200, 12
	var f Fetcher
	maxNodes := 0
	for version := range uint64(versions) {
		tree := Build(tableOf(version+1, routes, 0, 0), nil) // each version has other routes
		maxNodes = max(maxNodes, tree.Len())
		f.SetTarget(version+1, tree.Root())
		for received := 0; received < tree.Len()*9/10; {
			for _, sum := range f.Next(32 << 10) {
				packed, _ := tree.Node(sum)
				if err := f.Receive(sum, packed); err != nil {
					t.Fatal(err)
				}
				received++
			}
		}
	}
	if len(f.held) > 2*maxNodes {
		t.Errorf("%d nodes are held after %d incomplete versions of at most %d nodes, want those of at most two",
			len(f.held), versions, maxNodes)
	}
}
