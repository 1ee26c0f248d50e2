// SPDX-License-Identifier: MIT

package hashtree

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"lynxramp.org/routing"
)

// Bounds of what is held of versions that did not become whole.
const (
	// heldTimes is how many times the length of the longest tree that was known since the last whole
	// one may be held, and heldLeast what may be held at any rate, in bytes on a link. What is
	// beyond is dropped down to keptTimes.
	heldTimes = 2
	keptTimes = 1.5
	heldLeast = 64 << 10
)

// Fetch gathers the nodes of a configuration. The zero value holds none and is ready. It is not safe
// for concurrent use.
type Fetch struct {
	version uint64
	root    Sum
	held    map[Sum]*holding
	// heldBytes is the length of what is held beside the last whole version, treeBytes that of the
	// present tree as far as it is known, peakBytes the most that it was since the last whole
	// version, and turn counts the versions.
	heldBytes, treeBytes, peakBytes int
	turn                            int
	// missing are to be asked for, the last one first; asked were asked for on the present
	// connection, with their lengths, of whatever version.
	missing []Child
	needed  map[Sum]bool // of the present tree, in missing or in asked
	asked   map[Sum]int
	waiting int // bytes that were asked for and have not come

	nodes, bytes int // that came for the present version
	// last is the last whole table, runs are those of its routes, and holders the nodes of its
	// teams and keys.
	last     *routing.Table
	runs     []*routes
	holders  []*node
	unpacker unpacker
}

// holding is a node that came.
type holding struct {
	*node
	bytes int
	whole bool // it is of the last whole version
	// turn is that of the last version that was known to need it.
	turn int
}

// Aim sets the version that is to be gathered and the root of its tree, which is not zero. What was
// asked for stays on its way, and counts as such.
func (f *Fetch) Aim(version uint64, root Sum) {
	if root == (Sum{}) || (version == f.version && root == f.root) {
		return
	}
	f.version, f.root = version, root
	f.nodes, f.bytes = 0, 0
	f.turn++
	f.begin()
}

// begin looks what is missing of the tree.
func (f *Fetch) begin() {
	if f.held == nil {
		f.held = make(map[Sum]*holding)
		f.asked = make(map[Sum]int)
	}
	f.missing = nil
	f.needed = make(map[Sum]bool)
	f.treeBytes = 0
	f.look(Child{Sum: f.root})
}

// look takes note of what is missing of a node and of those below it.
func (f *Fetch) look(c Child) {
	f.treeBytes += c.Bytes
	f.peakBytes = max(f.peakBytes, f.treeBytes)
	if h, ok := f.held[c.Sum]; ok {
		h.turn = f.turn
		// The last one is asked for first: those at the front are to come first.
		for i := len(h.Children) - 1; i >= 0; i-- {
			f.look(h.Children[i])
		}
		return
	}
	if f.needed[c.Sum] {
		return
	}
	f.needed[c.Sum] = true
	if _, ok := f.asked[c.Sum]; !ok {
		f.missing = append(f.missing, c)
	}
}

// dropUnneeded drops nodes that no late version was known to need, once much is held: large changes
// that follow each other faster than they come would else fill an entry's memory. Of the last whole
// version all stay.
func (f *Fetch) dropUnneeded() {
	peak := max(heldLeast, f.peakBytes)
	if f.heldBytes <= heldTimes*peak {
		return
	}
	sums := slices.SortedFunc(maps.Keys(f.held), func(v, w Sum) int {
		return cmp.Or(cmp.Compare(f.held[v].turn, f.held[w].turn), bytes.Compare(v[:], w[:]))
	})
	for _, sum := range sums {
		h := f.held[sum]
		if float64(f.heldBytes) <= keptTimes*float64(peak) || h.turn >= f.turn {
			return
		}
		if !h.whole {
			f.heldBytes -= h.bytes
			delete(f.held, sum)
		}
	}
}

// Restart takes note that nothing that was asked for will come any more: its connection has ended.
// What came is kept.
func (f *Fetch) Restart() {
	clear(f.asked)
	f.waiting = 0
	if f.Busy() {
		f.begin()
	}
}

// Busy reports whether nodes of the present version are missing.
func (f *Fetch) Busy() bool { return len(f.needed) > 0 }

// Version returns the version that is gathered.
func (f *Fetch) Version() uint64 { return f.version }

// Lost takes note that the owner does not have a node that it was asked for. It reports whether the
// present version needs it.
func (f *Fetch) Lost(sum Sum) bool {
	f.waiting -= f.asked[sum]
	delete(f.asked, sum)
	return f.needed[sum]
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
	f.waiting -= length
	f.nodes++
	f.bytes += len(packed)
	f.held[sum] = &holding{node: n, bytes: len(packed), turn: f.turn - 1}
	f.heldBytes += len(packed)
	if f.needed[sum] {
		delete(f.needed, sum)
		f.look(Child{Sum: sum})
	}
	f.dropUnneeded()
	return nil
}

// Table returns the configuration once all of it is here; nil before. Nodes of other versions are
// dropped then.
func (f *Fetch) Table() *routing.Table {
	if f.held == nil || f.Busy() {
		return nil
	}
	a := &assembly{held: f.held, kept: make(map[Sum]*holding, len(f.held)), table: &routing.Table{Version: f.version}}
	a.add(f.root)
	if f.last != nil && slices.Equal(a.holders, f.holders) {
		a.table.Teams = f.last.Teams
	} else {
		a.giveKeys()
	}
	if f.last != nil && slices.Equal(a.runs, f.runs) {
		a.table.Routes = f.last.Routes
	} else {
		a.joinRoutes()
	}
	a.table.IndexLike(f.last)
	f.held, f.runs, f.holders, f.last = a.kept, a.runs, a.holders, a.table
	f.heldBytes, f.peakBytes = 0, f.treeBytes
	return a.table
}

// assembly makes a table of nodes.
type assembly struct {
	held, kept map[Sum]*holding
	table      *routing.Table
	runs       []*routes
	holders    []*node // with teams or keys
}

// add adds what is under a node to the table, but for routes, teams and keys, which it gathers.
func (a *assembly) add(sum Sum) {
	n := a.held[sum]
	n.whole = true
	a.kept[sum] = n
	for _, c := range n.Children {
		a.add(c.Sum)
	}
	if n.Routes != nil {
		a.runs = append(a.runs, n.Routes)
	}
	a.table.Services = append(a.table.Services, n.Services...)
	if len(n.Teams)+len(n.Keys) > 0 {
		a.holders = append(a.holders, n.node)
	}
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

// giveKeys joins the teams, and gives them their keys.
func (a *assembly) giveKeys() {
	for _, n := range a.holders {
		a.table.Teams = append(a.table.Teams, n.Teams...)
	}
	byName := make(map[string]*routing.Team, len(a.table.Teams))
	for i := range a.table.Teams {
		byName[a.table.Teams[i].Name] = &a.table.Teams[i]
	}
	for _, n := range a.holders {
		for _, k := range n.Keys {
			if team := byName[k.Team]; team != nil {
				team.Keys = append(team.Keys, k.Key)
			}
		}
	}
}
