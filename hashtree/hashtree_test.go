// SPDX-License-Identifier: MIT

package hashtree

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"lynxramp.org/routing"
)

// tableOf returns a table of distinct routes, teams and keys.
func tableOf(seed uint64, routes, teams, keys int) *routing.Table {
	r := rand.New(rand.NewPCG(seed, 1))
	t := &routing.Table{
		Version: 1, Services: []routing.Service{{Name: "s", Stride: 7}, {Name: "plain"}},
		Limits: routing.Limits{BodyBytes: 4 << 20, IdleTimeout: 15 * time.Second},
	}
	addRoutes(t, r, routes)
	rank := -1
	for i := range teams {
		team := routing.Team{Name: fmt.Sprintf("t%x-%d", r.Uint32(), i), Rate: 1000.5, Burst: 2000, InTokens: true, PlainTokens: 200}
		for range keys {
			team.Keys = append(team.Keys, fmt.Sprintf("%020x", r.Uint64()))
		}
		if i%3 == 0 {
			team.Rank = &rank
		}
		t.Teams = append(t.Teams, team)
	}
	t.Index()
	return t
}

func addRoutes(t *routing.Table, r *rand.Rand, n int) {
	for range n {
		t.Routes = append(t.Routes, routing.Route{
			Name: fmt.Sprintf("r-%07x", r.Uint32()), Host: fmt.Sprintf("%x%d.example", r.Uint32()>>12, r.IntN(97)),
			Prefix: fmt.Sprintf("/%x-%d/", r.Uint32(), len(t.Routes)), Kind: routing.KindStream, Timeout: 12 * time.Second,
			Target: time.Second, Gap: 600 * time.Millisecond, Rank: -r.IntN(3), MaxAttempts: 2, Resumable: r.IntN(2) == 0,
			Split: []routing.WeightedService{{Service: "s", Weight: 90}, {Service: "plain", Weight: 10}},
		})
	}
}

// fetchAll fetches a tree with at most window bytes in flight, and returns how much was received.
func fetchAll(t testing.TB, f *Fetcher, tree *Tree, version uint64, window int) (nodes, bytes int) {
	t.Helper()
	f.SetTarget(version, tree.Root())
	for f.IsIncomplete() {
		next := f.Next(window)
		if len(next) == 0 {
			t.Fatal("nothing is requested while nodes are missing")
		}
		for _, sum := range next {
			packed, ok := tree.Node(sum)
			if !ok {
				t.Fatalf("node %x is not in the tree", sum)
			}
			if err := f.Receive(sum, packed); err != nil {
				t.Fatal(err)
			}
		}
	}
	return f.Received()
}

var ignoreIndex = cmpopts.IgnoreUnexported(routing.Table{})

func TestTableRoundTrip(t *testing.T) {
	for _, size := range [][3]int{{0, 0, 0}, {1, 1, 1}, {20, 5, 2}, {4200, 16, 3}, {300, 2000, 1}, {3, 2, 5000}} {
		table := tableOf(7, size[0], size[1], size[2])
		var f Fetcher
		fetchAll(t, &f, Build(table, nil), 1, 32<<10)
		got := f.Table()
		if got == nil {
			t.Fatalf("%v: no table", size)
		}
		if diff := cmp.Diff(table, got, ignoreIndex, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("table of %v routes, teams and keys differs (-want +got):\n%s", size, diff)
		}
		for _, r := range table.Routes {
			if found := got.Match(r.Host, r.Prefix+"x"); found == nil || found.Name != r.Name {
				t.Fatalf("%v: route %s is not found", size, r.Name)
			}
		}
		for _, team := range table.Teams {
			for _, k := range team.Keys {
				if found := got.TeamByKey(k); found == nil || found.Name != team.Name {
					t.Fatalf("%v: a key of %s is not found", size, team.Name)
				}
			}
		}
	}
}

// What an entry fetches must depend on the size of the change, not of the configuration.
func TestFetchedBytesScaleWithChange(t *testing.T) {
	table := tableOf(3, 14000, 16, 2)
	first := Build(table, nil)
	var f Fetcher
	nodes, all := fetchAll(t, &f, first, 1, 32<<10)
	if f.Table() == nil {
		t.Fatal("no table")
	}
	t.Logf("14,000 routes: %d nodes, %d bytes", nodes, all)
	same := *table
	if n, _ := fetchAll(t, &f, Build(&same, first), 2, 32<<10); n != 0 || f.Table().Version != 2 {
		t.Errorf("another version of the same content fetched %d nodes", n)
	}
	changed := *table
	changed.Routes = append([]routing.Route(nil), table.Routes...)
	changed.Routes[9000].Timeout = time.Second
	second := Build(&changed, first)
	if n, bytes := fetchAll(t, &f, second, 3, 32<<10); n > 8 || bytes > 32<<10 {
		t.Errorf("one route changed: fetched %d nodes with %d bytes, want at most 8 with 32 KiB", n, bytes)
	}
	if got := f.Table().Routes[9000].Timeout; got != time.Second {
		t.Errorf("the changed route has timeout %v, want 1 s", got)
	}
	if len(f.held) != second.Len() {
		t.Errorf("%d nodes are held, the tree has %d", len(f.held), second.Len())
	}
	more := changed
	more.Routes = append([]routing.Route(nil), changed.Routes...)
	addRoutes(&more, rand.New(rand.NewPCG(9, 9)), 1400)
	if _, bytes := fetchAll(t, &f, Build(&more, second), 4, 32<<10); bytes > all/7 {
		t.Errorf("a tenth more routes: fetched %d bytes, want at most a seventh of %d", bytes, all)
	}
}

// If only teams change, both tables share the memory of the routes, and each looks up its own
// teams.
func TestUnchangedRoutesAreShared(t *testing.T) {
	table := tableOf(3, 500, 4, 2)
	first := Build(table, nil)
	var f Fetcher
	fetchAll(t, &f, first, 1, 32<<10)
	before := f.Table()
	changed := *table
	changed.Teams = append([]routing.Team(nil), table.Teams...)
	removed := changed.Teams[1].Keys[0]
	changed.Teams[1].Keys = changed.Teams[1].Keys[1:]
	fetchAll(t, &f, Build(&changed, first), 2, 32<<10)
	after := f.Table()
	if &before.Routes[0] != &after.Routes[0] {
		t.Error("the routes were copied")
	}
	r := &table.Routes[77]
	if got := after.Match(r.Host, r.Prefix); got == nil || got.Name != r.Name {
		t.Errorf("route %s is not found", r.Name)
	}
	if before.TeamByKey(removed) == nil || after.TeamByKey(removed) != nil {
		t.Error("a removed key is still found, or was missing before")
	}
	changed.Routes = append([]routing.Route(nil), table.Routes...)
	changed.Routes[77].Prefix = "/moved/"
	fetchAll(t, &f, Build(&changed, first), 3, 32<<10)
	if got := f.Table().Match(r.Host, "/moved/x"); got == nil || got.Name != r.Name {
		t.Error("a route with a new prefix is not found")
	}
	if after.Match(r.Host, "/moved/x") != nil {
		t.Error("the earlier table changed")
	}
}

// Reconnects and newer versions must not lose received nodes.
func TestNoNodeIsFetchedTwice(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 5))
	for range 30 {
		table := tableOf(r.Uint64(), 2000, 5, 2)
		tree := Build(table, nil)
		var f Fetcher
		f.SetTarget(1, tree.Root())
		received := make(map[Sum]bool)
		version := uint64(1)
		for f.IsIncomplete() {
			switch r.IntN(20) {
			case 0:
				f.ConnectionLost()
			case 1:
				if version < 8 {
					version++
					addRoutes(table, r, 50)
					tree = Build(table, tree)
					f.SetTarget(version, tree.Root())
				}
			}
			const window = 8 << 10
			for _, sum := range f.Next(window) {
				packed, ok := tree.Node(sum)
				if !ok || r.IntN(10) == 0 {
					continue // lost
				}
				if received[sum] {
					t.Fatal("a node was requested again after it was received")
				}
				received[sum] = true
				if err := f.Receive(sum, packed); err != nil {
					t.Fatal(err)
				}
			}
			if len(f.missing) == 0 && len(f.requested) > 0 {
				f.ConnectionLost() // nothing is in flight any more
			}
		}
		if got := f.Table(); got.Version != version || len(got.Routes) != len(table.Routes) {
			t.Errorf("version %d with %d routes, want %d with %d", got.Version, len(got.Routes), version, len(table.Routes))
		}
	}
}

// At most the window is in flight, except for a single node.
func TestWindowBoundsBytesInFlight(t *testing.T) {
	tree := Build(tableOf(3, 5000, 16, 2), nil)
	var f Fetcher
	f.SetTarget(1, tree.Root())
	for f.IsIncomplete() {
		next := f.Next(16 << 10)
		if f.InFlightBytes() > 16<<10 && len(next) > 1 {
			t.Fatalf("%d bytes are in flight, more than the window", f.InFlightBytes())
		}
		for _, sum := range next {
			packed, _ := tree.Node(sum)
			if err := f.Receive(sum, packed); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// Strings that contain the separator or need escapes, and empty ones, must be restored unchanged.
func TestUnusualStringsRoundTrip(t *testing.T) {
	unusual := [][3]string{{"", "", "/"}, {"a b", "h", "/x/"}, {"n", "h h", "/y/"}, {"n", "h", "/with blank/"}, {"ü\n", "\x00", "/\"'<>/"}}
	for n := range len(unusual) + 1 {
		table := tableOf(3, 200, 2, 1)
		for i, text := range unusual[:n] {
			r := &table.Routes[i*37]
			r.Name, r.Host, r.Prefix = text[0], text[1], text[2]
		}
		var f Fetcher
		fetchAll(t, &f, Build(table, nil), 1, 32<<10)
		if diff := cmp.Diff(table, f.Table(), ignoreIndex, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("table with %d unusual routes differs (-want +got):\n%s", n, diff)
		}
	}
}

func TestDamagedNodeIsRejected(t *testing.T) {
	tree := Build(tableOf(3, 500, 16, 2), nil)
	var f Fetcher
	f.SetTarget(1, tree.Root())
	sum := f.Next(1 << 10)[0]
	packed, _ := tree.Node(sum)
	for _, bad := range []Packed{nil, {1, 2, 3}, packed[:len(packed)/2], newPacker().pack([]byte(`{"c":[]}`))} {
		if err := f.Receive(sum, bad); !errors.Is(err, ErrDamaged) {
			t.Errorf("damaged node of %d bytes: error %v, want ErrDamaged", len(bad), err)
		}
	}
	if err := f.Receive(sum, packed); err != nil {
		t.Error(err)
	}
	if err := f.Receive(Sum{1}, packed); err != nil || len(f.held) != 1 {
		t.Errorf("a node that was not requested: error %v, %d nodes held, want none and 1", err, len(f.held))
	}
}

// TestWorkOfLargestChangeIsBounded guards against work of an entry for a large change that grows faster than its routes. Unlike
// processor time, allocations don't depend on the computer.
func TestWorkOfLargestChangeIsBounded(t *testing.T) {
	const (
		routes       = 14_000
		allocsARoute = 1
		bytesARoute  = 1024 // with those that are kept
	)
	tree := Build(tableOf(3, routes, 16, 2), nil)
	var before, after runtime.MemStats
	var f Fetcher
	runtime.ReadMemStats(&before)
	if nodes, _ := fetchAll(t, &f, tree, 1, 32<<10); nodes != tree.Len() {
		t.Errorf("%d nodes were received, the tree has %d", nodes, tree.Len())
	}
	if got := len(f.Table().Routes); got != routes {
		t.Fatalf("%d routes, want %d", got, routes)
	}
	runtime.ReadMemStats(&after)
	if n := after.Mallocs - before.Mallocs; n > allocsARoute*routes {
		t.Errorf("%d allocations for %d routes", n, routes)
	}
	if n := after.TotalAlloc - before.TotalAlloc; n > bytesARoute*routes {
		t.Errorf("%d bytes were allocated for %d routes", n, routes)
	}
}

// BenchmarkTree measures the cost of 14,000 routes for the owner and an entry.
func BenchmarkTree(b *testing.B) {
	table := tableOf(3, 14000, 16, 2)
	tree := Build(table, nil)
	b.Run("build", func(b *testing.B) {
		for range b.N {
			Build(table, nil)
		}
		b.ReportMetric(float64(tree.Bytes()), "bytes")
		b.ReportMetric(float64(tree.Len()), "nodes")
	})
	b.Run("rebuild", func(b *testing.B) {
		for range b.N {
			Build(table, tree)
		}
	})
	b.Run("fetch", func(b *testing.B) {
		for range b.N {
			var f Fetcher
			fetchAll(b, &f, tree, 1, 32<<10)
		}
	})
	b.Run("table", func(b *testing.B) {
		var f Fetcher
		fetchAll(b, &f, tree, 1, 32<<10)
		for range b.N {
			f.lastTable = nil
			f.Table()
		}
	})
	b.Run("same routes", func(b *testing.B) {
		var f Fetcher
		fetchAll(b, &f, tree, 1, 32<<10)
		for range b.N {
			f.Table()
		}
	})
}
