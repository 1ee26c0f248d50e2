// SPDX-License-Identifier: MIT

package hashtree

import "testing"

// A new version must not request nodes again that are in flight. Otherwise the bytes in flight
// would grow with each new version beyond the window, ahead of the owner's heartbeats.
func TestNewVersionDoesNotRequestNodesInFlight(t *testing.T) {
	const window = 32 << 10
	table := tableOf(3, 14000, 0, 0)
	first := Build(table, nil)
	var f Fetcher
	deliver := func(tree *Tree, sums []Sum) {
		for _, sum := range sums {
			packed, ok := tree.Node(sum)
			if !ok {
				t.Fatal("a requested node is not in the tree")
			}
			if err := f.Receive(sum, packed); err != nil {
				t.Fatal(err)
			}
		}
	}
	f.SetTarget(1, first.Root())
	deliver(first, f.Next(window)) // the root
	deliver(first, f.Next(1))      // one of its children
	inFlight := make(map[Sum]int)  // requested, not received
	sent := 0
	request := func(tree *Tree) (again int) {
		for _, sum := range f.Next(window) {
			if _, ok := inFlight[sum]; ok {
				again++
			}
			packed, _ := tree.Node(sum)
			inFlight[sum] = len(packed)
			sent += len(packed)
		}
		return again
	}
	request(first)
	tree := first
	for version := uint64(2); version < 12; version++ {
		table.Routes[len(table.Routes)-1].Rank--
		tree = Build(table, tree)
		f.SetTarget(version, tree.Root())
		root, _ := tree.Node(tree.Root())
		for _, sum := range f.Next(1) { // deliver the new root alone: the next request depends on it
			if sum != tree.Root() {
				t.Fatal("a node other than the root is requested first")
			}
			if err := f.Receive(sum, root); err != nil {
				t.Fatal(err)
			}
		}
		if again := request(tree); again > 0 {
			t.Errorf("version %d: %d nodes are requested again while in flight", version, again)
		}
	}
	if sent > window+window/4 {
		t.Errorf("%d bytes are in flight, the window is %d", sent, window)
	}
}
