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

// Simulated entries are as small as real ones: 0.144 of a core and a link of 10 Mbit/s.
const (
	smallCPUShare = 0.144
	smallLinkRate = 10e6 / 8
	// configApplyBound is the longest time from the acknowledgement of a configuration until it is in force
	// at all entries.
	configApplyBound = 2500 * event.Millisecond
	// recoveryBound is the longest time from a restart of all processes until all entries serve again.
	recoveryBound = 15 * event.Second
)

// wireSize measures the encoded size of messages on one connection.
type wireSize struct {
	encoder *gob.Encoder
	bytes   int
}

func newWireSize() *wireSize {
	w := &wireSize{}
	w.encoder = gob.NewEncoder(w)
	return w
}

// Write counts the encoded bytes.
func (w *wireSize) Write(p []byte) (int, error) {
	w.bytes += len(p)
	return len(p), nil
}

// of returns the encoded size of a message.
func (w *wireSize) of(m *message.Envelope) int {
	before := w.bytes
	if err := w.encoder.Encode(m); err != nil {
		panic(err)
	}
	return w.bytes - before
}

// arrivalTime returns when a message that is sent now arrives over the entry's link.
func (e *fleetEntry) arrivalTime(now event.Time, l *fleetLink, m *message.Envelope) event.Time {
	if e.linkRate == 0 {
		return now
	}
	took := event.Duration(float64(l.size.of(m)) / e.linkRate * float64(event.Second))
	e.linkFreeAt = max(e.linkFreeAt, now).Add(took)
	return e.linkFreeAt
}

// runCharged runs a function and keeps the entry busy for the CPU time of it, scaled to the entry's share
// of a core.
func (e *fleetEntry) runCharged(now event.Time, do func()) {
	if e.cpuShare == 0 {
		do()
		return
	}
	e.busyUntil = max(e.busyUntil, now).Add(event.Duration(float64(cputime.Of(do)) / e.cpuShare))
}

// growthSim is a deployment of small entries whose configuration grows.
type growthSim struct {
	*fleetSim
	table          routing.Table
	acknowledgedAt event.Time // when the newest configuration was acknowledged, or all processes were restarted
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

// decodeTable decodes a configuration of this file: a routing table as JSON.
func decodeTable(data []byte) (*routing.Table, error) {
	t := &routing.Table{}
	if err := json.Unmarshal(data, t); err != nil {
		return decodeFleet(data) // the first configuration of newFleetSimOf
	}
	if found := routing.Check(t); len(found) > 0 {
		return nil, found
	}
	t.Index()
	return t, nil
}

// addRoutes adds routes with varied hosts and prefixes, which compress as badly as real ones.
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

// change submits a changed configuration until it is acknowledged.
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

// staleEntries returns how many entries don't use the newest configuration.
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

// mustBeInForce waits until the newest configuration is in force at all entries, at most a time after its
// acknowledgement.
func (g *growthSim) mustBeInForce(within event.Duration) {
	g.t.Helper()
	end := g.acknowledgedAt.Add(within)
	for g.now < end && g.staleEntries() > 0 {
		g.runFleet(simStep)
	}
	if n := g.staleEntries(); n > 0 {
		g.t.Errorf("version %d with %d routes: not in force at %d of %d entries %v after its acknowledgement",
			g.table.Version, len(g.table.Routes), n, len(g.entries), g.now.Sub(g.acknowledgedAt))
		return
	}
	g.t.Logf("version %d with %d routes in force at all entries %v after its acknowledgement", g.table.Version, len(g.table.Routes), g.now.Sub(g.acknowledgedAt))
}

// restartAll restarts all processes.
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

// addTeams adds teams with a number of keys each.
func (g *growthSim) addTeams(table *routing.Table, teams, keys int) {
	for range teams {
		team := routing.Team{Name: fmt.Sprintf("team%x", g.random.Uint64()>>20), Rate: 1000, Burst: 1000, InTokens: true, PlainTokens: 200}
		for range keys {
			team.Keys = append(team.Keys, fmt.Sprintf("%020x", g.random.Uint64()))
		}
		table.Teams = append(table.Teams, team)
	}
}
