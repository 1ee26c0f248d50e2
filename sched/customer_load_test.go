// SPDX-License-Identifier: MIT

package sched

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strings"
	"testing"

	"lynxramp.org/event"
)

// This file has the loads of the two customers of docs/CONTENTION.md for the simulation of
// load_test.go: an oscillating load with bursts on endpoints of speeds 0.6 to 1.7, where one
// team sends six times its usual requests for some seconds.

// customerLoad has the parameters of a customer's load that differ from the worst load.
type customerLoad struct {
	kinds [len(loadKinds)]loadKind
	slots int
	// baseLoad is the factor on the rates at which the least urgent kind earns about what
	// was measured on deployments with the order of arrival (0.33 and 0.23).
	baseLoad  float64
	endpoints int
	swing     float64 // amplitude of the load around its mean
	// thresholds are the sizes from which a request is large and largest, by kind.
	thresholds [len(loadKinds)][2]float64
}

// Shape of the customers' loads.
const (
	customerLength      = 36 * event.Second
	customerSwingPeriod = 17 * event.Second
	eventTokens         = 5
	surgeFactor         = 6 // requests of one team, relative to its usual ones
)

// customerBursts are the bursts on top of the oscillation.
var customerBursts = [...]struct {
	from, until event.Duration
	factor      float64
}{
	{3 * event.Second, 7 * event.Second, 1.8},
	{15 * event.Second, 18 * event.Second, 1.6},
	{24 * event.Second, 29 * event.Second, 2},
}

// surgeFrom and surgeUntil bound the time in which team 0 sends surgeFactor times its usual requests.
const (
	surgeFrom  = event.Time(19 * event.Second)
	surgeUntil = event.Time(25 * event.Second)
)

func customerKind(rank int, perSecond float64, target, deadline event.Duration, value, late, prompt float64, events int) loadKind {
	return loadKind{
		rank: -rank, perSecond: perSecond, target: target, deadline: deadline, value: value, lateValue: late,
		prompt: prompt, output: float64(events * eventTokens), maxOutput: 10 * events * eventTokens, promptSigma: 0.8, outputSigma: 1.3,
	}
}

// climateLoad is the load of the climate records.
func climateLoad() *customerLoad {
	return newCustomerLoad(customerLoad{
		kinds: [...]loadKind{
			customerKind(0, 82, 600*event.Millisecond, 6*event.Second, 6.3, 1.9, 2890, 10),
			customerKind(1, 174, 500*event.Millisecond, 4*event.Second, 2, 0.61, 1800, 5),
			customerKind(2, 92, 300*event.Millisecond, 15*event.Second, 0.41, 0.12, 543, 56),
		},
		slots: 6, endpoints: 46, baseLoad: 1.9, swing: 0.2,
	})
}

// postalLoad is the load of the postal sorting.
func postalLoad() *customerLoad {
	return newCustomerLoad(customerLoad{
		kinds: [...]loadKind{
			customerKind(0, 127, 600*event.Millisecond, 6*event.Second, 6.5, 1.9, 2890, 10),
			customerKind(1, 156, 500*event.Millisecond, 4*event.Second, 2.1, 0.62, 1800, 5),
			customerKind(2, 159, 400*event.Millisecond, 15*event.Second, 0.38, 0.11, 543, 56),
		},
		slots: 7, endpoints: 57, baseLoad: 2.2, swing: 0.55,
	})
}

// newCustomerLoad determines the size thresholds by drawing requests.
func newCustomerLoad(c customerLoad) *customerLoad {
	const drawn = 4000
	r := newDrawing(&c)
	for i := range c.kinds {
		sizes := make([]float64, drawn)
		for n := range sizes {
			k := r.newRequest(&c.kinds[i])
			sizes[n] = requestSize(k)
		}
		slices.Sort(sizes)
		c.thresholds[i] = [2]float64{sizes[drawn*7/10], sizes[drawn*9/10]}
	}
	return &c
}

func newDrawing(c *customerLoad) *simulation {
	return &simulation{load: load{seed: 1, guessSigma: 0.5, customer: c}, random: newRandom(1)}
}

func requestSize(k *loadRequest) float64 {
	return float64(k.ticket.PromptTokens) + 10*float64(k.length)
}

// factor is the load at a time relative to the mean.
func (c *customerLoad) factor(at event.Time) float64 {
	factor := 1 + c.swing*math.Sin(2*math.Pi*float64(at)/float64(customerSwingPeriod))
	for _, b := range customerBursts {
		if at >= event.Time(b.from) && at < event.Time(b.until) {
			factor *= b.factor
		}
	}
	return factor
}

// team draws team 0 surgeFactor times as often during the surge.
func (c *customerLoad) team(r *simulation, usual int) int {
	const teams = 16
	if r.now >= surgeFrom && r.now < surgeUntil && r.random.IntN(teams+surgeFactor-1) < surgeFactor-1 {
		return 0
	}
	return usual
}

// slowness spreads the speeds of the endpoints over 0.6 to 1.7.
func (c *customerLoad) slowness(id event.EndpointID) float64 {
	const steps = 23
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return 1 / (0.6 + 1.1*float64(h.Sum32()%steps)/(steps-1))
}

// sizeGroup is a group of the requests of one kind by their actual size.
type sizeGroup int

const (
	groupUsual   sizeGroup = iota
	groupLarge             // the 20% below the largest
	groupLargest           // the largest 10%
	sizeGroups
)

// groupStats counts the requests of one kind and size group.
type groupStats struct {
	asked, served, late, refused, refusedTwice, timedOut int
}

// customerResult has the counts by kind and size group.
type customerResult [len(loadKinds)][sizeGroups]groupStats

func (r *customerResult) add(o *customerResult) {
	for i := range r {
		for g := range r[i] {
			a, b := &r[i][g], &o[i][g]
			a.asked += b.asked
			a.served += b.served
			a.late += b.late
			a.refused += b.refused
			a.refusedTwice += b.refusedTwice
			a.timedOut += b.timedOut
		}
	}
}

// total sums the groups of a kind.
func (r *customerResult) total(kind int) groupStats {
	var sum groupStats
	for _, g := range r[kind] {
		sum.asked += g.asked
		sum.served += g.served
		sum.late += g.late
		sum.refused += g.refused
		sum.refusedTwice += g.refusedTwice
		sum.timedOut += g.timedOut
	}
	return sum
}

func (g groupStats) rate() float64 { return float64(g.served) / float64(max(1, g.asked)) }

// groupRatio is the rate of a size group relative to that of its kind.
func (r *customerResult) groupRatio(kind int, group sizeGroup) float64 {
	return r[kind][group].rate() / r.total(kind).rate()
}

// customerTable formats a result by kind.
func customerTable(r *loadResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "worth %.3f", r.earnedShare())
	for i := range r.possible {
		t := r.customer.total(i)
		share := func(n int) float64 { return float64(n) / float64(max(1, t.asked)) }
		fmt.Fprintf(&b, "\n  kind %d: worth %.3f, served %.3f, late %.3f, refused %.3f, refused twice %.3f, timed out %.4f, large %.2f, largest %.2f",
			i, r.earned[i]/r.possible[i], t.rate(), share(t.late), share(t.refused), share(t.refusedTwice), share(t.timedOut),
			r.customer.groupRatio(i, groupLarge), r.customer.groupRatio(i, groupLargest))
	}
	return b.String()
}

func (r *simulation) kinds() []loadKind {
	if r.load.customer != nil {
		return r.load.customer.kinds[:]
	}
	if r.load.kinds != nil {
		return r.load.kinds
	}
	return loadKinds[:]
}

func (r *simulation) slots() int {
	if r.load.customer != nil {
		return r.load.customer.slots
	}
	if r.load.slots > 0 {
		return r.load.slots
	}
	return loadCapacity
}

// targetLeft is the remaining target: with the customers it counts from the first attempt.
func (r *simulation) targetLeft(k *loadRequest) event.Duration {
	if r.load.customer == nil {
		return k.kind.target
	}
	return max(event.Millisecond, k.firstTry.Add(k.kind.target).Sub(r.now))
}

func (r *simulation) stats(k *loadRequest) *groupStats {
	return &r.result.customer[r.kindIndex(k.kind)][k.group]
}

func (r *simulation) countAsked(k *loadRequest, size float64) {
	if c := r.load.customer; c != nil {
		limits := c.thresholds[r.kindIndex(k.kind)]
		switch {
		case size >= limits[1]:
			k.group = groupLargest
		case size >= limits[0]:
			k.group = groupLarge
		}
	}
	r.stats(k).asked++
}

func (r *simulation) countServed(k *loadRequest, late bool) {
	r.stats(k).served++
	if late {
		r.stats(k).late++
	}
}

// load returns the parameters of the simulation.
func (c *customerLoad) load(seed uint64) load {
	return load{
		seed: seed, endpoints: c.endpoints, baseLoad: c.baseLoad, length: event.Time(customerLength), guessSigma: 0.5, customer: c,
	}
}

// runCustomer sums the results of a customer's load over several seeds.
func runCustomer(c *customerLoad, seeds int, expectedWork bool) *loadResult {
	sum := &loadResult{}
	for seed := range seeds {
		l := c.load(uint64(seed))
		l.expectedWork = expectedWork
		sum.add(runLoad(l))
	}
	return sum
}

// TestExpectedWorkUnderCustomerLoads guards against an order by expected work that earns less
// than the order of arrival under the loads of the customers, takes from the most urgent kind,
// or starves large requests.
func TestExpectedWorkUnderCustomerLoads(t *testing.T) {
	const seeds = 4
	for name, c := range map[string]*customerLoad{"climate": climateLoad(), "postal": postalLoad()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			arrival, expectedWork := runCustomer(c, seeds, false), runCustomer(c, seeds, true)
			t.Logf("arrival: %s", customerTable(arrival))
			t.Logf("expected_work: %s", customerTable(expectedWork))
			if expectedWork.earnedShare() < arrival.earnedShare()+0.005 {
				t.Errorf("worth %.3f, %.3f with the order of arrival", expectedWork.earnedShare(), arrival.earnedShare())
			}
			checkKinds(t, arrival, expectedWork)
		})
	}
}

func checkKinds(t *testing.T, arrival, expectedWork *loadResult) {
	t.Helper()
	for i := range expectedWork.possible {
		before, after := arrival.customer.total(i), expectedWork.customer.total(i)
		if after.rate() < before.rate()-0.005 {
			t.Errorf("kind %d: %.3f served, %.3f with the order of arrival", i, after.rate(), before.rate())
		}
		for _, group := range [...]sizeGroup{groupLarge, groupLargest} {
			if ratio := expectedWork.customer.groupRatio(i, group); ratio < 0.6 {
				t.Errorf("kind %d: group %d is served at %.2f of the rate of its kind, at least half is required", i, group, ratio)
			}
		}
		if after.timedOut > after.asked/1000 {
			t.Errorf("kind %d: %d of %d requests waited until their deadline", i, after.timedOut, after.asked)
		}
	}
	if before, after := arrival.customer.total(2).rate(), expectedWork.customer.total(2).rate(); after < before+0.1 {
		t.Errorf("%.3f of the least urgent kind served, %.3f with the order of arrival", after, before)
	}
}

// TestExpectedWorkUnderWorstLoad guards against an order by expected work that suits only the
// loads of the customers.
func TestExpectedWorkUnderWorstLoad(t *testing.T) {
	const seeds = 6
	arrival := runSeeds(seeds, nil)
	expectedWork := runSeeds(seeds, func(l *load) { l.expectedWork = true })
	t.Log("arrival:", arrival)
	t.Log("expected_work:", expectedWork)
	if expectedWork.earnedShare() < arrival.earnedShare()-0.005 {
		t.Errorf("value %.3f, %.3f with the order of arrival", expectedWork.earnedShare(), arrival.earnedShare())
	}
	if expectedWork.worstShare() < 0.6 {
		t.Errorf("worst kind or its longest responses earn %.3f", expectedWork.worstShare())
	}
}
