// SPDX-License-Identifier: MIT

package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"lynxramp.org/event"
)

// The simulation in this file has a sequence of owners, a log with their Records, and
// entries that connect, disconnect, lose messages and restart. All spend as much as they
// may, at random times.

const (
	simLeaseTTL = 5 * event.Second
	simWindow   = 8 * event.Second
	simMax      = 10000
)

var testAccount = Team("t")

// tightBounds make a few accounts split into as many messages and Records as many accounts
// do: each has one account.
var tightBounds = bounds{scans: 2, useSpan: 700 * event.Millisecond, messageBytes: 1, recordBytes: 1}

// wideBounds are the same with two or three accounts in a message or Record.
var wideBounds = bounds{scans: 2, useSpan: 700 * event.Millisecond, messageBytes: 40, recordBytes: 120}

// tightAccounts are the accounts of a simulation with tight bounds.
var tightAccounts = []Account{testAccount, Team("u"), Team("v"), Team("w"), Team("x")}

// simSpending is an amount that was spent.
type simSpending struct {
	account Account
	at      event.Time
	amount  int
}

// simReply is a reply on its way to an entry, with the time when its ping was sent.
type simReply struct {
	sentAt event.Time
	leases LeaseUpdate
}

// simEntry is an entry. Its clock is that of the simulation.
type simEntry struct {
	name        event.BoxID
	instance    uint64
	leases      *Leases
	leaseUntil  event.Time // until when it may spend its leases
	isConnected bool       // has a session with the owner
	isDegraded  bool       // has no reply of the owner and decides by itself
	inFlight    []simReply
}

// disconnect ends its session.
func (e *simEntry) disconnect() { e.isConnected, e.isDegraded, e.inFlight = false, true, nil }

// simulation is a deployment reduced to its budgets.
type simulation struct {
	random    *rand.Rand
	faultRate float64 // probability of a fault
	now       event.Time
	allocator *Allocator // nil while there is no owner
	log       Ledger
	entries   []*simEntry
	spent     []simSpending
	instances uint64
	// accounts are all accounts that are spent from. isTight is true if bounds are tight
	// and the messages of a session overlap.
	accounts []Account
	isTight  bool
	bounds   bounds // used if isTight
}

// randomAccount returns one of the accounts.
func (w *simulation) randomAccount() Account {
	if len(w.accounts) == 1 {
		return w.accounts[0]
	}
	return w.accounts[w.random.IntN(len(w.accounts))]
}

func newSimulation(entries int, seed uint64, isTight bool) *simulation {
	w := &simulation{random: rand.New(rand.NewPCG(seed, uint64(entries))), accounts: []Account{testAccount}, isTight: isTight}
	if isTight {
		w.accounts = tightAccounts
		w.bounds = []bounds{tightBounds, wideBounds}[seed%2]
	}
	w.faultRate = w.random.Float64() * w.random.Float64()
	for i := range entries {
		e := &simEntry{name: event.BoxID(fmt.Sprint(i))}
		w.restart(e)
		w.entries = append(w.entries, e)
	}
	w.allocator = NewAllocator(w.now, simLeaseTTL)
	w.setLimits()
	return w
}

func (w *simulation) setLimits() {
	if w.isTight {
		w.allocator.bounds = w.bounds
	}
	for _, name := range w.accounts {
		w.allocator.SetLimit(w.now, name, Limit{Window: simWindow, Max: simMax, Base: simMax})
	}
}

func (w *simulation) restart(e *simEntry) {
	w.instances++
	e.instance, e.leases, e.leaseUntil = w.instances, &Leases{}, 0
	e.disconnect()
	if w.isTight {
		e.leases.maxBytes = w.bounds.messageBytes
	}
}

func (w *simulation) count(name Account, amount int) {
	w.spent = append(w.spent, simSpending{name, w.now, amount})
}

// step performs one random action.
func (w *simulation) step() {
	e := w.entries[w.random.IntN(len(w.entries))]
	switch w.random.IntN(16) {
	case 0, 1, 2:
		w.spendWithOwner(e)
	case 3, 4, 5:
		w.spendDegraded(e)
	case 6, 7, 8, 9:
		w.ping(e, !w.isFaulty())
	case 10, 11, 12:
		w.commitRecord(!w.isFaulty())
	case 13, 14:
		w.advance()
	default:
		w.injectFault(e)
	}
}

// isFaulty reports whether a fault occurs now.
func (w *simulation) isFaulty() bool { return w.random.Float64() < w.faultRate }

func (w *simulation) injectFault(e *simEntry) {
	switch {
	case !w.isFaulty():
	case w.random.IntN(6) == 0:
		w.changeOwner()
	case w.random.IntN(3) == 0:
		w.restart(e)
	case w.isTight && w.allocator != nil && w.random.IntN(3) == 0: // a team is removed and added again
		name := w.randomAccount()
		w.allocator.DropLimit(name)
		w.ping(e, true)
		w.setLimits()
	default: // the session ends
		e.disconnect()
	}
}

// advance lets time pass, mostly a little.
func (w *simulation) advance() {
	step := 200 * event.Millisecond
	if w.random.IntN(4) == 0 {
		step = 4 * event.Second
	}
	w.now = w.now.Add(event.Duration(w.random.Int64N(int64(step))))
	if w.allocator != nil {
		w.allocator.Tick(w.now)
	}
}

// spendWithOwner spends repeatedly through the owner.
func (w *simulation) spendWithOwner(e *simEntry) {
	if w.allocator == nil || !e.isConnected {
		return
	}
	name := w.randomAccount()
	for amount := 1 + w.random.IntN(simMax/10); w.random.IntN(30) > 0 && w.allocator.Spend(w.now, e.name, name, amount); {
		if w.random.IntN(20) == 0 { // reached no endpoint
			w.allocator.Refund(w.now, name, w.now, amount)
			continue
		}
		w.count(name, amount)
	}
}

// spendDegraded spends what an entry was leased, or a part of it.
func (w *simulation) spendDegraded(e *simEntry) {
	if !e.isDegraded || w.now >= e.leaseUntil {
		return
	}
	if w.isTight && w.random.IntN(2) == 0 {
		w.spendDegraded(e)
	}
	name := w.randomAccount()
	for amount := 1 + w.random.IntN(simMax/40); w.random.IntN(30) > 0 && e.leases.Spend(w.now, e.name, name, amount); {
		if w.isTight && w.random.IntN(20) == 0 { // reached no endpoint
			e.leases.Refund(w.now, name, w.now, amount)
			continue
		}
		w.count(name, amount)
	}
}

// ping sends an entry's ping to the owner. The ping or its reply may be lost.
func (w *simulation) ping(e *simEntry, isAnswered bool) {
	if w.allocator == nil {
		return
	}
	sent := w.now
	if !e.isConnected {
		if w.now >= e.leaseUntil {
			e.leases.Expire()
		}
		reported := e.leases.BeginSession()
		if w.random.IntN(3) == 0 { // it spends on until the owner replies
			w.spendDegraded(e)
		}
		w.allocator.BeginSession(w.now, e.name, e.instance, reported)
		if e.leases.HasMore() {
			w.allocator.AwaitReport(e.name)
		}
		e.isConnected = true
	}
	acked, changes := e.leases.Changes()
	if w.isTight && !isAnswered && w.random.IntN(2) == 0 { // the ping is lost
		e.disconnect()
		return
	}
	w.allocator.ApplyReport(w.now, e.name, acked, changes)
	if !e.leases.HasMore() {
		w.allocator.CompleteReport(e.name)
	}
	leases := w.allocator.UpdateLeases(w.now, e.name, len(w.entries))
	if w.random.IntN(4) == 0 {
		w.spendDegraded(e)
	}
	if !isAnswered {
		e.disconnect()
		return
	}
	e.inFlight = append(e.inFlight, simReply{sent, leases})
	w.deliver(e)
}

// deliver delivers replies to an entry. With tight bounds some are still in flight at the
// next ping.
func (w *simulation) deliver(e *simEntry) {
	for len(e.inFlight) > 0 && (!w.isTight || w.random.IntN(3) > 0) {
		e.leases.Apply(e.inFlight[0].leases)
		e.leaseUntil = e.inFlight[0].sentAt.Add(simLeaseTTL)
		e.isDegraded = false
		e.inFlight = e.inFlight[1:]
	}
}

// commitRecord commits a Record. The owner may terminate before it observes that the Record is
// committed, or before it is committed.
func (w *simulation) commitRecord(isKnown bool) {
	if w.allocator == nil || !w.allocator.Due() {
		return
	}
	r := w.allocator.MakeRecord(w.now)
	for range 3 { // spending goes on while the Record is pending
		w.spendWithOwner(w.entries[w.random.IntN(len(w.entries))])
	}
	afterRestart := !isKnown && w.isTight && w.random.IntN(3) == 0
	if isKnown || (!afterRestart && w.random.IntN(2) == 0) {
		w.applyRecord(r)
	}
	if isKnown {
		w.allocator.Committed()
		return
	}
	w.changeOwner()
	if afterRestart { // it is committed after the owner has restarted
		w.applyRecord(r)
		w.allocator.ApplyForeign(w.now, r)
	}
}

// applyRecord applies a Record to the log.
func (w *simulation) applyRecord(r Record) {
	w.log.Apply(r)
	w.log.MarkReceived(w.now)
}

// changeOwner terminates the owner; another starts at once or later.
func (w *simulation) changeOwner() {
	w.allocator = nil
	for _, e := range w.entries {
		if e.isConnected {
			e.disconnect()
		}
	}
	for range w.random.IntN(10) {
		w.spendDegraded(w.entries[w.random.IntN(len(w.entries))])
		if w.random.IntN(3) == 0 {
			w.advance()
		}
	}
	w.allocator = RestoreAllocator(w.now, simLeaseTTL, &w.log)
	w.setLimits()
}

// maxInWindow returns the largest amount that was spent of an account in any window.
func (w *simulation) maxInWindow(name Account) int {
	maxInWindow, sum := 0, 0
	var in []simSpending
	for _, s := range w.spent {
		if s.account != name {
			continue
		}
		in = append(in, s)
		sum += s.amount
		for in[0].at < s.at.Add(-simWindow) {
			sum -= in[0].amount
			in = in[1:]
		}
		maxInWindow = max(maxInWindow, sum)
	}
	return maxInWindow
}

// TestNoWindowExceedsLimit: the sum over all owners and entries must stay within the limit
// in every window, for any number of entries, and come near it.
func TestNoWindowExceedsLimit(t *testing.T) {
	for entries, seeds := range map[int]uint64{1: 400, 4: 800, 22: 300, 103: 100} {
		checkSimulations(t, entries, seeds, 3000, false)
	}
}

// TestNoWindowExceedsLimitWithPartialMessages is the same where Records, updates and
// reports have no room for all accounts, and entries remove leases and are leased the
// accounts again.
func TestNoWindowExceedsLimitWithPartialMessages(t *testing.T) {
	for entries, seeds := range map[int]uint64{1: 200, 4: 400, 22: 160} {
		checkSimulations(t, entries, seeds, 9000, true)
	}
}

// checkSimulations runs simulations and checks all windows of all accounts.
func checkSimulations(t *testing.T, entries int, seeds uint64, steps int, isTight bool) {
	t.Helper()
	near := 0
	for seed := range seeds {
		w := newSimulation(entries, seed+1, isTight)
		for range steps {
			w.step()
		}
		for _, name := range w.accounts {
			maxInWindow := w.maxInWindow(name)
			if maxInWindow > simMax {
				t.Errorf("%d entries, seed %d: %d spent of %s in a window, the limit is %d", entries, seed+1, maxInWindow, name, simMax)
			}
			if maxInWindow > simMax*9/10 {
				near++
			}
		}
	}
	if all := int(seeds) * len(newSimulation(entries, 1, isTight).accounts); near < all/10 {
		t.Errorf("%d entries: only %d of %d accounts came near the limit", entries, near, all)
	}
}
