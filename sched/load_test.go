// SPDX-License-Identifier: MIT

package sched

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"lynxramp.org/event"
)

// This file simulates overload: three kinds of requests, endpoints of three speeds, a
// burst of twice the base load while a quarter of the endpoints is down and one team
// sends more than its share. Callers estimate the lengths of their responses and retry once
// when refused.

// loadKind is a kind of request.
type loadKind struct {
	rank                     int
	perSecond                float64 // at a base load of 1 and 54 endpoints
	prompt, output           float64 // mean tokens
	maxOutput                int     // output tokens of the longest answer
	target, deadline         event.Duration
	value, lateValue         float64 // of an answer that meets its target, and of a later one
	promptSigma, outputSigma float64 // standard deviation of the logarithm
	// callTime is the run time of a call without tokens at speed 1; 0 for a stream.
	callTime event.Duration
}

var loadKinds = [...]loadKind{
	{rank: 0, perSecond: 84, prompt: 6670, output: 384, maxOutput: 3840, target: 800 * event.Millisecond, deadline: 15 * event.Second, value: 9, lateValue: 2.7, promptSigma: 1, outputSigma: 1.3},
	{rank: -1, perSecond: 215, prompt: 690, output: 294, maxOutput: 2940, target: 800 * event.Millisecond, deadline: 15 * event.Second, value: 1.1, lateValue: 0.33, promptSigma: 0.8, outputSigma: 1.3},
	{rank: -2, perSecond: 123, prompt: 1860, output: 24, maxOutput: 228, target: 1500 * event.Millisecond, deadline: 3 * event.Second, value: 0.3, lateValue: 0.09, promptSigma: 0.9, outputSigma: 1.3},
}

// load has the parameters of a simulation.
type load struct {
	seed       uint64
	endpoints  int
	baseLoad   float64 // relative to the capacity
	burst      float64 // relative to the base load, from 2 to 7 s
	length     event.Time
	guessSigma float64 // standard deviation of the logarithm of estimate over length
	baseline   bool    // least outstanding requests, in the order of arrival
	// limited is the number of endpoints with a rate limit, in requests per second. If
	// limit is negative they are down during the whole simulation. If limited is not 0,
	// no other endpoints go down.
	limited int
	limit   float64
	// expectedWork selects the order of waiting requests by expected work.
	expectedWork bool
	customer     *customerLoad // nil for the worst load
	// kinds are the kinds of requests, at most as many as loadKinds, which are the default.
	kinds []loadKind
	// latency is the one-way latency between an endpoint and the owner; 0 means loadLatency.
	latency event.Duration
	// slots is how many requests an endpoint runs at once; 0 means loadCapacity.
	slots int
	// slowness are the factors of the endpoints, in turn; nil means loadSlowness.
	slowness []float64
	// swing is how far the load oscillates around its mean, with a period of loadSwingPeriod.
	swing float64
	// turns slows endpoints by turns.
	turns slowTurns
	// report is what an endpoint says of its slowdown; nil means that it reports none.
	report slowdownReport
}

// worstLoad returns the parameters of the overload.
func worstLoad(seed uint64) load {
	return load{seed: seed, endpoints: 54, baseLoad: 0.85, burst: 2, length: event.Time(14 * event.Second), guessSigma: 0.5}
}

// loadRequest is one caller's request.
type loadRequest struct {
	kind     *loadKind
	ticket   event.Ticket
	firstTry event.Time // time of its caller's first attempt
	length   int
	weight   float64 // factor on its kind's value, by size
	isLong   bool    // among the tenth of its kind with the longest responses
	tries    int
	placed   bool
	group    sizeGroup // by its actual size
}

// loadResult has the totals of a simulation, by kind where it is an array.
type loadResult struct {
	possible, earned  [len(loadKinds)]float64 // value of all requests and of those answered
	possibleLong      [len(loadKinds)]float64 // part of possible from the longest tenth
	earnedLong        [len(loadKinds)]float64
	timedOut          int // deadline passed, neither granted nor refused before
	refused           int
	refusedTwice      int     // refused on the second attempt
	refusedTwiceValue float64 // sum of their values
	cutOff            int     // responses cut off by the deadline
	wastedSeconds     float64 // run time of these
	runSeconds        float64
	customer          customerResult
	placement         placementResult
}

// earnedShare returns the ratio of earned to possible value over all kinds.
func (r *loadResult) earnedShare() float64 {
	possible, earned := 0.0, 0.0
	for i := range r.possible {
		possible += r.possible[i]
		earned += r.earned[i]
	}
	return earned / possible
}

func (r *loadResult) add(o *loadResult) {
	for i := range r.possible {
		r.possible[i] += o.possible[i]
		r.earned[i] += o.earned[i]
		r.possibleLong[i] += o.possibleLong[i]
		r.earnedLong[i] += o.earnedLong[i]
	}
	r.timedOut += o.timedOut
	r.refused += o.refused
	r.refusedTwice += o.refusedTwice
	r.refusedTwiceValue += o.refusedTwiceValue
	r.cutOff += o.cutOff
	r.wastedSeconds += o.wastedSeconds
	r.runSeconds += o.runSeconds
	r.customer.add(&o.customer)
	r.placement.add(&o.placement)
}

// worstShare returns the smallest ratio of earned to possible value among the kinds and
// their longest responses.
func (r *loadResult) worstShare() float64 {
	worstShare := 1.0
	for i := range r.possible {
		worstShare = min(worstShare, r.earned[i]/r.possible[i], r.earnedLong[i]/r.possibleLong[i])
	}
	return worstShare
}

func (r *loadResult) String() string {
	possible := 0.0
	for i := range r.possible {
		possible += r.possible[i]
	}
	text := fmt.Sprintf("value %.3f, worst %.3f, refused twice %.3f, by kind", r.earnedShare(), r.worstShare(), r.refusedTwiceValue/possible)
	for i := range r.possible {
		text += fmt.Sprintf(" %.3f (longest %.3f)", r.earned[i]/r.possible[i], r.earnedLong[i]/r.possibleLong[i])
	}
	return text + fmt.Sprintf(", timed out %d, refused %d, refused twice %d, cut off %d, wasted run time %.1f %%",
		r.timedOut, r.refused, r.refusedTwice, r.cutOff, 100*r.wastedSeconds/r.runSeconds)
}

// simulation runs a load against a scheduler.
type simulation struct {
	load     load
	random   *rand.Rand
	s        *State
	now      event.Time
	timers   timerHeap
	seq      int
	requests map[event.RequestID]*loadRequest
	engines  map[event.EndpointID]*loadEngine
	result   loadResult
	// decisions, if set, is called with each decision.
	decisions func(now event.Time, g event.Granted, refused *event.Refused)
}

type timer struct {
	at  event.Time
	seq int
	do  func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (r *simulation) at(t event.Time, do func()) {
	r.seq++
	heap.Push(&r.timers, timer{at: t, seq: r.seq, do: do})
}

func (r *simulation) step(e event.Event) {
	var out event.Effects
	r.s.Step(r.now, e, &out)
	r.observeDecisions(&out)
	for _, g := range out.Grants {
		r.granted(g)
	}
	for _, f := range out.Refusals {
		r.refused(f)
	}
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 7)) }

// runLoad simulates a load and returns its totals.
func runLoad(l load) *loadResult { return runLoadWith(l, nil) }

// runLoadWith is runLoad with a function that is called with each decision.
func runLoadWith(l load, decisions func(event.Time, event.Granted, *event.Refused)) *loadResult {
	r := &simulation{
		load: l, random: newRandom(l.seed), requests: make(map[event.RequestID]*loadRequest),
		decisions: decisions,
		engines:   make(map[event.EndpointID]*loadEngine),
		s: New(0, event.Pool{Name: pool, MaxWaiting: 4000, Discovered: true, Profile: event.Profile{
			PrefillRate: 40000, TokenGap: 5 * event.Millisecond, CallTime: 30 * event.Millisecond,
		}, LeastOutstanding: l.baseline, ExpectedWork: l.expectedWork}, l.seed),
	}
	for i := range l.endpoints {
		r.updateEndpoint(i, false)
	}
	if l.limited == 0 && l.customer == nil && l.turns == (slowTurns{}) {
		r.at(event.Time(3*event.Second), func() { r.setQuarterDown(true) })
		r.at(event.Time(6*event.Second), func() { r.setQuarterDown(false) })
	}
	for i := range r.kinds() {
		r.scheduleArrival(&r.kinds()[i], 0)
	}
	r.tick()
	for len(r.timers) > 0 {
		next := heap.Pop(&r.timers).(timer)
		r.now = next.at
		next.do()
	}
	return &r.result
}

// loadSlowness are the slowness factors of the endpoints, in turn.
var loadSlowness = [...]float64{0.55, 1, 2.8}

func loadEndpoint(i int) event.EndpointID { return event.EndpointID(fmt.Sprintf("e%03d", i)) }

func (r *simulation) slowness(id event.EndpointID) float64 {
	if r.load.customer != nil {
		return r.load.customer.slowness(id)
	}
	n := 0
	_, _ = fmt.Sscanf(string(id), "e%d", &n)
	if list := r.load.slowness; list != nil {
		return list[n%len(list)]
	}
	return loadSlowness[n%len(loadSlowness)]
}

func (l *load) oneWay() event.Duration {
	if l.latency > 0 {
		return l.latency
	}
	return loadLatency
}

func (r *simulation) updateEndpoint(i int, down bool) {
	r.step(&event.EndpointUpdated{
		Endpoint: event.Endpoint{ID: loadEndpoint(i), Concurrency: r.slots(), Speed: 1}, Address: "10.0.0.1:80", Down: down || i < r.load.limited && r.load.limit < 0,
		Limited: i < r.load.limited && r.load.limit > 0, Limit: r.load.limit,
	})
}

// setQuarterDown marks a quarter of the endpoints as down or up. Running requests
// continue.
func (r *simulation) setQuarterDown(down bool) {
	for i := range r.load.endpoints {
		if i%4 == 1 {
			r.updateEndpoint(i, down)
		}
	}
}

func (r *simulation) tick() {
	r.step(&event.Tick{})
	r.sampleLoad()
	if r.now < r.load.length.Add(16*event.Second) {
		r.at(r.now.Add(50*event.Millisecond), r.tick)
	}
}

// scheduleArrival schedules the next request of a kind and the ones after it.
func (r *simulation) scheduleArrival(kind *loadKind, at event.Time) {
	rate := r.load.baseLoad * kind.perSecond * float64(r.load.endpoints) / 54
	if at >= event.Time(2*event.Second) && at < event.Time(7*event.Second) {
		rate *= r.load.burst
	}
	if r.load.customer != nil {
		rate = r.load.baseLoad * kind.perSecond * r.load.customer.factor(at)
	}
	rate *= r.load.swingAt(at)
	at = at.Add(event.Duration(r.random.ExpFloat64() / rate * float64(event.Second)))
	if at >= r.load.length {
		return
	}
	r.at(at, func() {
		r.submit(r.newRequest(kind))
		r.scheduleArrival(kind, r.now)
	})
}

// logNormal draws from a log-normal distribution with the given mean and standard
// deviation of the logarithm.
func (r *simulation) logNormal(mean, sigma float64) float64 {
	return mean * math.Exp(r.random.NormFloat64()*sigma-sigma*sigma/2)
}

func (r *simulation) newRequest(kind *loadKind) *loadRequest {
	if kind.callTime > 0 {
		return r.newCall(kind)
	}
	prompt := max(60, int(r.logNormal(kind.prompt, kind.promptSigma)))
	length := min(kind.maxOutput, max(6, int(r.logNormal(kind.output, kind.outputSigma))))
	guess := min(kind.maxOutput, max(1, int(r.logNormal(float64(length), r.load.guessSigma)*math.Exp(r.load.guessSigma*r.load.guessSigma/2))))
	team := r.random.IntN(16)
	if r.now >= event.Time(4*event.Second) && r.now < event.Time(9*event.Second) && r.random.IntN(4) == 0 {
		team = 0
	}
	if r.load.customer != nil {
		team = r.load.customer.team(r, team)
	}
	k := &loadRequest{kind: kind, firstTry: r.now, length: length}
	size := float64(prompt) + 10*float64(length)
	k.weight = min(4, 0.3+0.7*size/(kind.prompt+10*kind.output))
	k.isLong = float64(length) > kind.output*2.4
	k.ticket = event.Ticket{
		Team: fmt.Sprintf("t%02d", team), Rank: kind.rank, Service: pool, Pool: pool, PromptTokens: prompt, OutputTokens: guess,
	}
	i := r.kindIndex(kind)
	r.countAsked(k, size)
	r.result.possible[i] += kind.value * k.weight
	if k.isLong {
		r.result.possibleLong[i] += kind.value * k.weight
	}
	return k
}

func (r *simulation) kindIndex(kind *loadKind) int {
	for i := range r.kinds() {
		if &r.kinds()[i] == kind {
			return i
		}
	}
	panic("unknown kind")
}

// submit sends one attempt of a request.
func (r *simulation) submit(k *loadRequest) {
	k.tries++
	r.seq++
	k.ticket.ID = event.RequestID(fmt.Sprintf("r%d", r.seq))
	k.ticket.Deadline = k.firstTry.Add(k.kind.deadline).Sub(r.now)
	k.ticket.Target = r.targetLeft(k)
	k.ticket.Returned = k.tries > 1
	k.ticket.Patience = min(k.ticket.Deadline/2, k.kind.target*9/10)
	r.requests[k.ticket.ID] = k
	id := k.ticket.ID
	r.at(k.firstTry.Add(k.kind.deadline), func() { r.abandon(id) })
	r.step(&event.Submitted{Entry: "entry", Ticket: k.ticket})
}

// abandon withdraws a request whose deadline has passed.
func (r *simulation) abandon(id event.RequestID) {
	if k, ok := r.requests[id]; ok && !k.placed {
		delete(r.requests, id)
		r.result.timedOut++
		r.stats(k).timedOut++
		r.step(&event.Withdrawn{Entry: "entry", ID: id, Pool: pool})
	}
}

// refused retries a request once, after Retry-After but within a third of the time left.
func (r *simulation) refused(f event.Refused) {
	k := r.requests[f.ID]
	delete(r.requests, f.ID)
	r.countRefusal()
	if f.Reason == event.ReasonDeadline {
		r.result.timedOut++
		r.stats(k).timedOut++
		return
	}
	r.result.refused++
	r.stats(k).refused++
	if k.tries > 1 {
		r.result.refusedTwice++
		r.stats(k).refusedTwice++
		r.result.refusedTwiceValue += k.kind.value * k.weight
		return
	}
	left := k.firstTry.Add(k.kind.deadline).Sub(r.now)
	r.at(r.now.Add(min(f.RetryAfter, left/3)), func() { r.submit(k) })
}

// runSeeds sums the results of the overload over several seeds.
func runSeeds(seeds int, change func(*load)) *loadResult {
	sum := &loadResult{}
	for seed := range seeds {
		l := worstLoad(uint64(seed))
		if change != nil {
			change(&l)
		}
		sum.add(runLoad(l))
	}
	return sum
}

// TestNoRequestWaitsUntilDeadline checks that under overload every request is granted or
// refused before its deadline.
func TestNoRequestWaitsUntilDeadline(t *testing.T) {
	r := runSeeds(4, nil)
	t.Log(r)
	if r.timedOut > 0 {
		t.Errorf("%d requests waited until their deadline", r.timedOut)
	}
}

// TestPolicyBeatsBaselineUnderWorstLoad compares the scheduler with the least-outstanding
// baseline on the same seeds, and checks that it neither depends on exact length
// estimates nor is misled by wrong ones.
func TestPolicyBeatsBaselineUnderWorstLoad(t *testing.T) {
	const seeds = 6
	baseline := runSeeds(seeds, func(l *load) { l.baseline = true })
	policy := runSeeds(seeds, nil)
	exact := runSeeds(seeds, func(l *load) { l.guessSigma = 0.02 })
	misleading := runSeeds(seeds, func(l *load) { l.guessSigma = 2 })
	t.Log("least outstanding:", baseline)
	t.Log("policy:", policy)
	t.Log("exact estimates:", exact)
	t.Log("misleading estimates:", misleading)
	if policy.earnedShare() < baseline.earnedShare()+0.05 {
		t.Errorf("value %.3f, baseline %.3f", policy.earnedShare(), baseline.earnedShare())
	}
	if exact.earnedShare() > policy.earnedShare()+0.03 {
		t.Errorf("value %.3f with exact estimates, %.3f with usual ones: too sensitive to estimates", exact.earnedShare(), policy.earnedShare())
	}
	if misleading.earnedShare() < policy.earnedShare()-0.03 {
		t.Errorf("value %.3f with misleading estimates, %.3f with usual ones", misleading.earnedShare(), policy.earnedShare())
	}
}
