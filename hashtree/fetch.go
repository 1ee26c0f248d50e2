// SPDX-License-Identifier: MIT

package hashtree

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"lynxramp.org/routing"
)

// Limits of the nodes held of incomplete versions.
const (
	// Nodes of incomplete versions are evicted once they exceed maxHeldFactor times the largest
	// tree known since the last complete one, down to evictToFactor times that. minHeldBytes, in
	// encoded bytes, may be held in any case.
	maxHeldFactor = 2
	evictToFactor = 1.5
	minHeldBytes  = 64 << 10
)

// Fetcher collects the nodes of a configuration. The zero value is ready for use. It is not safe
// for concurrent use.
type Fetcher struct {
	version uint64
	root    Sum
	held    map[Sum]*heldNode
	// heldBytes is the length of the held nodes that the last complete version does not need;
	// treeBytes that of the current tree as far as known, and peakBytes its maximum since the last
	// complete version.
	// generation counts the versions.
	heldBytes, treeBytes, peakBytes int
	generation                      int
	// missing has the nodes to request, last first. requested has the lengths of those in flight on
	// the current connection, of any version.
	missing   []Child
	needed    map[Sum]bool // of the current tree, in missing or requested
	requested map[Sum]int
	inFlight  int // bytes requested and not received

	nodes, bytes int // for the current version
	// lastTable is the last complete table; runs and teamNodes are the nodes of its routes, and of
	// its teams and keys.
	lastTable *routing.Table
	runs      []*routes
	teamNodes []*node
	unpacker  unpacker
}

// heldNode is a received node.
type heldNode struct {
	*node
	bytes       int
	inLastTable bool // part of the last complete version
	// generation is that of the last version known to need the node.
	generation int
}

// SetTarget sets the version to fetch and the root of its tree, which must not be zero. Nodes in
// flight still count as requested.
func (f *Fetcher) SetTarget(version uint64, root Sum) {
	if root == (Sum{}) || (version == f.version && root == f.root) {
		return
	}
	f.version, f.root = version, root
	f.nodes, f.bytes = 0, 0
	f.generation++
	f.scanTree()
}

// scanTree determines the missing nodes of the current tree.
func (f *Fetcher) scanTree() {
	if f.held == nil {
		f.held = make(map[Sum]*heldNode)
		f.requested = make(map[Sum]int)
	}
	f.missing = nil
	f.needed = make(map[Sum]bool)
	f.treeBytes = 0
	f.scan(Child{Sum: f.root})
}

// scan adds the missing nodes at and below c.
func (f *Fetcher) scan(c Child) {
	f.treeBytes += c.Bytes
	f.peakBytes = max(f.peakBytes, f.treeBytes)
	if h, ok := f.held[c.Sum]; ok {
		h.generation = f.generation
		// missing is used from its end, so that the front of the tree comes first.
		for i := len(h.Children) - 1; i >= 0; i-- {
			f.scan(h.Children[i])
		}
		return
	}
	if f.needed[c.Sum] {
		return
	}
	f.needed[c.Sum] = true
	if _, ok := f.requested[c.Sum]; !ok {
		f.missing = append(f.missing, c)
	}
}

// evict drops the nodes of the oldest incomplete versions if too much is held; otherwise large
// changes that follow each other faster than they arrive would exhaust the entry's memory. Nodes of
// the last complete version stay.
func (f *Fetcher) evict() {
	peak := max(minHeldBytes, f.peakBytes)
	if f.heldBytes <= maxHeldFactor*peak {
		return
	}
	sums := slices.SortedFunc(maps.Keys(f.held), func(v, w Sum) int {
		return cmp.Or(cmp.Compare(f.held[v].generation, f.held[w].generation), bytes.Compare(v[:], w[:]))
	})
	for _, sum := range sums {
		h := f.held[sum]
		if float64(f.heldBytes) <= evictToFactor*float64(peak) || h.generation >= f.generation {
			return
		}
		if !h.inLastTable {
			f.heldBytes -= h.bytes
			delete(f.held, sum)
		}
	}
}

// ConnectionLost drops all requests in flight. Received nodes are kept.
func (f *Fetcher) ConnectionLost() {
	clear(f.requested)
	f.inFlight = 0
	if f.IsIncomplete() {
		f.scanTree()
	}
}

// IsIncomplete reports whether nodes of the current version are missing.
func (f *Fetcher) IsIncomplete() bool { return len(f.needed) > 0 }

// Version returns the version being fetched.
func (f *Fetcher) Version() uint64 { return f.version }

// NodeUnavailable records that the owner does not have a requested node. It reports whether the
// current version needs it.
func (f *Fetcher) NodeUnavailable(sum Sum) bool {
	f.inFlight -= f.requested[sum]
	delete(f.requested, sum)
	return f.needed[sum]
}

// InFlightBytes returns the number of bytes requested and not received.
func (f *Fetcher) InFlightBytes() int { return f.inFlight }

// Received returns the number of nodes and bytes received for the current version.
func (f *Fetcher) Received() (nodes, bytes int) { return f.nodes, f.bytes }

// Next returns the nodes to request so that at most window bytes are in flight, but at least one
// node if any is missing and none is in flight.
func (f *Fetcher) Next(window int) []Sum {
	var next []Sum
	for len(f.missing) > 0 {
		c := f.missing[len(f.missing)-1]
		if len(f.requested) > 0 && f.inFlight+c.Bytes > window {
			break
		}
		f.missing = f.missing[:len(f.missing)-1]
		f.requested[c.Sum] = c.Bytes
		f.inFlight += c.Bytes
		next = append(next, c.Sum)
	}
	return next
}

// Receive adds a received node. A node that was not requested is ignored; one that does not match
// its sum is an error and changes nothing.
func (f *Fetcher) Receive(sum Sum, packed Packed) error {
	length, ok := f.requested[sum]
	if !ok {
		return nil
	}
	n, err := f.unpacker.unpack(sum, packed)
	if err != nil {
		return err
	}
	delete(f.requested, sum)
	f.inFlight -= length
	f.nodes++
	f.bytes += len(packed)
	f.held[sum] = &heldNode{node: n, bytes: len(packed), generation: f.generation - 1}
	f.heldBytes += len(packed)
	if f.needed[sum] {
		delete(f.needed, sum)
		f.scan(Child{Sum: sum})
	}
	f.evict()
	return nil
}

// Table returns the configuration if it is complete, else nil. It drops the nodes of other
// versions.
func (f *Fetcher) Table() *routing.Table {
	if f.held == nil || f.IsIncomplete() {
		return nil
	}
	a := &assembly{held: f.held, used: make(map[Sum]*heldNode, len(f.held)), table: &routing.Table{Version: f.version}}
	a.add(f.root)
	if f.lastTable != nil && slices.Equal(a.teamNodes, f.teamNodes) {
		a.table.Teams = f.lastTable.Teams
	} else {
		a.joinTeams()
	}
	if f.lastTable != nil && slices.Equal(a.runs, f.runs) {
		a.table.Routes = f.lastTable.Routes
	} else {
		a.joinRoutes()
	}
	a.table.IndexReusing(f.lastTable)
	f.held, f.runs, f.teamNodes, f.lastTable = a.used, a.runs, a.teamNodes, a.table
	f.heldBytes, f.peakBytes = 0, f.treeBytes
	return a.table
}

// assembly builds a table from nodes.
type assembly struct {
	held, used map[Sum]*heldNode
	table      *routing.Table
	runs       []*routes
	teamNodes  []*node // nodes with teams or keys
}

// add collects the content of a node and its children. Routes, teams and keys are only gathered.
func (a *assembly) add(sum Sum) {
	n := a.held[sum]
	n.inLastTable = true
	a.used[sum] = n
	for _, c := range n.Children {
		a.add(c.Sum)
	}
	if n.Routes != nil {
		a.runs = append(a.runs, n.Routes)
	}
	a.table.Services = append(a.table.Services, n.Services...)
	if len(n.Teams)+len(n.Keys) > 0 {
		a.teamNodes = append(a.teamNodes, n.node)
	}
	if n.Limits != nil {
		a.table.Limits = *n.Limits
	}
}

// joinRoutes concatenates the runs. They become slices of the common list, to save memory.
func (a *assembly) joinRoutes() {
	count := 0
	for _, run := range a.runs {
		count += len(run.list)
	}
	a.table.Routes = make([]routing.Route, 0, count)
	for _, run := range a.runs {
		begin := len(a.table.Routes)
		a.table.Routes = append(a.table.Routes, run.list...)
		run.list = a.table.Routes[begin:]
	}
}

// joinTeams concatenates the teams and assigns their keys.
func (a *assembly) joinTeams() {
	for _, n := range a.teamNodes {
		a.table.Teams = append(a.table.Teams, n.Teams...)
	}
	byName := make(map[string]*routing.Team, len(a.table.Teams))
	for i := range a.table.Teams {
		byName[a.table.Teams[i].Name] = &a.table.Teams[i]
	}
	for _, n := range a.teamNodes {
		for _, k := range n.Keys {
			if team := byName[k.Team]; team != nil {
				team.Keys = append(team.Keys, k.Key)
			}
		}
	}
}
