// SPDX-License-Identifier: MIT

package hashtree

import "testing"

// TestNewVersionAsksNothingAgainThatIsOnItsWay: version 2 is told of while nodes of version 1 are on
// their way that both have. Aim forgets what was asked for, so that the same nodes are asked for and
// sent again, and what is on the link is no longer bounded by the window but by the window times the
// versions told of within its time: in front of the owner's signs of life.
func TestNewVersionAsksNothingAgainThatIsOnItsWay(t *testing.T) {
	const window = 32 << 10
	table := tableOf(3, 14000, 0, 0)
	first := Build(table, nil)
	var f Fetch
	give := func(tree *Tree, sums []Sum) {
		for _, sum := range sums {
			packed, ok := tree.Node(sum)
			if !ok {
				t.Fatal("a node is asked for that the owner does not have")
			}
			if err := f.Take(sum, packed); err != nil {
				t.Fatal(err)
			}
		}
	}
	f.Aim(1, first.Root())
	give(first, f.Next(window)) // the root
	give(first, f.Next(1))      // one node below it
	onWay := make(map[Sum]int)  // asked for, not come
	sent := 0
	ask := func(tree *Tree) (again int) {
		for _, sum := range f.Next(window) {
			if _, ok := onWay[sum]; ok {
				again++
			}
			packed, _ := tree.Node(sum)
			onWay[sum] = len(packed)
			sent += len(packed)
		}
		return again
	}
	ask(first)
	tree := first
	for version := uint64(2); version < 12; version++ {
		table.Routes[len(table.Routes)-1].Rank--
		tree = Build(table, tree)
		f.Aim(version, tree.Root())
		root, _ := tree.Node(tree.Root())
		for _, sum := range f.Next(1) { // the new root alone is taken: it is what the next question needs
			if sum != tree.Root() {
				t.Fatal("the root is asked for first")
			}
			if err := f.Take(sum, root); err != nil {
				t.Fatal(err)
			}
		}
		if again := ask(tree); again > 0 {
			t.Errorf("version %d: %d nodes are asked for again that are on their way", version, again)
		}
	}
	if sent > window+window/4 {
		t.Errorf("%d bytes are on the way, window is %d", sent, window)
	}
}
