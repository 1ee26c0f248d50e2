// SPDX-License-Identifier: MIT

package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"lynxramp.org/event"
)

// The world of this file has owners that follow one another, a log that holds their last
// Record, and entries that come, go, lose messages and restart. Everybody spends as much
// as it may, at the worst moments that chance finds.

const (
	worldFresh  = 5 * event.Second
	worldWindow = 8 * event.Second
	worldMost   = 10000
)

var worldAccount = Team("t")

// worldSpent is an amount that was spent.
type worldSpent struct {
	at     event.Time
	amount int
}

// worldEntry is an entry; its clock is the world's.
type worldEntry struct {
	name  event.BoxID
	life  uint64
	lent  *Allowances
	fresh event.Time // until when it may spend what it was lent
	here  bool       // in a session with the owner
	alone bool       // it has no owner's word that it needs not decide alone
}

// world is a deployment without anything but budgets.
type world struct {
	random  *rand.Rand
	harsh   float64 // how often something goes wrong
	now     event.Time
	book    *Book // nil while there is no owner
	record  Record
	heard   event.Time // when the record was heard
	entries []*worldEntry
	spent   []worldSpent
	lives   uint64
}

func newWorld(entries int, seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, uint64(entries)))}
	w.harsh = w.random.Float64() * w.random.Float64()
	for i := range entries {
		e := &worldEntry{name: event.BoxID(fmt.Sprint(i))}
		w.restart(e)
		w.entries = append(w.entries, e)
	}
	w.book = NewBook(w.now, worldFresh)
	w.limit()
	return w
}

func (w *world) limit() {
	w.book.SetLimit(w.now, worldAccount, Limit{Window: worldWindow, Most: worldMost, Base: worldMost})
}

func (w *world) restart(e *worldEntry) {
	w.lives++
	e.life, e.lent, e.fresh, e.here, e.alone = w.lives, &Allowances{}, 0, false, true
}

func (w *world) count(amount int) { w.spent = append(w.spent, worldSpent{w.now, amount}) }

// step does one thing that may happen.
func (w *world) step() {
	e := w.entries[w.random.IntN(len(w.entries))]
	switch w.random.IntN(16) {
	case 0, 1, 2:
		w.spendWithOwner(e)
	case 3, 4, 5:
		w.spendAlone(e)
	case 6, 7, 8, 9:
		w.ping(e, !w.harmed())
	case 10, 11, 12:
		w.keepRecord(!w.harmed())
	case 13, 14:
		w.pass()
	default:
		w.harm(e)
	}
}

// harmed reports whether something goes wrong here and now.
func (w *world) harmed() bool { return w.random.Float64() < w.harsh }

func (w *world) harm(e *worldEntry) {
	switch {
	case !w.harmed():
	case w.random.IntN(6) == 0:
		w.changeOwner()
	case w.random.IntN(3) == 0:
		w.restart(e)
	default: // the session ends
		e.here, e.alone = false, true
	}
}

// pass lets time go on, often by little.
func (w *world) pass() {
	most := 200 * event.Millisecond
	if w.random.IntN(4) == 0 {
		most = 4 * event.Second
	}
	w.now = w.now.Add(event.Span(w.random.Int64N(int64(most))))
	if w.book != nil {
		w.book.Tick(w.now)
	}
}

// spendWithOwner spends by the owner's leave, over and over.
func (w *world) spendWithOwner(e *worldEntry) {
	if w.book == nil || !e.here {
		return
	}
	for amount := 1 + w.random.IntN(worldMost/10); w.random.IntN(30) > 0 && w.book.Spend(w.now, e.name, worldAccount, amount); {
		if w.random.IntN(20) == 0 { // no endpoint had it
			w.book.GiveBack(w.now, worldAccount, w.now, amount)
			continue
		}
		w.count(amount)
	}
}

// spendAlone spends all that an entry was lent, or a part of it.
func (w *world) spendAlone(e *worldEntry) {
	if !e.alone || w.now >= e.fresh {
		return
	}
	for amount := 1 + w.random.IntN(worldMost/40); w.random.IntN(30) > 0 && e.lent.Spend(w.now, e.name, worldAccount, amount); {
		w.count(amount)
	}
}

// ping is an entry's question and the owner's answer, which may be lost.
func (w *world) ping(e *worldEntry, answered bool) {
	if w.book == nil {
		return
	}
	sent := w.now
	if !e.here {
		if w.now >= e.fresh {
			e.lent.Drop()
		}
		held := e.lent.Greet()
		if w.random.IntN(3) == 0 { // it spends on until it has the owner's word
			w.spendAlone(e)
		}
		w.book.Greet(w.now, e.name, e.life, held)
		e.here = true
	}
	has, changes := e.lent.Changes()
	w.book.Hear(w.now, e.name, has, changes)
	lent := w.book.Lend(w.now, e.name, len(w.entries))
	if w.random.IntN(4) == 0 {
		w.spendAlone(e)
	}
	if !answered {
		e.here, e.alone = false, true
		return
	}
	e.lent.Take(lent)
	e.fresh = sent.Add(worldFresh)
	e.alone = false
}

// keepRecord puts a Record into the log. The owner may end before it knows that it is
// there, and before it is there.
func (w *world) keepRecord(knows bool) {
	if w.book == nil || !w.book.Due() {
		return
	}
	r := w.book.MakeRecord(w.now)
	for range 3 { // on its way, all goes on
		w.spendWithOwner(w.entries[w.random.IntN(len(w.entries))])
	}
	if knows || w.random.IntN(2) == 0 {
		w.record, w.heard = r, w.now
	}
	if knows {
		w.book.Committed()
		return
	}
	w.changeOwner()
}

// changeOwner ends the owner; another begins, at once or later.
func (w *world) changeOwner() {
	w.book = nil
	for _, e := range w.entries {
		if e.here {
			e.here, e.alone = false, true
		}
	}
	for range w.random.IntN(10) {
		w.spendAlone(w.entries[w.random.IntN(len(w.entries))])
		if w.random.IntN(3) == 0 {
			w.pass()
		}
	}
	w.book = InheritBook(w.now, worldFresh, w.record, w.heard)
	w.limit()
}

// most returns the most that was spent in any window.
func (w *world) most() int {
	most, sum, first := 0, 0, 0
	for _, s := range w.spent {
		sum += s.amount
		for w.spent[first].at < s.at.Add(-worldWindow) {
			sum -= w.spent[first].amount
			first++
		}
		most = max(most, sum)
	}
	return most
}

// TestNoWindowHoldsMoreThanTheLimit: the sum over all owners and entries stays within the
// limit in every window, at any count of entries, and comes near it.
func TestNoWindowHoldsMoreThanTheLimit(t *testing.T) {
	for entries, worlds := range map[int]uint64{1: 400, 4: 800, 22: 300, 103: 100} {
		near := 0
		for seed := range worlds {
			w := newWorld(entries, seed+1)
			for range 3000 {
				w.step()
			}
			most := w.most()
			if most > worldMost {
				t.Errorf("%d entries, seed %d: %d spent in a window, the limit is %d", entries, seed+1, most, worldMost)
			}
			if most > worldMost*9/10 {
				near++
			}
		}
		if near < int(worlds)/10 {
			t.Errorf("%d entries: only %d of %d worlds came near the limit", entries, near, worlds)
		}
	}
}
