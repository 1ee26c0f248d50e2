// SPDX-License-Identifier: MIT

package hashtree

import "testing"

// TestUnfinishedVersionsDontPileUp: large changes follow each other before an entry has the last of
// one (its link is slow, or its owner changes). Fetch drops nodes of other versions only once a
// version is whole, so that it keeps those of all that were begun: parsed, some 300 bytes a route, on
// a box of 112 MB.
func TestUnfinishedVersionsDontPileUp(t *testing.T) {
	const routes, versions = 4200, 12
	var f Fetch
	most := 0
	for version := range uint64(versions) {
		tree := Build(tableOf(version+1, routes, 0, 0), nil) // no route is as it was
		most = max(most, tree.Len())
		f.Aim(version+1, tree.Root())
		for came := 0; came < tree.Len()*9/10; {
			for _, sum := range f.Next(32 << 10) {
				packed, _ := tree.Node(sum)
				if err := f.Take(sum, packed); err != nil {
					t.Fatal(err)
				}
				came++
			}
		}
	}
	if len(f.held) > 2*most {
		t.Errorf("%d nodes are held after %d unfinished versions of %d nodes at the most, want those of two at the most",
			len(f.held), versions, most)
	}
}
