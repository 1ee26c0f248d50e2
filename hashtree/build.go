// SPDX-License-Identifier: MIT

package hashtree

import (
	"encoding/json"
	"hash/fnv"

	"lynxramp.org/routing"
)

// Lengths of runs. A leaf of 64 routes has about 3 kB, about 2 ms on a 10 Mbit/s link, and takes 2 ms to read on
// 0.144 of a core. A tree of 14,000 routes has 220 leaves.
const (
	// meanRunItems is the mean number of items in a run, maxRunItems the maximum.
	meanRunItems = 64
	maxRunItems  = 4 * meanRunItems
	// maxRunBytes ends a run whose items are long.
	maxRunBytes = 32 << 10
	// meanFanout is the mean number of children of a node, maxFanout the maximum.
	meanFanout = 32
	maxFanout  = 4 * meanFanout
)

// Tree is a configuration as a tree of nodes. It is immutable once built.
type Tree struct {
	root  Sum
	nodes map[Sum]Packed
	bytes int
}

// Root identifies the content of the configuration, without its version.
func (t *Tree) Root() Sum { return t.root }

// Len returns the number of nodes.
func (t *Tree) Len() int { return len(t.nodes) }

// Bytes returns the total encoded length of the nodes.
func (t *Tree) Bytes() int { return t.bytes }

// Node returns a node; false if it is not in the tree.
func (t *Tree) Node(s Sum) (Packed, bool) {
	p, ok := t.nodes[s]
	return p, ok
}

// Build returns the tree of a table. Nodes that old also has are taken from it; old may be nil.
func Build(table *routing.Table, old *Tree) *Tree {
	b := &builder{tree: &Tree{nodes: make(map[Sum]Packed)}, old: old, packer: newPacker()}
	leaves := b.leaves(table)
	for len(leaves) > 1 {
		leaves = b.parents(leaves)
	}
	b.tree.root = leaves[0].Sum
	return b.tree
}

type builder struct {
	tree   *Tree
	old    *Tree
	packer *packer
}

// add adds a node to the tree.
func (b *builder) add(n *node) Child {
	plain := encode(n)
	sum := sumOf(plain)
	packed, ok := b.tree.nodes[sum]
	if !ok && b.old != nil {
		packed = b.old.nodes[sum]
	}
	if packed == nil {
		packed = b.packer.pack(plain)
	}
	if !ok {
		b.tree.nodes[sum] = packed
		b.tree.bytes += len(packed)
	}
	return Child{Sum: sum, Bytes: len(packed)}
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return data
}

// leaves returns the leaves of the table.
func (b *builder) leaves(t *routing.Table) []Child {
	leaves := []Child{b.add(&node{Limits: &t.Limits})}
	for _, run := range splitRuns(t.Services) {
		leaves = append(leaves, b.add(&node{Services: run}))
	}
	teams, keys := splitTeams(t.Teams)
	for _, run := range splitRuns(teams) {
		leaves = append(leaves, b.add(&node{Teams: run}))
	}
	for _, run := range splitRuns(keys) {
		leaves = append(leaves, b.add(&node{Keys: run}))
	}
	for _, run := range splitRuns(t.Routes) {
		leaves = append(leaves, b.add(&node{Routes: encodeRoutes(run)}))
	}
	return leaves
}

// splitTeams returns the teams without their keys, and all keys in order.
func splitTeams(teams []routing.Team) ([]routing.Team, []key) {
	bare := make([]routing.Team, len(teams))
	var keys []key
	for i, team := range teams {
		for _, k := range team.Keys {
			keys = append(keys, key{Team: team.Name, Key: k})
		}
		bare[i] = team
		bare[i].Keys = nil
	}
	return bare, keys
}

// splitRuns cuts a list after each item whose own hash marks the end of a run, so that a change
// moves no run boundaries but those next to it.
func splitRuns[T any](list []T) [][]T {
	var all [][]T
	begin, length := 0, 0
	for i := range list {
		plain := encode(&list[i])
		length += len(plain)
		if endsRun(plain) || i-begin+1 >= maxRunItems || length >= maxRunBytes {
			all = append(all, list[begin:i+1])
			begin, length = i+1, 0
		}
	}
	if begin < len(list) {
		all = append(all, list[begin:])
	}
	return all
}

func endsRun(item []byte) bool {
	h := fnv.New32a()
	_, _ = h.Write(item) // never fails
	return h.Sum32()%meanRunItems == 0
}

// parents groups nodes under parent nodes.
func (b *builder) parents(below []Child) []Child {
	var above []Child
	begin := 0
	for i, c := range below {
		last := i == len(below)-1
		if last || i-begin+1 >= maxFanout || (i > begin && c.Sum[0]%meanFanout == 0) {
			above = append(above, b.add(&node{Children: below[begin : i+1]}))
			begin = i + 1
		}
	}
	return above
}
