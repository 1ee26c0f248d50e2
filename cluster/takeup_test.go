// SPDX-License-Identifier: MIT

package cluster

import (
	"encoding/json"
	"testing"

	"lynxramp.org/consensus"
	"lynxramp.org/event"
	"lynxramp.org/hashtree"
	"lynxramp.org/routing"
)

// TestEntriesServeDuringFrequentChanges submits changes of a large configuration, each as soon as the last
// one is acknowledged, for longer than entries serve with a configuration that is not confirmed as the
// newest. An owner confirms only the newest committed version, so entries would reject all requests if each
// version were replaced before it is decoded, sent and in force.
func TestEntriesServeDuringFrequentChanges(t *testing.T) {
	g := newGrowthSim(t, 3)
	g.change(func(*routing.Table) { g.addRoutes(14000) })
	g.mustBeInForce(configApplyBound)
	g.runFleet(event.Second)
	g.cpuTimeScale = 1
	changes, withoutConfig := 0, 0
	for end := g.now.Add(15 * event.Second); g.now < end; changes++ {
		g.change(func(table *routing.Table) { table.Routes[changes*997%len(table.Routes)].Rank-- })
		for _, e := range g.entries {
			if e.client == nil || e.client.Table(e.now(g.now)) == nil {
				withoutConfig++
			}
		}
	}
	t.Logf("%d changes in 15 s", changes)
	if withoutConfig > 0 {
		t.Errorf("entries had no valid configuration at %d of %d checks during the changes", withoutConfig, 3*changes)
	}
}

// TestNewOwnerUsesNewestConfiguration: a box with version 1 in its snapshot and version 2 in its log is
// elected when only version 1 is decoded. It must not own the pools with version 1, which has other quotas
// than the entries use.
func TestNewOwnerUsesNewestConfiguration(t *testing.T) {
	document := func(version uint64, teams ...routing.Team) Document {
		data, err := json.Marshal(routing.Table{Version: version, Services: []routing.Service{{Name: "s"}}, Teams: teams})
		if err != nil {
			t.Fatal(err)
		}
		d := Document{Version: version, Data: data}
		d.pack()
		return d
	}
	old := document(1, routing.Team{Name: "t", Rate: 1000, Burst: 1000})
	newest := document(2, routing.Team{Name: "t", Rate: 500, Burst: 500}, routing.Team{Name: "u", Rate: 10, Burst: 10})
	id := consensus.MakeID("box1", initialIncarnation)
	members := consensus.Membership{Voters: []consensus.Member{{ID: id, Address: "box1:operators"}}}
	m := stateMachine{document: old}
	r := consensus.PersistentState{
		HardState: consensus.HardState{Term: 1},
		Snapshot:  consensus.Snapshot{Index: 5, Term: 1, Members: members, Data: m.snapshot()},
		Entries:   []consensus.Entry{{Index: 6, Term: 1, Kind: consensus.EntryCommand, Data: newest.packed.encodePart(0)}},
	}
	settings := simSettings(1)
	settings.Decode = decodeTable
	s, err := NewState(0, id, r, settings)
	if err != nil {
		t.Fatal(err)
	}
	decoded := false
	for now := event.Time(0); now < event.Time(2*event.Second) && s.owner == nil; now = now.Add(50 * event.Millisecond) {
		var out Effects
		s.Step(now, &Tick{}, &out)
		if out.Decode.Version == 1 && !decoded {
			decoded = true // version 2 is still being decoded when the box is elected
			table, err := settings.Decode(out.Decode.Data)
			if err != nil {
				t.Fatal(err)
			}
			s.Step(now, &DocumentDecoded{Version: 1, Table: table, Tree: hashtree.Build(table, nil)}, &Effects{})
		}
		for _, e := range out.Ready.Entries {
			s.Step(now, &LogSaved{Index: e.Index, Term: e.Term}, &Effects{})
		}
	}
	if s.machine.document.Version != 2 {
		t.Fatalf("version %d is committed, want 2", s.machine.document.Version)
	}
	if s.owner != nil && s.config.version < 2 {
		t.Errorf("owns the pools by version %d while version %d is committed", s.config.version, s.machine.document.Version)
	}
}
