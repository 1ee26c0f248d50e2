// SPDX-License-Identifier: MIT

package hashtree

import (
	"encoding/json"
	"hash/fnv"

	"lynxramp.org/routing"
)

// Lengths of runs. A leaf of 64 routes takes 3 kB on a link, 2 ms on one of 10 Mbit/s, and 2 ms to
// read on 0.144 of a core; a tree of 14,000 routes has 220 of them.
const (
	// runItems is the mean number of items of a run, runMost the most.
	runItems = 64
	runMost  = 4 * runItems
	// runBytes ends a run whose items are long.
	runBytes = 32 << 10
	// fanOut is the mean number of nodes under one, fanMost the most.
	fanOut  = 32
	fanMost = 4 * fanOut
)

// Tree is a configuration as nodes. It is never changed once it is built.
type Tree struct {
	root  Sum
	nodes map[Sum]Packed
	bytes int
}

// Root names the whole configuration but its version.
func (t *Tree) Root() Sum { return t.root }

// Len returns the number of nodes.
func (t *Tree) Len() int { return len(t.nodes) }

// Bytes returns the length of all nodes on a link.
func (t *Tree) Bytes() int { return t.bytes }

// Node returns a node; false if it is not of this tree.
func (t *Tree) Node(s Sum) (Packed, bool) {
	p, ok := t.nodes[s]
	return p, ok
}

// Build makes the tree of a table. Nodes that an older tree has are taken from it; old may be nil.
func Build(table *routing.Table, old *Tree) *Tree {
	b := &builder{tree: &Tree{nodes: make(map[Sum]Packed)}, old: old, packer: newPacker()}
	leaves := b.leaves(table)
	for len(leaves) > 1 {
		leaves = b.level(leaves)
	}
	b.tree.root = leaves[0].Sum
	return b.tree
}

type builder struct {
	tree   *Tree
	old    *Tree
	packer *packer
}

// add puts a node into the tree.
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
		panic(err) // texts and numbers always encode
	}
	return data
}

// leaves cuts the table into runs.
func (b *builder) leaves(t *routing.Table) []Child {
	leaves := []Child{b.add(&node{Limits: &t.Limits})}
	for _, run := range runs(t.Services) {
		leaves = append(leaves, b.add(&node{Services: run}))
	}
	teams, keys := splitTeams(t.Teams)
	for _, run := range runs(teams) {
		leaves = append(leaves, b.add(&node{Teams: run}))
	}
	for _, run := range runs(keys) {
		leaves = append(leaves, b.add(&node{Keys: run}))
	}
	for _, run := range runs(t.Routes) {
		leaves = append(leaves, b.add(&node{Routes: shapeRoutes(run)}))
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

// runs cuts a list behind each item that its own content marks as the last of a run, so that a
// change moves no other end than those next to it.
func runs[T any](list []T) [][]T {
	var all [][]T
	begin, length := 0, 0
	for i := range list {
		plain := encode(&list[i])
		length += len(plain)
		if ends(plain) || i-begin+1 >= runMost || length >= runBytes {
			all = append(all, list[begin:i+1])
			begin, length = i+1, 0
		}
	}
	if begin < len(list) {
		all = append(all, list[begin:])
	}
	return all
}

func ends(item []byte) bool {
	h := fnv.New32a()
	_, _ = h.Write(item) // it takes all
	return h.Sum32()%runItems == 0
}

// level puts nodes above others.
func (b *builder) level(below []Child) []Child {
	var above []Child
	begin := 0
	for i, c := range below {
		last := i == len(below)-1
		if last || i-begin+1 >= fanMost || (i > begin && c.Sum[0]%fanOut == 0) {
			above = append(above, b.add(&node{Children: below[begin : i+1]}))
			begin = i + 1
		}
	}
	return above
}
