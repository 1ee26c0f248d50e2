// SPDX-License-Identifier: MIT

package cluster

import (
	"encoding/gob"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"lynxramp.org/event"
	"lynxramp.org/internal/cputime"
	"lynxramp.org/message"
	"lynxramp.org/routing"
)

// The boxes of this file are as small as those that are served: entries of 0.144 of a core
// behind 10 Mbit/s.
const (
	smallCPUShare = 0.144
	smallLinkRate = 10e6 / 8
	// growthBound is how long after its acknowledgement a configuration must be in force at all
	// entries.
	configApplyBound = 2500 * event.Millisecond
	// growthRecovery is how long after a start of all processes all must serve again.
	recoveryBound = 15 * event.Second
)

// wireSize tells how many bytes messages take on one connection.
type wireSize struct {
	encoder *gob.Encoder
	bytes   int
}

func newWireSize() *wireSize {
	w := &wireSize{}
	w.encoder = gob.NewEncoder(w)
	return w
}

// Write counts.
func (w *wireSize) Write(p []byte) (int, error) {
	w.bytes += len(p)
	return len(p), nil
}

// of returns the bytes of a message.
func (w *wireSize) of(m *message.Envelope) int {
	before := w.bytes
	if err := w.encoder.Encode(m); err != nil {
		panic(err)
	}
	return w.bytes - before
}

// arrivalTime returns when a message that is sent now has come to an entry over its own link.
func (e *fleetEntry) arrivalTime(now event.Time, l *fleetLink, m *message.Envelope) event.Time {
	if e.linkRate == 0 {
		return now
	}
	took := event.Duration(float64(l.size.of(m)) / e.linkRate * float64(event.Second))
	e.linkFreeAt = max(e.linkFreeAt, now).Add(took)
	return e.linkFreeAt
}

// runCharged lets an entry do something, and counts the processor time that it took as long as it
// takes on the entry's part of a core.
func (e *fleetEntry) runCharged(now event.Time, do func()) {
	if e.cpuShare == 0 {
		do()
		return
	}
	e.busyUntil = max(e.busyUntil, now).Add(event.Duration(float64(cputime.Of(do)) / e.cpuShare))
}

// growthSim is a deployment of small boxes whose configuration grows.
type growthSim struct {
	*fleetSim
	table          routing.Table
	acknowledgedAt event.Time // when the newest configuration was acknowledged
}

func newGrowthSim(t testing.TB, entries int) *growthSim {
	g := &growthSim{fleetSim: newFleetSimOf(t, entries, 1, decodeTable)}
	for _, e := range g.entries {
		e.linkRate, e.cpuShare = smallLinkRate, smallCPUShare
	}
	g.table = routing.Table{
		Version: 1, Services: []routing.Service{{Name: "s"}}, Teams: []routing.Team{fleetTeam},
	}
	g.addRoutes(20)
	g.change(func(*routing.Table) {})
	g.mustBeInForce(configApplyBound)
	return g
}

// decodeTable reads the configurations of this file: a table as JSON.
func decodeTable(data []byte) (*routing.Table, error) {
	t := &routing.Table{}
	if err := json.Unmarshal(data, t); err != nil {
		return decodeFleet(data) // the first one of the simulation
	}
	if found := routing.Check(t); len(found) > 0 {
		return nil, found
	}
	t.Index()
	return t, nil
}

// addRoutes adds routes with hosts and prefixes as unlike as those of users.
func (g *growthSim) addRoutes(n int) {
	for range n {
		number := len(g.table.Routes)
		g.table.Routes = append(g.table.Routes, routing.Route{
			Name: fmt.Sprintf("r-%07x", g.random.Uint32()), Host: fmt.Sprintf("%05x%d.example", g.random.IntN(1<<20), number%97),
			Prefix: fmt.Sprintf("/%x-%d/", g.random.Uint64()>>36, number), Kind: routing.KindStream,
			Timeout: 12 * time.Second, Target: time.Second, Gap: 600 * time.Millisecond, Rank: -(number % 3),
			Split: []routing.WeightedService{{Service: "s", Weight: 1}}, MaxAttempts: 2,
		})
	}
}

// change sends a changed configuration until it is acknowledged.
func (g *growthSim) change(do func(*routing.Table)) {
	g.t.Helper()
	g.table.Version++
	do(&g.table)
	data, err := json.Marshal(g.table)
	if err != nil {
		g.t.Fatal(err)
	}
	for end := g.now.Add(10 * event.Second); g.now < end; {
		owner := g.owner()
		if owner == nil {
			g.runFleet(simStep)
			continue
		}
		g.lastCall++
		callID := g.lastCall
		g.step(owner, &DocumentSubmitted{CallID: callID, Document: Document{Version: g.table.Version, Data: data}})
		for sent := g.now; g.now.Sub(sent) < event.Second && g.answers[callID].Status == 0; {
			g.runFleet(simStep)
		}
		if g.answers[callID].Status == StatusDone {
			g.acknowledgedAt = g.now
			return
		}
	}
	g.t.Fatalf("version %d was not acknowledged", g.table.Version)
}

// staleEntries returns how many entries don't serve by the newest configuration.
func (g *growthSim) staleEntries() int {
	n := 0
	for _, e := range g.entries {
		if e.client == nil {
			n++
			continue
		}
		if t := e.client.Table(e.now(g.now)); t == nil || t.Version < g.table.Version || len(t.Routes) != len(g.table.Routes) {
			n++
		}
	}
	return n
}

// mustBeInForce waits until the newest configuration is in force at all entries, for some time
// after its acknowledgement at the most.
func (g *growthSim) mustBeInForce(within event.Duration) {
	g.t.Helper()
	end := g.acknowledgedAt.Add(within)
	for g.now < end && g.staleEntries() > 0 {
		g.runFleet(simStep)
	}
	if n := g.staleEntries(); n > 0 {
		g.t.Errorf("version %d with %d routes: %d of %d entries don't serve by it %v after its acknowledgement",
			g.table.Version, len(g.table.Routes), n, len(g.entries), g.now.Sub(g.acknowledgedAt))
		return
	}
	g.t.Logf("version %d with %d routes in force everywhere %v after its acknowledgement", g.table.Version, len(g.table.Routes), g.now.Sub(g.acknowledgedAt))
}

// restartAll starts all processes anew.
func (g *growthSim) restartAll() {
	for _, name := range g.order {
		g.killBox(name, event.Second)
	}
	for _, e := range g.entries {
		g.killEntry(e, event.Second)
	}
	g.runFleet(event.Second)
	g.acknowledgedAt = g.now
}

var _ io.Writer = (*wireSize)(nil)

// addTeams adds teams with as many keys each.
func (g *growthSim) addTeams(table *routing.Table, teams, keys int) {
	for range teams {
		team := routing.Team{Name: fmt.Sprintf("team%x", g.random.Uint64()>>20), Rate: 1000, Burst: 1000, InTokens: true, PlainTokens: 200}
		for range keys {
			team.Keys = append(team.Keys, fmt.Sprintf("%020x", g.random.Uint64()))
		}
		table.Teams = append(table.Teams, team)
	}
}
