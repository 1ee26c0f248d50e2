// SPDX-License-Identifier: MIT

package hashtree

import (
	"slices"

	"lynxramp.org/routing"
)

// Fetch gathers the nodes of a configuration. The zero value holds none and is ready. It is not safe
// for concurrent use.
type Fetch struct {
	version uint64
	root    Sum
	held    map[Sum]*node
	// missing are to be asked for, the last one first; asked were asked for on the present
	// connection, with their lengths.
	missing []Child
	known   map[Sum]bool // in missing or in asked
	asked   map[Sum]int
	waiting int // bytes that were asked for and have not come

	nodes, bytes int // that came for the present version
	// last is the last whole table, and runs those of its routes.
	last     *routing.Table
	runs     []*routes
	unpacker unpacker
}

// Aim sets the version that is to be gathered and the root of its tree.
func (f *Fetch) Aim(version uint64, root Sum) {
	if version == f.version && root == f.root {
		return
	}
	f.version, f.root = version, root
	f.nodes, f.bytes = 0, 0
	f.begin()
}

// begin looks what is missing of the tree.
func (f *Fetch) begin() {
	if f.held == nil {
		f.held = make(map[Sum]*node)
	}
	f.missing = nil
	f.known = make(map[Sum]bool)
	f.asked = make(map[Sum]int)
	f.waiting = 0
	f.look(Child{Sum: f.root})
}

// look takes note of what is missing of a node and of those below it.
func (f *Fetch) look(c Child) {
	if n, ok := f.held[c.Sum]; ok {
		// The last one is asked for first: those at the front are to come first.
		for i := len(n.Children) - 1; i >= 0; i-- {
			f.look(n.Children[i])
		}
		return
	}
	if c.Sum != (Sum{}) && !f.known[c.Sum] {
		f.known[c.Sum] = true
		f.missing = append(f.missing, c)
	}
}

// Restart takes note that nothing that was asked for will come any more: its connection has ended.
// What came is kept.
func (f *Fetch) Restart() {
	if f.Busy() {
		f.begin()
	}
}

// Busy reports whether nodes are missing.
func (f *Fetch) Busy() bool { return len(f.missing)+len(f.asked) > 0 }

// Version returns the version that is gathered.
func (f *Fetch) Version() uint64 { return f.version }

// IsAsked reports whether a node was asked for and has not come.
func (f *Fetch) IsAsked(sum Sum) bool {
	_, ok := f.asked[sum]
	return ok
}

// Waiting returns how many bytes were asked for and have not come.
func (f *Fetch) Waiting() int { return f.waiting }

// Came returns how many nodes and bytes have come for the present version.
func (f *Fetch) Came() (nodes, bytes int) { return f.nodes, f.bytes }

// Next returns which nodes to ask for, so that no more than window bytes are on their way, and at
// least one node is while any is missing.
func (f *Fetch) Next(window int) []Sum {
	var next []Sum
	for len(f.missing) > 0 {
		c := f.missing[len(f.missing)-1]
		if len(f.asked) > 0 && f.waiting+c.Bytes > window {
			break
		}
		f.missing = f.missing[:len(f.missing)-1]
		f.asked[c.Sum] = c.Bytes
		f.waiting += c.Bytes
		next = append(next, c.Sum)
	}
	return next
}

// Take takes a node that came. One that was not asked for, or is not what its sum names, changes
// nothing.
func (f *Fetch) Take(sum Sum, packed Packed) error {
	length, ok := f.asked[sum]
	if !ok {
		return nil
	}
	n, err := f.unpacker.unpack(sum, packed)
	if err != nil {
		return err
	}
	delete(f.asked, sum)
	delete(f.known, sum)
	f.waiting -= length
	f.held[sum] = n
	f.nodes++
	f.bytes += len(packed)
	f.look(Child{Sum: sum})
	return nil
}

// Table returns the configuration once all of it is here; nil before. Nodes of other versions are
// dropped then.
func (f *Fetch) Table() *routing.Table {
	if f.held == nil || f.Busy() {
		return nil
	}
	a := &assembly{held: f.held, kept: make(map[Sum]*node, len(f.held)), table: &routing.Table{Version: f.version}}
	a.add(f.root)
	a.giveKeys()
	if f.last != nil && slices.Equal(a.runs, f.runs) {
		a.table.Routes = f.last.Routes
	} else {
		a.joinRoutes()
	}
	a.table.IndexLike(f.last)
	f.held, f.runs, f.last = a.kept, a.runs, a.table
	return a.table
}

// assembly makes a table of nodes.
type assembly struct {
	held, kept map[Sum]*node
	table      *routing.Table
	runs       []*routes
	keys       []key
}

// add adds what is under a node to the table, but for routes and keys, which it gathers.
func (a *assembly) add(sum Sum) {
	n := a.held[sum]
	a.kept[sum] = n
	for _, c := range n.Children {
		a.add(c.Sum)
	}
	if n.Routes != nil {
		a.runs = append(a.runs, n.Routes)
	}
	a.table.Services = append(a.table.Services, n.Services...)
	a.table.Teams = append(a.table.Teams, n.Teams...)
	a.keys = append(a.keys, n.Keys...)
	if n.Limits != nil {
		a.table.Limits = *n.Limits
	}
}

// joinRoutes copies the runs into one list. The runs are parts of that list from then on: they need
// no memory of their own.
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

// giveKeys gives the teams their keys.
func (a *assembly) giveKeys() {
	byName := make(map[string]*routing.Team, len(a.table.Teams))
	for i := range a.table.Teams {
		byName[a.table.Teams[i].Name] = &a.table.Teams[i]
	}
	for _, k := range a.keys {
		if team := byName[k.Team]; team != nil {
			team.Keys = append(team.Keys, k.Key)
		}
	}
}
